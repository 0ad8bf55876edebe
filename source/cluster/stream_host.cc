#include "cluster/stream_host.h"

#include <algorithm>
#include <utility>

#include "cluster/control_messages.h"
#include "common/event_log.h"
#include "fmt/format.h"

namespace millstair {
namespace {

constexpr std::string_view kPrefix = "stream/";
constexpr Duration kTick = std::chrono::seconds(1);

}  // namespace

GroupId GroupOfStream(const BootstrapStreamGroup& found) {
  return GroupId(fmt::format("{}{}@{}", kPrefix, found.stream, found.generation));
}

std::optional<StreamName> StreamOfGroupId(const GroupId& group) {
  const std::string& name = group.value();
  if (!name.starts_with(kPrefix) || name.size() == kPrefix.size()) return std::nullopt;
  const size_t end = std::min(name.rfind('@'), name.size());
  return StreamName(name.substr(kPrefix.size(), end - kPrefix.size()));
}

StreamHost::StreamHost(Environment& environment, PeerTransport& transport, ClusterReplica& cluster,
                       std::unique_ptr<StreamFactory> factory, NodeId self)
    : transport_(transport),
      cluster_(cluster),
      factory_(std::move(factory)),
      self_(std::move(self)),
      timer_(environment),
      update_timer_(environment) {}

std::unique_ptr<StateMachine> StreamHost::MakeStateMachine(const GroupId& group) {
  const auto stream = StreamOfGroupId(group);
  if (!stream || factory_ == nullptr) return nullptr;
  // While groups are opened at start, the configuration is not known yet.
  if (groups_ != nullptr && !IsCurrent(group)) return nullptr;
  return factory_->MakeStateMachine(group);
}

void StreamHost::Start(GroupHost& groups) {
  groups_ = &groups;
  Tick();
}

void StreamHost::Stop() {
  leaders_.clear();
  groups_ = nullptr;
}

void StreamHost::Tick() {
  timer_.Arm(kTick, [this] { Tick(); });
  Update();
}

void StreamHost::Update() {
  if (groups_ == nullptr || factory_ == nullptr || update_timer_.armed()) return;
  // Deferred, because this is called while a group applies an entry.
  update_timer_.Arm(Duration(0), [this] {
    OpenBootstrapped();
    BootstrapMissing();
    DropDeleted();
    NotifyLeaders();
  });
}

void StreamHost::OpenBootstrapped() {
  if (cluster_.state() == nullptr) return;
  for (const auto& [stream, found] : cluster_.state()->bootstrapped_groups()) {
    const GroupId group = GroupOfStream(found);
    if (groups_->Find(group) != nullptr) continue;
    const ReplicaId own = groups_->identity().replica;
    const bool initial_member =
        std::any_of(found.initial_members.begin(), found.initial_members.end(),
                    [own](const GroupMember& member) { return member.replica == own; });
    // Others get the group from its leader once they are members.
    if (!initial_member) continue;
    const auto opened = groups_->OpenGroup(group, found.initial_members);
    if (opened.ok()) {
      LogEvent(EventId::kStreamGroupOpened, "group={}", group);
    } else {
      LogEvent(EventId::kControlNodeFailed, "group={} error=\"{}\"", group,
               std::string(opened.status().message()));
    }
  }
}

void StreamHost::BootstrapMissing() {
  if (!cluster_.IsLeader() || bootstrapping_) return;
  for (const auto& [key, resource] : cluster_.configuration().resources) {
    const StreamName stream(key.name);
    if (key.kind != ResourceKind::kStream) continue;
    if (cluster_.state()->bootstrapped_groups().contains(stream)) continue;
    BootstrapStreamGroup found{stream, Revision(), cluster_.group()->Members()};
    std::erase_if(found.initial_members, [](const GroupMember& member) { return !member.voter; });
    bootstrapping_ = true;
    cluster_.Propose({std::move(found), std::nullopt, {}},
                     alive_.Guard([this](const absl::StatusOr<ClusterResult>& result) {
                       bootstrapping_ = false;
                       if (result.ok()) Update();
                     }));
    return;
  }
}

bool StreamHost::IsCurrent(const GroupId& group) const {
  const auto stream = StreamOfGroupId(group);
  if (!stream || cluster_.state() == nullptr) return false;
  const auto& founded = cluster_.state()->bootstrapped_groups();
  const auto found = founded.find(*stream);
  return found != founded.end() && GroupOfStream(found->second) == group;
}

GroupId StreamHost::Resolve(const GroupId& group) const {
  const auto stream = StreamOfGroupId(group);
  if (!stream || cluster_.state() == nullptr) return group;
  const auto& founded = cluster_.state()->bootstrapped_groups();
  const auto found = founded.find(*stream);
  return found == founded.end() ? group : GroupOfStream(found->second);
}

void StreamHost::DropDeleted() {
  for (const RaftGroup* group : groups_->Groups()) {
    const GroupId id = group->id();
    if (!StreamOfGroupId(id) || IsCurrent(id)) continue;
    if (!confirming_deletion_.insert(id).second) continue;
    // A replica that is still catching up may not know the stream yet, so the deletion is
    // confirmed.
    cluster_.ConfirmRead(alive_.Guard([this, id](const absl::Status& status) {
      confirming_deletion_.erase(id);
      if (status.ok()) DropIfStillDeleted(id);
    }));
  }
}

void StreamHost::DropIfStillDeleted(const GroupId& group) {
  if (IsCurrent(group)) return;
  leaders_.erase(group);
  const absl::Status dropped = groups_->DropGroup(group);
  LogEvent(EventId::kStreamGroupDropped, "group={} status=\"{}\"", group, dropped.ToString());
}

StreamLeader* StreamHost::LeaderOf(RaftGroup& group) {
  if (!StreamOfGroupId(group.id())) return nullptr;
  auto& leader = leaders_[group.id()];
  if (leader == nullptr) {
    leader = factory_->MakeLeader(group, *groups_->FindStateMachine(group.id()));
  }
  return leader.get();
}

void StreamHost::NotifyLeaders() {
  for (RaftGroup* group : groups_->Groups()) {
    StreamLeader* leader = LeaderOf(*group);
    if (leader != nullptr) leader->OnChange(cluster_.configuration());
  }
}

StreamLeader* StreamHost::FindLeading(const GroupId& group) {
  RaftGroup* replica = groups_ == nullptr ? nullptr : groups_->Find(group);
  if (replica == nullptr || !replica->IsLeader()) return nullptr;
  return LeaderOf(*replica);
}

void StreamHost::ReceiveWork(const NodeId& from, const PeerMessage& message) {
  const auto head = DecodeWorkRequestHead(message.payload);
  if (!head.ok() || groups_ == nullptr) return;
  const GroupId group = Resolve(GroupId(std::string(kPrefix) + head->stream.value()));
  if (StreamLeader* leader = FindLeading(group)) return leader->ReceiveWork(from, message);
  // Forwarded only once; otherwise it could circulate while the leader changes.
  if (from != head->gateway) return;
  const RaftGroup* replica = groups_->Find(group);
  const auto leader = replica == nullptr ? std::nullopt : replica->Leader();
  if (leader && *leader != self_) transport_.Send(*leader, message);
}

}  // namespace millstair
