/// A cluster of consensus nodes in virtual time, with a network and disks that inject faults.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/random.h"
#include "common/virtual_environment.h"
#include "consensus/group_host.h"
#include "storage/memory_file_system.h"

namespace millstair {

inline const GroupId kTestGroup{"cluster"};
inline const std::string kTestCluster = "test";

/// All commands that any replica of a group applied; detects replicas that diverge.
struct Ledger {
  /// Whether `commands` equals the complete applied history.
  bool Holds(const std::vector<std::string>& commands) const;

  std::map<LogIndex, std::string> applied;
  std::vector<std::string> violations;

  void Apply(LogIndex index, const std::string& command);
  /// Checks a replica that was restored to `commands` as of `index`.
  void Restore(LogIndex index, const std::vector<std::string>& commands);
};

/// Appends each command to a list; the result is "<position>:<command>".
class ListMachine : public StateMachine {
 public:
  explicit ListMachine(Ledger& ledger) : ledger_(ledger) {}
  std::string Apply(LogIndex index, std::string_view command) override {
    commands.emplace_back(command);
    ledger_.Apply(index, commands.back());
    return std::to_string(commands.size()) + ":" + std::string(command);
  }
  std::string TakeSnapshot() const override {
    std::string state;
    for (const std::string& command : commands) state += command + "\n";
    return state;
  }
  absl::Status Restore(LogIndex index, std::string_view snapshot) override {
    commands.clear();
    std::string command;
    for (const char letter : snapshot) {
      if (letter != '\n') {
        command.push_back(letter);
        continue;
      }
      commands.push_back(std::exchange(command, {}));
    }
    ledger_.Restore(index, commands);
    return absl::OkStatus();
  }

  std::vector<std::string> commands;

 private:
  Ledger& ledger_;
};

struct NetworkOptions {
  Duration delay_min = std::chrono::microseconds(300);
  Duration delay_max = std::chrono::microseconds(1500);
  double loss = 0;
  double duplication = 0;
};

struct FleetNode;

/// Delivers messages between running nodes with random delays, so messages may be reordered. A cut
/// also drops messages in flight.
class TestNetwork {
 public:
  explicit TestNetwork(VirtualScheduler& scheduler) : scheduler_(scheduler) {}

  void Send(const NodeId& from, const NodeId& to, PeerMessage message);
  void Cut(const NodeId& from, const NodeId& to) { cut_.insert({from, to}); }
  void CutBoth(const NodeId& a, const NodeId& b) {
    Cut(a, b);
    Cut(b, a);
  }
  void Isolate(const NodeId& node);
  void Heal() { cut_.clear(); }

  NetworkOptions options;
  std::map<NodeId, std::unique_ptr<FleetNode>>* nodes = nullptr;
  uint64_t messages = 0;
  uint64_t bytes = 0;

 private:
  VirtualScheduler& scheduler_;
  std::set<std::pair<NodeId, NodeId>> cut_;
};

class TestTransport : public PeerTransport {
 public:
  TestTransport(TestNetwork& network, NodeId self) : network_(network), self_(std::move(self)) {}
  void Send(const NodeId& to, PeerMessage message) override {
    network_.Send(self_, to, std::move(message));
  }
  void SetAddress(const NodeId& node, const std::string& address) override {
    addresses[node] = address;
  }
  std::map<NodeId, std::string> addresses;

 private:
  TestNetwork& network_;
  NodeId self_;
};

/// One node; `host` is null while it is down. The disk outlives its incarnations.
struct FleetNode {
  NodeId id;
  std::unique_ptr<VirtualEnvironment> environment;
  std::unique_ptr<MemoryFileSystem> files;
  std::unique_ptr<TestTransport> transport;
  std::unique_ptr<GroupHost> host;
  absl::Status start_status;
};

struct FleetOptions {
  ConsensusTiming timing;
  ConsensusLimits limits;
  ConsensusFaults faults;
  std::vector<GroupId> groups = {kTestGroup};
};

class ConsensusFleet {
 public:
  ConsensusFleet(int initial_members, uint64_t seed, FleetOptions options = {});

  VirtualScheduler scheduler;
  TestNetwork network;
  std::map<GroupId, Ledger> ledgers;
  std::map<NodeId, std::unique_ptr<FleetNode>> nodes;

  static NodeId Name(int number) { return NodeId("n" + std::to_string(number)); }
  FleetNode& Node(int number) { return *nodes.at(Name(number)); }
  RaftGroup* Group(const NodeId& id, const GroupId& group = kTestGroup);
  ListMachine* Machine(const NodeId& id, const GroupId& group = kTestGroup);
  std::vector<GroupMember> InitialMembers() const;

  /// Ends the process; its machine keeps unsynced bytes.
  void KillProcess(const NodeId& id);
  /// Crashes the process; unsynced bytes are lost or torn.
  void Crash(const NodeId& id);
  /// Restarts a crashed node. A node without an identity gets a new one.
  void Restart(const NodeId& id);
  /// Adds a node with an empty disk and a random identity that is not yet a member.
  NodeId AddNode();
  void LoseDisk(const NodeId& id);

  /// Leader with the highest term; null if there is none.
  RaftGroup* Leader(const GroupId& group = kTestGroup);
  NodeId LeaderNode(const GroupId& group = kTestGroup);
  /// Runs until a leader confirms a read; returns whether one did within `span`.
  bool RunUntilLeader(Duration span = std::chrono::seconds(30), const GroupId& group = kTestGroup);
  /// Proposes at the current leader and runs until the proposal completes.
  absl::StatusOr<std::string> Propose(const std::string& command,
                                      const GroupId& group = kTestGroup);
  GroupMember MemberOf(const NodeId& id);

 private:
  void StartNode(FleetNode& node);

  FleetOptions options_;
  int initial_member_count_;
  int next_node_ = 0;
};

}  // namespace millstair
