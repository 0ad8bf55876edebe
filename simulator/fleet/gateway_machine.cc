#include "simulator/fleet/gateway_machine.h"

#include <utility>

#include "fmt/format.h"

namespace millstair::simulator {
namespace {

/// Time between the end of draining and the exit of the process.
constexpr Duration kExitTime = std::chrono::milliseconds(20);

}  // namespace

GatewayMachine::GatewayMachine(RunContext& context, const DeploymentPlan& plan, size_t index,
                               const FleetOptions& options)
    : context_(context),
      deployment_(plan),
      options_(options),
      plan_(plan.gateways[index]),
      host_(context.network.AddHost(plan_.node.value(), plan_.zone)) {
  context_.http.AddAddress(plan_.http_address, host_);
  context_.peers.AddNode(plan_.node, plan_.peer_address, host_);
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
      context_.http.StopAccepting(plan_.http_address);
    }
    context_.scheduler.Schedule(kExitTime, [this, stopping, pause, done = std::move(done)] {
      // A fault may have killed the process before it was drained.
      if (node_ != nullptr && incarnation_ == stopping) {
        const size_t open = context_.http.OpenAnswers(host_);
        if (open > 0) {
          context_.history.planned_cuts.push_back(
              {plan_.node, fmt::format("{} answers", open), context_.Now()});
        }
        TakeDown();
        context_.scheduler.Schedule(pause, [this] { BringUp(); });
      }
      context_.scheduler.Schedule(pause, done);
    });
  });
}

void GatewayMachine::SetClockRate(double rate) {
  clock_rate_ = rate;
  if (environment_) environment_->SetRate(rate);
}

void GatewayMachine::SetWallClockOffset(Duration offset) {
  if (environment_) environment_->JumpWallClock(offset - wall_clock_offset_);
  wall_clock_offset_ = offset;
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
  incarnation_ = context_.NewIncarnation(wall_clock_offset_);
  environment_ = std::make_unique<VirtualEnvironment>(
      context_.scheduler, context_.DrawSeed(),
      VirtualClockOptions{.rate = clock_rate_, .wall_error = wall_clock_offset_});
  if (suspended_) environment_->Suspend();
  transport_ = context_.peers.MakeTransport(plan_.node);
  http_ = std::make_unique<FabricHttpCaller>(context_.http, host_);
  engines_ = std::make_unique<FabricEngineClient>(context_.engines, host_);
  node_ = MakeGatewayNode(*environment_, *transport_, *engines_, *http_, Options());
  context_.peers.SetReceiver(plan_.node, node_.get());
  context_.http.Listen(plan_.http_address, *node_);
  node_->Start();
}

void GatewayMachine::KillProcess() {
  if (node_ == nullptr) return;
  environment_->Kill();
  context_.peers.SetReceiver(plan_.node, nullptr);
  context_.http.StopListening(plan_.http_address);
  context_.http.ResetConnections(host_);
  node_.reset();
  transport_.reset();
  http_.reset();
  engines_.reset();
  environment_.reset();
}

}  // namespace millstair::simulator
