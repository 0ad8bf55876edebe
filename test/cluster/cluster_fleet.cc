#include "test/cluster/cluster_fleet.h"

#include <catch2/catch.hpp>

#include "common/event_log.h"
#include "common/random.h"
#include "fmt/format.h"
#include "resources/resource_codec.h"
#include "test/cluster/cluster_test_support.h"

namespace millstair {
namespace {

/// Wall clock when a run begins.
constexpr Duration kFirstStart = std::chrono::hours(24);

const std::string kCluster = "fleet";
constexpr int kInitialMembers = 3;

std::string ZoneOf(const std::string& name) {
  return fmt::format("z{}", (std::stoi(name.substr(1)) - 1) % 3 + 1);
}

std::string AddressOf(const std::string& name) {
  return fmt::format("127.0.0.{}:{}", std::stoi(name.substr(1)), name[0] == 'c' ? 1000 : 2000);
}

class ListMachine : public StateMachine {
 public:
  std::string Apply(LogIndex, std::string_view command) override {
    list_ += command;
    return list_;
  }
  std::string TakeSnapshot() const override { return list_; }
  absl::Status Restore(LogIndex, std::string_view snapshot) override {
    list_ = snapshot;
    return absl::OkStatus();
  }

 private:
  std::string list_;
};

class RecordingLeader : public StreamLeader {
 public:
  explicit RecordingLeader(StreamRecord& record) : record_(record) {}
  void ReceiveWork(const NodeId&, const PeerMessage&) override { ++record_.work_requests; }
  void Query(const std::string& query,
             std::function<void(absl::StatusOr<std::string>)> done) override {
    ++record_.queries;
    done("answer to " + query);
  }
  void OnChange(const Configuration&) override { ++record_.changes; }

 private:
  StreamRecord& record_;
};

class RecordingWriter : public ResponseWriter {
 public:
  explicit RecordingWriter(std::shared_ptr<RecordedAnswer> answer) : answer_(std::move(answer)) {}
  void SendHead(HttpResponseHead head) override {
    answer_->status = head.status;
    answer_->headers = std::move(head.headers);
  }
  void SendBody(std::string bytes) override { answer_->body += bytes; }
  void Finish() override {
    answer_->finished = true;
    const size_t at = answer_->body.find("\"revision\":");
    if (at != std::string::npos) answer_->revision = std::stoull(answer_->body.substr(at + 11));
  }
  void Abort() override {}
  size_t WritableBytes() const override { return 1 << 20; }
  void OnWritable(std::function<void()>) override {}
  void OnCallerDisconnected(std::function<void()>) override {}

 private:
  std::shared_ptr<RecordedAnswer> answer_;
};

}  // namespace

std::unique_ptr<StateMachine> RecordingStreams::MakeStateMachine(const GroupId&) {
  return std::make_unique<ListMachine>();
}

std::unique_ptr<StreamLeader> RecordingStreams::MakeLeader(RaftGroup&, StateMachine&) {
  return std::make_unique<RecordingLeader>(record_);
}

std::unique_ptr<CallHandle> ListCaller::Start(const std::string&, HttpRequest,
                                              HttpCallObserver& observer) {
  observer.OnHead({});
  observer.OnBody(list_);
  observer.OnFinished();
  return std::make_unique<CallHandle>();
}

/// Sends on behalf of one incarnation of a process.
class FleetTransport : public PeerTransport {
 public:
  FleetTransport(ClusterFleet& fleet, std::string self, uint64_t incarnation)
      : fleet_(fleet), self_(std::move(self)), incarnation_(incarnation) {}

  void Send(const NodeId& to, PeerMessage message) override {
    auto& random = fleet_.scheduler_.Random();
    if (DrawChance(random, fleet_.options_.loss)) return;
    const Duration delay =
        DrawDuration(random, std::chrono::microseconds(300), std::chrono::microseconds(1500));
    fleet_.scheduler_.Schedule(delay, [&fleet = fleet_, self = self_, incarnation = incarnation_,
                                       to, message = std::move(message)] {
      if (fleet.incarnation_counts_[self] != incarnation) return;
      fleet.Deliver(NodeId(self), to, message);
    });
  }
  void SetAddress(const NodeId&, const std::string&) override {}

