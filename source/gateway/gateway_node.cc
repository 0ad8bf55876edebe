#include "gateway/gateway_node.h"

#include <utility>

#include "common/event_log.h"
#include "gateway/engine_observer.h"
#include "gateway/gateway_context.h"
#include "gateway/live_service.h"
#include "gateway/request_meta.h"
#include "http/problem.h"

namespace millstair {
namespace {

RouterOptions RouterOptionsOf(const GatewayNodeOptions& options) {
  RouterOptions router;
  router.zone = options.self.zone;
  router.policy = options.routing_policy;
  router.faults.choose_leaving = options.faults.work_to_leaving;
  return router;
}

ObserverOptions ObserverOptionsOf(const GatewayNodeOptions& options) {
  ObserverOptions observer;
  observer.poll = options.timing.report_poll;
  return observer;
}

class GatewayNodeImpl : public GatewayNode {
 public:
  GatewayNodeImpl(Environment& environment, PeerTransport& transport, EngineClient& engines,
                  HttpCaller& http, GatewayNodeOptions options)
      : environment_(environment),
        transport_(transport),
        options_(std::move(options)),
        configuration_(MakeConfigurationClient(environment, transport, options_.self,
                                               options_.control_nodes,
                                               options_.configuration_timing)),
        control_(MakeControlClient(environment, transport, options_.self.node,
                                   options_.control_nodes, options_.self.zone)),
        router_(environment, RouterOptionsOf(options_)),
        context_(environment, *configuration_, *control_, engines, http, router_, options_.self,
                 options_.faults),
        live_(context_),
        observer_(environment, transport, engines, http, *configuration_, router_, options_.self,
                  ObserverOptionsOf(options_)),
        drain_timer_(environment) {
    router_.SetGate([this] {
      return !draining_ && (configuration_->LeaseValid() || options_.faults.ignore_lease);
    });
  }

  void Start() override {
    configuration_->OnChange([this] { OnConfiguration(); });
    configuration_->Start();
    observer_.Start();
  }

  bool Ready() const override {
    return !draining_ && configuration_->configuration().revision != Revision() &&
           configuration_->LeaseValid();
  }

  const Configuration& configuration() const override { return configuration_->configuration(); }

  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override {
    const std::string_view path = PathOf(request);
    if (path == "/livez") {
      Respond(*writer, {200, {{"Content-Type", "text/plain"}}}, "ok\n");
      return;
    }
    if (path == "/readyz") {
      AnswerReady(*writer);
      return;
    }
    live_.Handle(std::move(request), std::move(writer));
  }

  void Receive(const NodeId& from, const PeerMessage& message) override {
    switch (message.kind) {
      case MessageKind::kHeartbeatReply:
      case MessageKind::kConfigurationPush:
        configuration_->Receive(from, message);
        return;
      case MessageKind::kCommandReply:
        control_->Receive(from, message);
        return;
      case MessageKind::kEngineReport:
        observer_.Receive(from, message);
        return;
      default:
        return;
    }
  }

  void Drain(std::function<void()> done) override {
    if (draining_) return;
    LogEvent(EventId::kGatewayDraining, "node={} running={}", options_.self.node.value(),
             live_.running());
    draining_ = true;
    on_drained_ = std::move(done);
    configuration_->SetLeaving();
    live_.BeginDrain();
    live_.OnIdle([this] { CheckDrained(); });
    drain_timer_.Arm(options_.timing.drain_limit, [this] {
      LogEvent(EventId::kAnswersCut, "node={} running={}", options_.self.node.value(),
               live_.running());
      live_.CutAll();
      CheckDrained();
    });
    // Not from within the caller's own call.
    environment_.Schedule(Duration(0), alive_.Guard([this] { CheckDrained(); }));
  }

 private:
  void AnswerReady(ResponseWriter& writer) const {
    if (Ready()) {
      Respond(writer, {200, {{"Content-Type", "text/plain"}}}, "ready\n");
      return;
    }
    RespondProblem(writer, {503, "not-ready", draining_ ? "stopping" : "no confirmed configuration",
                            Outcome::kNotRun, std::chrono::seconds(1)});
  }

  void OnConfiguration() {
    const Configuration& configuration = configuration_->configuration();
    router_.UpdateConfiguration(configuration);
    for (const auto& [id, node] : configuration.nodes) {
      if (node.gateway && id != options_.self.node) transport_.SetAddress(id, node.address);
    }
  }

  void CheckDrained() {
    if (!draining_ || live_.running() > 0 || !on_drained_) return;
    LogEvent(EventId::kGatewayDrained, "node={}", options_.self.node.value());
    drain_timer_.Cancel();
    const std::function<void()> done = std::move(on_drained_);
    on_drained_ = nullptr;
    done();
  }

  Environment& environment_;
  PeerTransport& transport_;
  GatewayNodeOptions options_;
  std::unique_ptr<ConfigurationClient> configuration_;
  std::unique_ptr<ControlClient> control_;
  EngineRouter router_;
  GatewayContext context_;
  LiveService live_;
  EngineObserver observer_;
  ScopedTimer drain_timer_;
  bool draining_ = false;
  std::function<void()> on_drained_;
  AliveFlag alive_;
};

}  // namespace

std::unique_ptr<GatewayNode> MakeGatewayNode(Environment& environment, PeerTransport& transport,
                                             EngineClient& engines, HttpCaller& http,
                                             GatewayNodeOptions options) {
  return std::make_unique<GatewayNodeImpl>(environment, transport, engines, http,
                                           std::move(options));
}

}  // namespace millstair
