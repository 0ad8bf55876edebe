#include "consensus_fleet.h"

#include <optional>

namespace millstair {
namespace {

std::string AddressOf(const NodeId& id) { return "127.0.0.1:" + id.value().substr(1); }

}  // namespace

void Ledger::Apply(LogIndex index, const std::string& command) {
  const auto [it, first] = applied.emplace(index, command);
  if (first || it->second == command) return;
  violations.push_back("entry " + std::to_string(index.value()) + " is both " + it->second +
                       " and " + command);
}

bool Ledger::Holds(const std::vector<std::string>& commands) const {
  std::vector<std::string> all;
  for (const auto& [index, command] : applied) all.push_back(command);
  return all == commands;
}

void Ledger::Restore(LogIndex index, const std::vector<std::string>& commands) {
  size_t position = 0;
  for (const auto& [at, command] : applied) {
    if (at > index) break;
    if (position >= commands.size() || commands[position] != command) {
      violations.push_back("snapshot at " + std::to_string(index.value()) + " lacks " + command);
      return;
    }
    ++position;
  }
  if (position != commands.size())
    violations.push_back("snapshot contains commands that were never applied");
}

void TestNetwork::Send(const NodeId& from, const NodeId& to, PeerMessage message) {
  ++messages;
  bytes += message.payload.size();
  RandomEngine& random = scheduler_.Random();
  const int copies = DrawChance(random, options.duplication) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (cut_.contains({from, to}) || DrawChance(random, options.loss)) continue;
    const Duration delay = DrawDuration(random, options.delay_min, options.delay_max);
    scheduler_.Schedule(delay, [this, from, to, message] {
      const auto it = nodes->find(to);
      if (cut_.contains({from, to})) return;
      if (it == nodes->end() || it->second->host == nullptr) return;
      it->second->host->Receive(from, message);
    });
  }
}

void TestNetwork::Isolate(const NodeId& node) {
  for (const auto& [id, other] : *nodes) {
    if (id != node) CutBoth(node, id);
  }
}

ConsensusFleet::ConsensusFleet(int initial_members, uint64_t seed, FleetOptions options)
    : scheduler(seed),
      network(scheduler),
      options_(std::move(options)),
      initial_member_count_(initial_members) {
  network.nodes = &nodes;
  for (int i = 0; i < initial_members; ++i) {
    const NodeId id = AddNode();
    FleetNode& node = *nodes.at(id);
    Crash(id);
    node.files->LoseDisk();
    (void)InitializeInitialMember(*node.files, kTestCluster, id, AddressOf(id));
  }
  for (int i = 0; i < initial_members; ++i) {
    FleetNode& node = Node(i);
    Restart(node.id);
    for (const GroupId& group : options_.groups)
      (void)node.host->OpenGroup(group, InitialMembers());
  }
}

NodeId ConsensusFleet::AddNode() {
  const NodeId id = Name(next_node_++);
  auto node = std::make_unique<FleetNode>();
  node->id = id;
  node->environment = std::make_unique<VirtualEnvironment>(scheduler, scheduler.Random()());
  node->files = std::make_unique<MemoryFileSystem>(*node->environment, scheduler.Random()());
  node->transport = std::make_unique<TestTransport>(network, id);
  StartNode(*node);
  nodes[id] = std::move(node);
  return id;
}

void ConsensusFleet::StartNode(FleetNode& node) {
  auto identity = LoadOrCreateIdentity(*node.files, node.environment->Random(), kTestCluster,
                                       node.id, AddressOf(node.id));
  if (!identity.ok()) {
    node.start_status = identity.status();
    return;
  }
  node.host = MakeGroupHost(
      *node.environment, *node.transport, *node.files, *identity, options_.timing, options_.limits,
      [this](const GroupId& group) { return std::make_unique<ListMachine>(ledgers[group]); },
      options_.faults);
  node.start_status = node.host->Start();
  if (!node.start_status.ok()) node.host.reset();
}

