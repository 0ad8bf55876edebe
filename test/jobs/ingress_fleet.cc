#include "test/jobs/ingress_fleet.h"

#include <catch2/catch.hpp>

#include "cluster/cluster_commands.h"
#include "common/event_log.h"
#include "common/random.h"
#include "fmt/format.h"

namespace millstair {
namespace {

constexpr char kClusterName[] = "fleet";
constexpr Duration kReportPause = std::chrono::milliseconds(50);

class NoStreams : public StreamFactory {
 public:
  std::unique_ptr<StateMachine> MakeStateMachine(const GroupId&) override { return nullptr; }
  std::unique_ptr<StreamLeader> MakeLeader(RaftGroup&, StateMachine&) override { return nullptr; }
};

std::string ControlName(int number) { return fmt::format("c{}", number); }

}  // namespace

/// Sends messages of one node, each with a delay of at least 0.5 ms.
class IngressFleet::Transport : public PeerTransport {
 public:
  Transport(IngressFleet& fleet, std::string self) : fleet_(fleet), self_(std::move(self)) {}

  void Send(const NodeId& to, PeerMessage message) override {
    const Duration delay = DrawDuration(fleet_.scheduler.Random(), std::chrono::microseconds(500),
                                        std::chrono::microseconds(1500));
    fleet_.scheduler.Schedule(delay,
                              [&fleet = fleet_, self = self_, to, message = std::move(message)] {
                                fleet.Deliver(self, to, message);
                              });
  }
  void SetAddress(const NodeId&, const std::string&) override {}

 private:
  IngressFleet& fleet_;
  const std::string self_;
};

IngressFleet::IngressFleet(uint64_t seed, int gateways, int server_count, Route route)
    : scheduler(seed), seed_(seed) {
  SetEventThreshold(EventLevel::kError);
  disk_environment_ = std::make_unique<VirtualEnvironment>(scheduler, seed);
  for (int i = 1; i <= kControlNodes; ++i) {
    const std::string name = ControlName(i);
    disks_[name] = std::make_unique<MemoryFileSystem>(*disk_environment_, seed * 31 + i);
    REQUIRE(InitializeInitialMember(*disks_[name], kClusterName, NodeId(name), name).ok());
  }
  for (int i = 1; i <= kControlNodes; ++i) Start(ControlName(i));
  REQUIRE(scheduler.RunUntilTrue([this] { return Leader() != nullptr; }, std::chrono::seconds(30)));
  servers = std::make_unique<CrashingServers>(
      scheduler, server_count, [this](const BackendInstance& instance) { Register(instance); });
  Service pages;
  pages.name = ServiceName("pages");
  pages.health_path = "/healthz";
  table_.table.version = 1;
  table_.table.routes = {std::move(route)};
  table_.table.services = {pages};
  Leader()->Submit(ReplaceRouting{{1, "content"}}, [](const absl::StatusOr<ClusterResult>&) {});
  for (int i = 1; i <= gateways; ++i) Start(fmt::format("g{}", i));
  scheduler.RunFor(std::chrono::seconds(5));
}

IngressFleet::~IngressFleet() {
  SetEventThreshold(EventLevel::kInfo);
  for (auto& [name, process] : processes_) process.environment->Kill();
  scheduler.Clear();
  processes_.clear();
}

std::vector<ControlEndpoint> IngressFleet::Endpoints() const {
  std::vector<ControlEndpoint> endpoints;
  for (int i = 1; i <= kControlNodes; ++i) {
    endpoints.push_back({NodeId(ControlName(i)), ControlName(i), Zone("z1")});
  }
  return endpoints;
}

void IngressFleet::Start(const std::string& name) {
  Process& process = processes_[name];
  process.environment =
      std::make_unique<VirtualEnvironment>(scheduler, seed_ * 1000 + ++incarnations_);
  process.transport = std::make_unique<Transport>(*this, name);
  NodeRecord self;
  self.node = NodeId(name);
  self.incarnation = Incarnation(incarnations_);
  self.zone = Zone("z1");
  self.address = name;
  self.control = name[0] == 'c';
  self.gateway = name[0] == 'g';
  if (self.control) return StartControl(process, self);
  IngressNodeOptions options;
  options.self = self;
  options.control_nodes = Endpoints();
  process.ingress = std::make_unique<IngressNode>(*process.environment, *process.transport,
                                                  *servers, protocol_, table_, options);
  process.ingress->Start();
}

void IngressFleet::StartControl(Process& process, const NodeRecord& self) {
  ControlNodeOptions options;
  options.self = self;
  options.cluster_id = kClusterName;
  options.control_nodes = Endpoints();
  for (int i = 1; i <= kControlNodes; ++i) {
    const NodeId name(ControlName(i));
    options.initial_members.push_back(
        {InitialMemberReplicaId(kClusterName, name), name, ControlName(i), true});
  }
  MemoryFileSystem& disk = *disks_.at(self.node.value());
  disk.Attach(*process.environment);
  process.control = MakeControlNode(*process.environment, *process.transport, disk, platform_,
                                    std::make_unique<NoStreams>(), options);
  REQUIRE(process.control->Start().ok());
}

void IngressFleet::Restart(const std::string& gateway) {
  Process& process = processes_.at(gateway);
  process.environment->Kill();
  process.ingress.reset();
  Start(gateway);
}

void IngressFleet::Deliver(const std::string& from, const NodeId& to, const PeerMessage& message) {
  const auto found = processes_.find(to.value());
  if (found == processes_.end()) return;
  if (isolated_.contains(from) || isolated_.contains(to.value())) return;
  const bool with_control_node = found->second.control != nullptr || processes_.at(from).control;
  const bool cut = without_control_.contains(from) || without_control_.contains(to.value());
  if (cut && with_control_node) return;
  if (found->second.control) found->second.control->Receive(NodeId(from), message);
  if (found->second.ingress) found->second.ingress->Receive(NodeId(from), message);
}

ControlNode* IngressFleet::Leader() {
  for (auto& [name, process] : processes_) {
    if (process.control && process.control->IsClusterLeader()) return process.control.get();
  }
  return nullptr;
}

void IngressFleet::Register(const BackendInstance& instance) {
  unregistered_[instance.id] = instance;
  ControlNode* const leader = Leader();
  if (leader != nullptr) {
    leader->ReportInstance(instance,
                           [this, id = instance.id](const absl::StatusOr<ClusterResult>& result) {
                             if (result.ok()) unregistered_.erase(id);
                           });
  }
  scheduler.Schedule(kReportPause, [this, id = instance.id] {
    const auto again = unregistered_.find(id);
    if (again != unregistered_.end()) Register(again->second);
  });
}

void IngressFleet::Ask(const std::string& gateway, const std::string& target,
                       std::function<void(const ForwardResult&)> done) {
  ForwardRequest request{{"GET", target, {}, ""},
                         "a.example",
                         fmt::format("id{}", ++incarnations_),
                         std::chrono::milliseconds(1500)};
  gateways_[request.request_id] = gateway;
  processes_.at(gateway).ingress->ingress().Forward(std::move(request), std::move(done));
}

}  // namespace millstair