 private:
  ClusterFleet& fleet_;
  const std::string self_;
  const uint64_t incarnation_;
};

ClusterFleet::ClusterFleet(FleetOptions options) : options_(options), scheduler_(options.seed) {
  SetEventThreshold(EventLevel::kError);
  disk_environment_ = std::make_unique<VirtualEnvironment>(scheduler_, options.seed);
  for (int i = 1; i <= options.control_nodes; ++i) {
    const std::string name = fmt::format("c{}", i);
    disks_[name] = std::make_unique<MemoryFileSystem>(*disk_environment_, options.seed * 31 + i);
    if (i <= kInitialMembers) {
      REQUIRE(InitializeInitialMember(*disks_[name], kCluster, NodeId(name), AddressOf(name)).ok());
    }
  }
  const int started = options.know_initial_members_only ? options.control_nodes : kInitialMembers;
  for (int i = 1; i <= started; ++i) Start(fmt::format("c{}", i));
  for (int i = 1; i <= options.gateways; ++i) Start(fmt::format("g{}", i));
}

ClusterFleet::~ClusterFleet() {
  while (!processes_.empty()) Crash(processes_.begin()->first);
}

std::vector<ControlEndpoint> ClusterFleet::Endpoints() const {
  std::vector<ControlEndpoint> endpoints;
  for (const auto& [name, disk] : disks_) {
    if (options_.know_initial_members_only && std::stoi(name.substr(1)) > kInitialMembers) continue;
    endpoints.push_back({NodeId(name), AddressOf(name), Zone(ZoneOf(name))});
  }
  return endpoints;
}

ControlNodeOptions ClusterFleet::ControlOptions(const NodeRecord& self) const {
  ControlNodeOptions options;
  options.self = self;
  options.storage_voters = 0;
  options.cluster_id = kCluster;
  options.control_nodes = Endpoints();
  for (int i = 1; i <= 3; ++i) {
    const std::string name = fmt::format("c{}", i);
    options.initial_members.push_back(
        {InitialMemberReplicaId(kCluster, NodeId(name)), NodeId(name), AddressOf(name), true});
  }
  options.membership_timing = options_.membership;
  options.consensus_limits.snapshot_after_entries = options_.snapshot_after_entries;
  options.platform_list = "127.0.0.100:80";
  options.faults = FaultsFor(self.node.value());
  return options;
}

ClusterFaults ClusterFleet::FaultsFor(const std::string& name) const {
  ClusterFaults faults = options_.faults;
  const auto first = first_builds_.find(name);
  if (first != first_builds_.end()) faults.no_feature_level = first->second;
  return faults;
}

Incarnation ClusterFleet::NewIncarnation(const std::string& name) {
  // Starts at the same moment of virtual time get different numbers.
  const Duration time_of_day = kFirstStart + scheduler_.Now() + clocks_[name];
  return Incarnation(static_cast<uint64_t>(time_of_day.count()) + ++starts_);
}

void ClusterFleet::Start(const std::string& name) {
  const uint64_t incarnation = ++incarnation_counts_[name];
  FleetProcess& process = processes_[name];
  process.environment = std::make_unique<VirtualEnvironment>(
      scheduler_, options_.seed * 1000 + std::hash<std::string>()(name) % 997 + incarnation);
  process.transport = std::make_unique<FleetTransport>(*this, name, incarnation);
  process.platform = std::make_unique<ListCaller>(machine_list);
  NodeRecord self;
  self.node = NodeId(name);
  self.incarnation = NewIncarnation(name);
  self.zone = Zone(ZoneOf(name));
  self.address = AddressOf(name);
  self.control = name[0] == 'c';
  self.gateway = name[0] == 'g';
  if (self.control) {
    disks_.at(name)->Attach(*process.environment);
    process.control = MakeControlNode(
        *process.environment, *process.transport, *disks_.at(name), *process.platform,
        std::make_unique<RecordingStreams>(process.streams), ControlOptions(self));
    REQUIRE(process.control->Start().ok());
    return;
  }
  process.configuration = MakeConfigurationClient(*process.environment, *process.transport, self,
                                                  Endpoints(), {}, FaultsFor(name));
  process.commands = MakeControlClient(*process.environment, *process.transport, self.node,
                                       Endpoints(), self.zone);
  process.configuration->OnChange([this, &process](const ConfigurationDelta&) {
    const Revision revision = process.configuration->configuration().revision;
    if (revision < process.newest_seen) revision_decreased = true;
    process.newest_seen = revision;
  });
  process.configuration->Start();
}

void ClusterFleet::Crash(const std::string& name) {
  FleetProcess& process = processes_.at(name);
  process.environment->Kill();
  ++incarnation_counts_[name];
  if (process.control) disks_.at(name)->Crash();
  processes_.erase(name);
}

bool ClusterFleet::IsReachable(const std::string& from, const std::string& to) const {
  if (from == to) return true;
  return !isolated_.contains(from) && !isolated_.contains(to) && !cut_links_.contains({from, to});
}

void ClusterFleet::Deliver(const NodeId& from, const NodeId& to, const PeerMessage& message) {
  const auto found = processes_.find(to.value());
  if (found == processes_.end() || !IsReachable(from.value(), to.value())) return;
  const bool heartbeat = message.kind == MessageKind::kHeartbeat;
  if (heartbeat && heartbeats_dropped_of_.contains(from.value())) return;
  FleetProcess& process = found->second;
  const bool with_gateway = from.value()[0] == 'g' || to.value()[0] == 'g';
  if (with_gateway) gateway_bytes_ += message.payload.size();
  bytes_from_[from.value()] += message.payload.size();
  if (heartbeat) ++heartbeats_at_[to.value()];
  if (process.control) process.control->Receive(from, message);
  if (process.configuration) {
    pushes_ += message.kind == MessageKind::kConfigurationPush ? 1 : 0;
    process.configuration->Receive(from, message);
  }
  if (process.commands) process.commands->Receive(from, message);
}

std::string ClusterFleet::Leader() {
  for (auto& [name, process] : processes_) {
    if (process.control && process.control->IsClusterLeader() && !isolated_.contains(name)) {
      return name;
    }
  }
  return "";
}

std::string ClusterFleet::AwaitLeader() {
  REQUIRE(RunUntil([this] { return !Leader().empty(); }, std::chrono::seconds(30)));
  return Leader();
}

std::shared_ptr<RecordedAnswer> ClusterFleet::Request(const std::string& node,
                                                      const std::string& method,
                                                      const std::string& target,
                                                      const std::string& body,
                                                      HttpHeaders headers) {
  auto answer = std::make_shared<RecordedAnswer>();
  Process(node).control->Handle({method, target, std::move(headers), body},
                                std::make_shared<RecordingWriter>(answer));
  return answer;
}

RecordedAnswer ClusterFleet::RequestAndWait(const std::string& node, const std::string& method,
                                            const std::string& target, const std::string& body,
                                            HttpHeaders headers) {
  const auto answer = Request(node, method, target, body, std::move(headers));
  REQUIRE(RunUntil([answer] { return answer->finished; }, std::chrono::seconds(60)));
  return *answer;
}

Revision ClusterFleet::PutMachine(const std::string& name, bool drain) {
  const Resource machine = MakeResource(name, MachineSpec{Zone("z1"), "10.0.0.1", drain});
  const RecordedAnswer answer =
      RequestAndWait(AwaitLeader(), "PUT", "/v1/resources/Machine/" + name, ToJson(machine));
  REQUIRE(answer.status == 200);
  return Revision(answer.revision);
}

}  // namespace millstair