void ConsensusFleet::Crash(const NodeId& id) {
  FleetNode& node = *nodes.at(id);
  node.environment->Kill();
  node.host.reset();
  node.files->Crash();
}

void ConsensusFleet::KillProcess(const NodeId& id) {
  FleetNode& node = *nodes.at(id);
  node.environment->Kill();
  node.host.reset();
  node.files->Kill();
}

void ConsensusFleet::LoseDisk(const NodeId& id) {
  Crash(id);
  nodes.at(id)->files->LoseDisk();
}

void ConsensusFleet::Restart(const NodeId& id) {
  FleetNode& node = *nodes.at(id);
  node.environment = std::make_unique<VirtualEnvironment>(scheduler, scheduler.Random()());
  node.files->Attach(*node.environment);
  StartNode(node);
}

std::vector<GroupMember> ConsensusFleet::InitialMembers() const {
  std::vector<GroupMember> members;
  for (int i = 0; i < initial_member_count_; ++i) {
    members.push_back(
        {InitialMemberReplicaId(kTestCluster, Name(i)), Name(i), AddressOf(Name(i)), true});
  }
  return members;
}

GroupMember ConsensusFleet::MemberOf(const NodeId& id) {
  const ReplicaIdentity& identity = nodes.at(id)->host->identity();
  return {identity.replica, id, identity.address, true};
}

RaftGroup* ConsensusFleet::Group(const NodeId& id, const GroupId& group) {
  FleetNode& node = *nodes.at(id);
  return node.host == nullptr ? nullptr : node.host->Find(group);
}

ListMachine* ConsensusFleet::Machine(const NodeId& id, const GroupId& group) {
  FleetNode& node = *nodes.at(id);
  if (node.host == nullptr) return nullptr;
  return dynamic_cast<ListMachine*>(node.host->FindStateMachine(group));
}

NodeId ConsensusFleet::LeaderNode(const GroupId& group) {
  NodeId best;
  Term best_term;
  for (const auto& [id, node] : nodes) {
    RaftGroup* candidate = Group(id, group);
    if (candidate == nullptr || !candidate->IsLeader()) continue;
    if (candidate->CurrentTerm() < best_term) continue;
    best = id;
    best_term = candidate->CurrentTerm();
  }
  return best;
}

RaftGroup* ConsensusFleet::Leader(const GroupId& group) {
  const NodeId id = LeaderNode(group);
  return id == NodeId() ? nullptr : Group(id, group);
}

bool ConsensusFleet::RunUntilLeader(Duration span, const GroupId& group) {
  const Duration end = scheduler.Now() + span;
  while (scheduler.Now() < end) {
    scheduler.RunUntilTrue([&] { return Leader(group) != nullptr; }, end - scheduler.Now());
    if (Leader(group) == nullptr) return false;
    std::optional<bool> confirmed;
    Leader(group)->ConfirmRead(
        [&confirmed](const absl::StatusOr<LogIndex>& read) { confirmed = read.ok(); });
    scheduler.RunUntilTrue([&] { return confirmed.has_value(); }, std::chrono::seconds(10));
    if (confirmed == true) return true;
  }
  return false;
}

absl::StatusOr<std::string> ConsensusFleet::Propose(const std::string& command,
                                                    const GroupId& group) {
  RaftGroup* leader = Leader(group);
  if (leader == nullptr) return absl::UnavailableError("no leader");
  auto answer = std::make_shared<std::optional<absl::StatusOr<std::string>>>();
  leader->Propose(command,
                  [answer](const absl::StatusOr<std::string>& result) { *answer = result; });
  scheduler.RunUntilTrue([&] { return answer->has_value(); }, std::chrono::seconds(30));
  if (!answer->has_value()) return absl::DeadlineExceededError("proposal was not completed");
  return **answer;
}

}  // namespace millstair
