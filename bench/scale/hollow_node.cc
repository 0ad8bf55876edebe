#include "bench/scale/hollow_node.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace millstair {
namespace {

constexpr size_t kRevisionsKept = 4096;

class NoCall : public CallHandle {};

}  // namespace

int64_t SteadyMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::unique_ptr<CallHandle> RefusingHttpCaller::Start(const std::string& address,
                                                      HttpRequest request,
                                                      HttpCallObserver& observer) {
  (void)address;
  (void)request;
  environment_.Schedule(Duration(0), [&observer] {
    observer.OnFailed(CallFailure::kNotSent, "hollow nodes have no plain back ends");
  });
  return std::make_unique<NoCall>();
}

absl::StatusOr<std::unique_ptr<HollowNode>> HollowNode::Start(Runtime& runtime,
                                                              StatsRegistry& stats,
                                                              HollowNodeOptions options) {
  std::unique_ptr<HollowNode> node(new HollowNode(std::move(options)));
  const absl::Status built = node->Build(runtime, stats);
  if (!built.ok()) return built;
  return node;
}

absl::Status HollowNode::Build(Runtime& runtime, StatsRegistry& stats) {
  executor_ = runtime.NewExecutor();
  environment_ = std::make_unique<RuntimeEnvironment>(runtime, executor_);
  PeerTransportOptions transport;
  transport.self = options_.node;
  transport.incarnation = Incarnation(static_cast<uint64_t>(SteadyMicroseconds()));
  transport.cluster_id = options_.cluster_id;
  auto listening = TcpPeerTransport::Listen(runtime, executor_, transport, &stats);
  if (!listening.ok()) return listening.status();
  transport_ = *std::move(listening);
  engines_ = std::make_unique<HollowEngines>(*environment_, options_.engines);
  http_ = std::make_unique<RefusingHttpCaller>(*environment_);

  GatewayNodeOptions gateway;
  gateway.self.node = options_.node;
  gateway.self.incarnation = transport.incarnation;
  gateway.self.zone = options_.zone;
  gateway.self.address = transport_->address();
  gateway.self.gateway = true;
  gateway.control_nodes = options_.control_nodes;
  executor_->Post([this, gateway] {
    gateway_ = MakeGatewayNode(*environment_, *transport_, *engines_, *http_, gateway);
    transport_->SetReceiver(this);
    gateway_->Start();
  });
  return absl::OkStatus();
}

HollowNode::~HollowNode() {
  if (executor_ == nullptr) return;
  executor_->PostAndWait([this] {
    if (transport_ != nullptr) transport_->SetReceiver(nullptr);
    gateway_.reset();
    http_.reset();
    engines_.reset();
    transport_.reset();
  });
  executor_->Stop();
}

void HollowNode::Receive(const NodeId& from, const PeerMessage& message) {
  gateway_->Receive(from, message);
  const bool configuration = message.kind == MessageKind::kConfigurationPush ||
                             message.kind == MessageKind::kHeartbeatReply;
  if (configuration) NoteConfiguration();
}

void HollowNode::NoteConfiguration() {
  const std::lock_guard<std::mutex> lock(mutex_);
  record_.ready = gateway_->Ready();
  const Configuration& configuration = gateway_->configuration();
  const bool changed =
      record_.revisions.empty() || record_.revisions.back().revision != configuration.revision;
  if (!changed) return;
  const int64_t now = SteadyMicroseconds();
  record_.revisions.push_back({configuration.revision, now});
  if (record_.revisions.size() > kRevisionsKept) {
    record_.revisions.erase(record_.revisions.begin());
  }
  for (const auto& entry : configuration.nodes) {
    if (entry.second.state != MemberState::kGone) continue;
    const NodeId& node = entry.first;
    const bool known = std::any_of(record_.gone.begin(), record_.gone.end(),
                                   [&node](const SeenGone& seen) { return seen.node == node; });
    if (!known) record_.gone.push_back({node, now});
  }
}

void HollowNode::NoteActivations() {
  // RuntimeEnvironment counts the steady clock too, but from a start of its own.
  const int64_t offset = SteadyMicroseconds() - environment_->Now().time_since_epoch().count();
  std::vector<SeenActivation> seen;
  for (const HollowActivation& activation : engines_->activations()) {
    seen.push_back({activation.address, activation.version,
                    activation.at.time_since_epoch().count() + offset});
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  record_.activations = std::move(seen);
}

HollowRecord HollowNode::Record() {
  executor_->PostAndWait([this] { NoteActivations(); });
  const std::lock_guard<std::mutex> lock(mutex_);
  return record_;
}

}  // namespace millstair
