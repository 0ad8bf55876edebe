/// Control nodes and the cluster clients of gateways, in virtual time.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/configuration_client.h"
#include "cluster/control_client.h"
#include "cluster/control_node.h"
#include "common/virtual_environment.h"
#include "storage/memory_file_system.h"

namespace millstair {

/// The response to one request of an operator.
struct RecordedAnswer {
  bool finished = false;
  int status = 0;
  HttpHeaders headers;
  std::string body;
  uint64_t revision = 0;
};

/// Responds to every fetch of the machine list with `list`.
class ListCaller : public HttpCaller {
 public:
  explicit ListCaller(const std::string& list) : list_(list) {}
  std::unique_ptr<CallHandle> Start(const std::string&, HttpRequest,
                                    HttpCallObserver& observer) override;

 private:
  const std::string& list_;
};

/// Calls received by the stream leaders on one control node.
struct StreamRecord {
  int work_requests = 0;
  int changes = 0;
  int queries = 0;
};

/// Streams whose state is the list of their commands.
class RecordingStreams : public StreamFactory {
 public:
  explicit RecordingStreams(StreamRecord& record) : record_(record) {}
  std::unique_ptr<StateMachine> MakeStateMachine(const GroupId& group) override;
  std::unique_ptr<StreamLeader> MakeLeader(RaftGroup& group, StateMachine& state) override;

 private:
  StreamRecord& record_;
};

struct FleetOptions {
  uint64_t seed = 1;
  int control_nodes = 3;
  int gateways = 2;
  double loss = 0;
  ClusterFaults faults;
  MembershipTiming membership;
  uint64_t snapshot_after_entries = 2000;
  /// If true, all nodes start at the same moment and know only the three initial members. Otherwise
  /// only the initial members start, and each node knows all control nodes.
  bool know_initial_members_only = false;
};

/// One process.
struct FleetProcess {
  std::unique_ptr<VirtualEnvironment> environment;
  std::unique_ptr<PeerTransport> transport;
  std::unique_ptr<HttpCaller> platform;
  std::unique_ptr<ControlNode> control;
  std::unique_ptr<ConfigurationClient> configuration;
  std::unique_ptr<ControlClient> commands;
  Revision newest_seen;
  StreamRecord streams;
};

class ClusterFleet {
 public:
  explicit ClusterFleet(FleetOptions options);
  ~ClusterFleet();

  /// "c1".. are control nodes, "g1".. gateways; assigned to zones "z1".."z3" in turn.
  void Start(const std::string& name);
  void Crash(const std::string& name);
  /// From its next start on, the node is of a build that reports no feature level, or of this one.
  void SetFirstBuild(const std::string& name, bool first) { first_builds_[name] = first; }
  /// From its next start on, the node's wall clock is `ahead` of true time.
  void SetClock(const std::string& name, Duration ahead) { clocks_[name] = ahead; }
  void LoseDisk(const std::string& name) { disks_.at(name)->LoseDisk(); }
  void SetDiskFull(const std::string& name, bool full) { disks_.at(name)->SetFull(full); }
  FleetProcess& Process(const std::string& name) { return processes_.at(name); }
  bool Running(const std::string& name) const { return processes_.contains(name); }

  void Isolate(const std::string& name) { isolated_.insert(name); }
  void Heal(const std::string& name) { isolated_.erase(name); }
  /// Loses heartbeats that `name` sends, but no other message.
  void DropHeartbeatsOf(const std::string& name) { heartbeats_dropped_of_.insert(name); }
  void CutLink(const std::string& a, const std::string& b) { cut_links_.insert({a, b}); }

  void RunFor(Duration span) { scheduler_.RunFor(span); }
  bool RunUntil(const std::function<bool()>& condition, Duration span) {
    return scheduler_.RunUntilTrue(condition, span);
  }
  /// The process that leads the cluster group and is not isolated; empty if none.
  std::string Leader();
  /// Waits for a leader and returns its name.
  std::string AwaitLeader();

  /// Sends an operator's request to `node`; the response is filled in later.
  std::shared_ptr<RecordedAnswer> Request(const std::string& node, const std::string& method,
                                          const std::string& target, const std::string& body = "",
                                          HttpHeaders headers = {});
  /// The same, but waits for the response.
  RecordedAnswer RequestAndWait(const std::string& node, const std::string& method,
                                const std::string& target, const std::string& body = "",
                                HttpHeaders headers = {});
  /// Puts a machine resource through the leader; returns its revision.
  Revision PutMachine(const std::string& name, bool drain = false);

  /// Payload bytes that gateways sent and received.
  uint64_t gateway_bytes() const { return gateway_bytes_; }

  /// Messages of kind kHeartbeat that reached `name`.
  uint64_t heartbeats_at(const std::string& name) const {
    const auto found = heartbeats_at_.find(name);
    return found == heartbeats_at_.end() ? 0 : found->second;
  }

  /// Payload bytes from `name` that were delivered.
  uint64_t bytes_from(const std::string& name) const {
    const auto found = bytes_from_.find(name);
    return found == bytes_from_.end() ? 0 : found->second;
  }

  /// Pushes of configuration changes delivered to gateways.
  uint64_t pushes() const { return pushes_; }

  std::string machine_list = "{\"machines\":[]}";
  /// Set once a node's configuration went back to a smaller revision.
  bool revision_decreased = false;

 private:
  friend class FleetTransport;

  void Deliver(const NodeId& from, const NodeId& to, const PeerMessage& message);
  /// Numbered as in the product: the wall clock at the start, in microseconds.
  Incarnation NewIncarnation(const std::string& name);
  bool IsReachable(const std::string& from, const std::string& to) const;
  std::vector<ControlEndpoint> Endpoints() const;
  ControlNodeOptions ControlOptions(const NodeRecord& self) const;
  ClusterFaults FaultsFor(const std::string& name) const;

  FleetOptions options_;
  VirtualScheduler scheduler_;
  std::map<std::string, FleetProcess> processes_;
  std::map<std::string, std::unique_ptr<MemoryFileSystem>> disks_;
  std::unique_ptr<VirtualEnvironment> disk_environment_;
  std::map<std::string, uint64_t> incarnation_counts_;
  std::map<std::string, Duration> clocks_;
  std::map<std::string, bool> first_builds_;
  uint64_t starts_ = 0;
  uint64_t gateway_bytes_ = 0;
  uint64_t pushes_ = 0;
  std::map<std::string, uint64_t> heartbeats_at_;
  std::map<std::string, uint64_t> bytes_from_;
  std::set<std::string> isolated_;
  std::set<std::string> heartbeats_dropped_of_;
  std::set<std::pair<std::string, std::string>> cut_links_;
};

}  // namespace millstair
