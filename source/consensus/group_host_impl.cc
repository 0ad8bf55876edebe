#include "consensus/group_host_impl.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "common/event_log.h"
#include "fmt/format.h"

namespace millstair {
namespace {

constexpr char kGroupsFolder[] = "groups";
/// A batch is sent once its estimated size reaches this.
constexpr uint64_t kBatchBytes = 512 * 1024;

/// Pauses between attempts to open a group whose files could not be opened. Reading a damaged log
/// again and again must cost little.
constexpr Duration kMinOpenPause = std::chrono::milliseconds(200);
constexpr Duration kMaxOpenPause = std::chrono::seconds(5);

bool IsPlain(char letter) {
  return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
         (letter >= '0' && letter <= '9') || letter == '-' || letter == '_';
}

/// Folder name of a group, with characters that are unsafe in file names percent-encoded.
std::string FolderName(const GroupId& group) {
  std::string name;
  for (const char letter : group.value()) {
    if (IsPlain(letter)) {
      name.push_back(letter);
    } else {
      name += fmt::format("%{:02x}", static_cast<uint8_t>(letter));
    }
  }
  return name;
}

GroupId GroupOfFolder(const std::string& name) {
  std::string group;
  for (size_t i = 0; i < name.size(); ++i) {
    if (name[i] == '%' && i + 2 < name.size()) {
      group.push_back(static_cast<char>(std::stoi(name.substr(i + 1, 2), nullptr, 16)));
      i += 2;
    } else {
      group.push_back(name[i]);
    }
  }
  return GroupId(group);
}

}  // namespace

GroupHostImpl::GroupHostImpl(Environment& environment, PeerTransport& transport, FileSystem& files,
                             ReplicaIdentity identity, ConsensusTiming timing,
                             ConsensusLimits limits, StateMachineFactory factory,
                             ConsensusFaults faults)
    : environment_(environment),
      transport_(transport),
      files_(files),
      identity_(std::move(identity)),
      timing_(timing),
      limits_(limits),
      factory_(std::move(factory)),
      faults_(faults),
      tick_timer_(environment) {}

absl::Status GroupHostImpl::Start() {
  auto names = files_.List(kGroupsFolder);
  if (!names.ok()) return names.status();
  for (const std::string& name : *names) {
    const GroupId group = GroupOfFolder(name);
    auto replica = Open(group, {});
    // The factory refuses the group; its files are left in place.
    if (absl::IsNotFound(replica.status())) continue;
    if (!replica.ok()) return replica.status();
  }
  Tick();
  return absl::OkStatus();
}

absl::StatusOr<GroupReplica*> GroupHostImpl::Open(const GroupId& group,
                                                  const std::vector<GroupMember>& initial_members) {
  auto machine = factory_(group);
  if (machine == nullptr) return absl::NotFoundError(absl::StrCat("no group ", group.value()));
  Entry entry;
  entry.context = std::make_unique<ReplicaContext>(
      ReplicaContext{environment_, files_, identity_.replica, timing_, limits_, faults_,
                     [this, group] { MarkReady(group); }});
  auto replica =
      GroupReplica::Open(*entry.context, group, absl::StrCat(kGroupsFolder, "/", FolderName(group)),
                         std::move(machine), initial_members);
  if (!replica.ok()) return replica.status();
  entry.replica = *std::move(replica);
  GroupReplica* opened = entry.replica.get();
  replicas_by_key_[opened->key()] = opened;
  groups_[group] = std::move(entry);
  LogEvent(EventId::kGroupOpened, "group={} term={} last_snapshot={}", group, opened->CurrentTerm(),
           opened->AppliedIndex());
  MarkReady(group);
  return opened;
}

absl::StatusOr<RaftGroup*> GroupHostImpl::OpenGroup(
    const GroupId& group, const std::vector<GroupMember>& initial_members) {
  if (RaftGroup* existing = Find(group)) return existing;
  auto replica = Open(group, initial_members);
  if (!replica.ok()) return replica.status();
  return *replica;
}

RaftGroup* GroupHostImpl::Find(const GroupId& group) {
  const auto it = groups_.find(group);
  return it == groups_.end() ? nullptr : it->second.replica.get();
}

StateMachine* GroupHostImpl::FindStateMachine(const GroupId& group) {
  const auto it = groups_.find(group);
  return it == groups_.end() ? nullptr : &it->second.replica->machine();
}

std::vector<RaftGroup*> GroupHostImpl::Groups() {
  std::vector<RaftGroup*> groups;
  for (auto& [id, entry] : groups_) groups.push_back(entry.replica.get());
  return groups;
}

absl::Status GroupHostImpl::DropGroup(const GroupId& group) {
  const auto it = groups_.find(group);
  if (it == groups_.end()) return absl::NotFoundError(absl::StrCat("no group ", group.value()));
  const std::string folder = it->second.replica->folder();
  replicas_by_key_.erase(it->second.replica->key());
  ReplicaOutput output;
  it->second.replica->Close(output);
  for (auto& callback : output.callbacks) environment_.Schedule(Duration(0), std::move(callback));
  // Destroys the entry after its removal from the map: destructors may call back.
  const auto dropped = groups_.extract(it);
  auto names = files_.List(folder);
  if (!names.ok()) return names.status();
  for (const std::string& name : *names) {
    absl::Status status = files_.Remove(absl::StrCat(folder, "/", name));
    if (!status.ok()) return status;
  }
  return files_.Remove(folder);
}

void GroupHostImpl::Receive(const NodeId& from, const PeerMessage& message) {
  auto messages = DecodeRaftBatch(message.payload);
  if (!messages.ok()) {
    LogEvent(EventId::kRaftBatchRefused, "from={} bytes={}", from, message.payload.size());
    return;
  }
  for (AddressedRaftMessage& addressed : *messages) {
    if (addressed.message.to != identity_.replica) continue;
    GroupReplica* replica = FindForMessage(addressed);
    if (replica == nullptr) continue;
    replica->Receive(from, std::move(addressed.message));
    MarkReady(replica->id());
  }
}

GroupReplica* GroupHostImpl::FindForMessage(const AddressedRaftMessage& addressed) {
  const auto it = replicas_by_key_.find(addressed.group_key);
  if (it != replicas_by_key_.end()) return it->second;
  const RaftMessageType type = addressed.message.type;
  // Only messages that a leader sends to members open a group.
  const bool from_leader =
      type == RaftMessageType::kAppend || type == RaftMessageType::kSnapshotChunk;
  if (!from_leader || addressed.group.value().empty()) return nullptr;
  const auto failed = failed_openings_.find(addressed.group);
  if (failed != failed_openings_.end() && environment_.Now() < failed->second.retry_at) {
    return nullptr;
  }
  auto replica = Open(addressed.group, {});
  if (replica.ok()) {
    failed_openings_.erase(addressed.group);
    return *replica;
  }
  if (!absl::IsNotFound(replica.status())) RecordFailedOpening(addressed.group, replica.status());
  return nullptr;
}

void GroupHostImpl::RecordFailedOpening(const GroupId& group, const absl::Status& status) {
  FailedOpening& failed = failed_openings_[group];
  if (failed.pause == Duration(0)) {
    LogEvent(EventId::kReplicaHalted, "group={} error=\"{}\"", group,
             std::string(status.message()));
  }
  failed.pause = std::clamp(2 * failed.pause, kMinOpenPause, kMaxOpenPause);
  failed.retry_at = environment_.Now() + failed.pause;
}

void GroupHostImpl::MarkReady(const GroupId& group) {
  ready_groups_.insert(group);
  if (work_scheduled_) return;
  work_scheduled_ = true;
  environment_.Schedule(Duration(0), alive_.Guard([this] { ProcessReadyGroups(); }));
}

void GroupHostImpl::Tick() {
  // Election timeouts need a finer resolution than heartbeats to avoid split votes.
  tick_timer_.Arm(timing_.heartbeat / 2, [this] { Tick(); });
  const TimePoint now = environment_.Now();
  for (auto& [id, entry] : groups_) {
    entry.replica->Tick(now);
    MarkReady(id);
  }
}

void GroupHostImpl::ProcessReadyGroups() {
  work_scheduled_ = false;
  ReplicaOutput output;
  for (const GroupId& group : std::exchange(ready_groups_, {})) {
    const auto it = groups_.find(group);
    if (it == groups_.end()) continue;
    it->second.replica->ProcessPending(output);
    RecordChanges(group, it->second);
  }
  SendAll(std::move(output.messages));
  const auto changed = std::exchange(changed_groups_, {});
  const auto listeners = leadership_callbacks_;
  // Each callback may destroy this host.
  bool alive = true;
  auto check = alive_.Guard([&alive] { alive = true; });
  const auto still_alive = [&] {
    alive = false;
    check();
    return alive;
  };
  for (const GroupId& group : changed) {
    for (const auto& listener : listeners) {
      if (!still_alive()) return;
      listener(group);
    }
  }
  for (auto& callback : output.callbacks) {
    if (!still_alive()) return;
    callback();
  }
}

void GroupHostImpl::RecordChanges(const GroupId& group, Entry& entry) {
  const bool leader = entry.replica->IsLeader();
  const Term term = entry.replica->CurrentTerm();
  const LogIndex configuration = entry.replica->ConfigurationIndex();
  const bool role_changed = leader != entry.leader || (leader && term != entry.term);
  const bool members_changed = configuration != entry.configuration;
  entry.leader = leader;
  entry.term = term;
  entry.configuration = configuration;
  if (members_changed) {
    for (const GroupMember& member : entry.replica->Members()) {
      if (member.node != identity_.node) transport_.SetAddress(member.node, member.address);
    }
  }
  if (role_changed || members_changed) changed_groups_.insert(group);
}

void GroupHostImpl::SendAll(std::vector<OutgoingMessage> messages) {
  std::map<NodeId, std::vector<AddressedRaftMessage>> batches;
  std::map<NodeId, uint64_t> sizes;
  for (OutgoingMessage& message : messages) {
    auto& batch = batches[message.node];
    uint64_t& size = sizes[message.node];
    size += EncodedSize(message.addressed.message);
    batch.push_back(std::move(message.addressed));
    if (size < kBatchBytes) continue;
    SendBatch(message.node, batch);
    batch.clear();
    size = 0;
  }
  for (const auto& [node, batch] : batches) {
    if (!batch.empty()) SendBatch(node, batch);
  }
}

void GroupHostImpl::SendBatch(const NodeId& node, const std::vector<AddressedRaftMessage>& batch) {
  transport_.Send(node, {MessageKind::kRaft, EncodeRaftBatch(batch)});
}

std::unique_ptr<GroupHost> MakeGroupHost(Environment& environment, PeerTransport& transport,
                                         FileSystem& files, ReplicaIdentity identity,
                                         ConsensusTiming timing, ConsensusLimits limits,
                                         GroupHost::StateMachineFactory factory,
                                         ConsensusFaults faults) {
  return std::make_unique<GroupHostImpl>(environment, transport, files, std::move(identity), timing,
                                         limits, std::move(factory), faults);
}

}  // namespace millstair
