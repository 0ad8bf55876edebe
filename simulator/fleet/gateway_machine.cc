#include "simulator/fleet/gateway_machine.h"

#include <utility>

#include "fmt/format.h"

namespace millstair::simulator {
namespace {

/// A process ends a moment after it has finished its work.
constexpr Duration kExitTime = std::chrono::milliseconds(20);

}  // namespace

GatewayMachine::GatewayMachine(Surroundings& surroundings, const DeploymentPlan& plan, size_t index,
                               const FleetOptions& options)
    : surroundings_(surroundings),
      deployment_(plan),
      options_(options),
      plan_(plan.gateways[index]),
      host_(surroundings.network.AddHost(plan_.node.value(), plan_.zone)) {
  surroundings_.http.AddAddress(plan_.http_address, host_);
  surroundings_.peers.AddNode(plan_.node, plan_.peer_address, host_);
}

GatewayMachine::~GatewayMachine() { KillProcess(); }

void GatewayMachine::TakeDown() {
  if (down_reasons_++ == 0) KillProcess();
}

void GatewayMachine::BringUp() {
  if (--down_reasons_ == 0) StartProcess();
}

void GatewayMachine::RestartPlanned(Duration pause, std::function<void()> done) {
  if (node_ == nullptr) {
    done();
    return;
  }
  const Incarnation stopping = incarnation_;
  node_->Drain([this, stopping, pause, done = std::move(done)]() mutable {
    if (node_ != nullptr && incarnation_ == stopping) {
      surroundings_.http.StopAccepting(plan_.http_address);
    }
    surroundings_.scheduler.Schedule(kExitTime, [this, stopping, pause, done = std::move(done)] {
      // A fault may have ended the process before it was drained.
      if (node_ != nullptr && incarnation_ == stopping) {
        const size_t open = surroundings_.http.OpenAnswers(host_);
        if (open > 0) {
          surroundings_.history.planned_cuts.push_back(
              {plan_.node, fmt::format("{} answers", open), surroundings_.Now()});
        }
        TakeDown();
        surroundings_.scheduler.Schedule(pause, [this] { BringUp(); });
      }
      surroundings_.scheduler.Schedule(pause, done);
    });
  });
}

void GatewayMachine::SetClockRate(double rate) {
  clock_rate_ = rate;
  if (environment_) environment_->SetRate(rate);
}

void GatewayMachine::SetTimeOfDay(Duration ahead) {
  if (environment_) environment_->JumpWallClock(ahead - time_of_day_ahead_);
  time_of_day_ahead_ = ahead;
}

void GatewayMachine::Suspend() {
  suspended_ = true;
  if (environment_) environment_->Suspend();
}

void GatewayMachine::Wake() {
  suspended_ = false;
  if (environment_) environment_->Wake();
}

GatewayNodeOptions GatewayMachine::Options() const {
  GatewayNodeOptions options;
  options.self = {.node = plan_.node,
                  .incarnation = incarnation_,
                  .zone = plan_.zone,
                  .address = plan_.peer_address,
                  .gateway = true};
  for (const NodePlan& control : deployment_.controls) {
    options.control_nodes.push_back({control.node, control.peer_address, control.zone});
  }
  options.routing_policy = options_.routing_policy;
  options.tail_handling = options_.tail_handling;
  if (options_.product_faults) {
    options.faults = options_.product_faults->gateway;
    options.stream_faults = options_.product_faults->stream;
  }
  return options;
}

void GatewayMachine::StartProcess() {
  incarnation_ = surroundings_.NewIncarnation(time_of_day_ahead_);
  environment_ = std::make_unique<VirtualEnvironment>(
      surroundings_.scheduler, surroundings_.DrawSeed(),
      VirtualClockOptions{.rate = clock_rate_, .wall_error = time_of_day_ahead_});
  if (suspended_) environment_->Suspend();
  transport_ = surroundings_.peers.MakeTransport(plan_.node);
  http_ = std::make_unique<FabricHttpCaller>(surroundings_.http, host_);
  engines_ = std::make_unique<FabricEngineClient>(surroundings_.engines, host_);
  node_ = MakeGatewayNode(*environment_, *transport_, *engines_, *http_, Options());
  surroundings_.peers.SetReceiver(plan_.node, node_.get());
  surroundings_.http.Listen(plan_.http_address, *node_);
  node_->Start();
}

void GatewayMachine::KillProcess() {
  if (node_ == nullptr) return;
  environment_->Kill();
  surroundings_.peers.SetReceiver(plan_.node, nullptr);
  surroundings_.http.StopListening(plan_.http_address);
  surroundings_.http.ResetConnections(host_);
  node_.reset();
  transport_.reset();
  http_.reset();
  engines_.reset();
  environment_.reset();
}

}  // namespace millstair::simulator
