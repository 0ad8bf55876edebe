#include "gateway/gateway_node.h"

#include <utility>

#include "common/event_log.h"
#include "gateway/engine_observer.h"
#include "gateway/gateway_context.h"
#include "gateway/gateway_stats.h"
#include "gateway/live_service.h"
#include "gateway/request_meta.h"
#include "http/problem.h"
#include "rollout/rollout_worker.h"
#include "rollout/trainer_service.h"
#include "weights/engine_reconciler.h"

namespace millstair {
namespace {

constexpr Duration kStatsInterval = std::chrono::milliseconds(500);

RouterOptions RouterOptionsOf(const GatewayNodeOptions& options) {
  RouterOptions router;
  router.zone = options.self.zone;
  router.policy = options.routing_policy;
  router.faults.choose_leaving = options.faults.work_to_leaving;
  return router;
}

RolloutWorkerOptions WorkerOptionsOf(const GatewayNodeOptions& options) {
  RolloutWorkerOptions worker;
  worker.self = options.self.node;
  worker.zone = options.self.zone;
  worker.control_nodes = options.control_nodes;
  worker.work_poll = options.timing.work_poll;
  worker.tail_handling = options.tail_handling;
  worker.faults = options.stream_faults;
  return worker;
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
        reconciler_(MakeEngineReconciler(environment, engines, *configuration_)),
        worker_(MakeRolloutWorker(environment, transport, engines, http, router_, *control_,
                                  *configuration_, WorkerOptionsOf(options_))),
        trainers_(MakeTrainerService(environment, *control_, *configuration_)),
        drain_timer_(environment),
        stats_timer_(environment) {
    router_.SetGate([this] {
      return !draining_ && (configuration_->LeaseValid() || options_.faults.ignore_lease);
    });
  }

  void Start() override {
    configuration_->OnChange([this](const ConfigurationDelta&) { OnConfiguration(); });
    observer_.OnReport([this](const EngineName& engine, const EngineReport& report) {
      reconciler_->OnEngineReport(engine, report);
      router_.SetWeightsUncertain(engine, reconciler_->AreWeightsUncertain(engine));
    });
    configuration_->Start();
    observer_.Start();
    reconciler_->Start();
    worker_->Start();
    if (options_.stats == nullptr) return;
    stats_ = std::make_unique<GatewayStats>(*options_.stats);
    RegisterStats();
    PublishStats();
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
    if (TrainerService::Serves(request.target)) {
      HandleTrainer(std::move(request), std::move(writer));
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
      case MessageKind::kWorkReply:
        worker_->Receive(from, message);
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
      live_.AbortAll();
      CheckDrained();
    });
    worker_->Drain(alive_.Guard([this] {
      worker_drained_ = true;
      CheckDrained();
    }));
    trainers_->Drain(alive_.Guard([this] {
      trainers_drained_ = true;
      CheckDrained();
    }));
    // Deferred so that `done` is never called from within Drain.
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

  void HandleTrainer(HttpRequest request, std::shared_ptr<ResponseWriter> writer) {
    if (!draining_) {
      trainers_->Handle(std::move(request), std::move(writer));
      return;
    }
    RespondProblem(*writer, {503, "draining", "this gateway is stopping", Outcome::kNotRun,
                             std::chrono::seconds(1)});
  }

  void RegisterStats();
  void PublishStats() {
    stats_->Publish();
    stats_timer_.Arm(kStatsInterval, [this] { PublishStats(); });
  }

  void OnConfiguration() {
    const Configuration& configuration = configuration_->configuration();
    router_.UpdateConfiguration(configuration);
    reconciler_->SetObserved(observer_.ObservedRanks());
    for (const auto& [id, node] : configuration.nodes) {
      if (node.gateway && id != options_.self.node) transport_.SetAddress(id, node.address);
    }
  }

  void CheckDrained() {
    if (!draining_ || !on_drained_) return;
    if (live_.running() > 0 || !worker_drained_ || !trainers_drained_) return;
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
  std::unique_ptr<EngineReconciler> reconciler_;
  std::unique_ptr<RolloutWorker> worker_;
  std::unique_ptr<TrainerService> trainers_;
  std::unique_ptr<GatewayStats> stats_;
  ScopedTimer drain_timer_;
  ScopedTimer stats_timer_;
  bool worker_drained_ = false;
  bool trainers_drained_ = false;
  bool draining_ = false;
  std::function<void()> on_drained_;
  AliveFlag alive_;
};

void GatewayNodeImpl::RegisterStats() {
  const GatewayCounters& live = context_.counters;
  const auto count = [this](const char* name, const char* help, const uint64_t& value) {
    stats_->AddCounter(name, help, [&value] { return value; });
  };
  count("requests", "Live requests that matched a traffic group.", live.requests);
  count("answered", "Live requests answered whole by a back end.", live.answered);
  count("refused_not_run", "Answers that say not-run.", live.refused_not_run);
  count("failed_unknown", "Answers that say unknown.", live.failed_unknown);
  count("failed_ran", "Problem answers that say ran.", live.failed_ran);
  count("cut_answers", "Answers that broke off after they had begun.", live.aborted_answers);
  count("callers_gone", "Callers that left before their answer.", live.callers_disconnected);
  count("retries", "Further tries of live requests.", live.retries);
  count("resumes", "Generations that went on on another engine.", live.resumes);
  count("hedges", "Second tries at a slow answer.", live.hedges);
  count("deadlines_passed", "Requests whose deadline passed.", live.deadlines_passed);
  count("refused_without_lease", "Requests refused for want of a configuration lease.",
        live.refused_without_lease);
  count("refused_by_admission", "Requests refused by a traffic group's limits.",
        live.refused_by_admission);
  count("refused_too_late", "Requests that no engine could finish in time.", live.refused_too_late);
  count("claims_taken", "Once-only claims granted.", live.claims_taken);
  count("claims_refused", "Once-only claims refused.", live.claims_refused);
  count("tokens", "Tokens of live completions.", live.tokens);
  const RouterCounters& routing = router_.counters();
  count("routing_decisions", "Choices of a back end.", routing.decisions);
  count("routing_no_engine", "Choices that found no back end.", routing.no_engine);
  count("routing_other_zone", "Choices of a back end in another zone.", routing.other_zone);
  count("routing_prompt_tokens", "Prompt tokens routed.", routing.prompt_tokens);
  count("routing_cached_tokens", "Prompt tokens expected to be cached where they were routed.",
        routing.prefix_tokens_expected);
  const ObserverCounters& observed = observer_.counters();
  count("polls", "Reports asked of engines.", observed.polls);
  count("poll_failures", "Reports that engines did not give.", observed.poll_failures);
  count("cache_resyncs", "Readings of all blocks of an engine's cache.", observed.resyncs);
  const RolloutCounts& rollout = worker_->counts();
  count("rollout_attempts", "Rollout attempts begun.", rollout.attempts_started);
  count("rollout_samples", "Samples appended to their streams.", rollout.samples_appended);
  count("rollout_voided", "Samples whose weight versions did not add up.", rollout.samples_voided);
  count("rollout_moved", "Stragglers moved to another engine.", rollout.stragglers_moved);
  count("rollout_tokens", "Tokens of rollouts.", rollout.tokens);
  const ReconcilerCounts& orders = reconciler_->counts();
  count("orders_sent", "Orders sent to engines.", orders.orders_sent);
  count("orders_failed", "Orders that engines refused or failed.", orders.orders_failed);
  stats_->AddGauge("live_running", "Live requests under way.",
                   [this] { return static_cast<double>(live_.running()); });
  stats_->AddGauge("rollouts_running", "Rollout attempts under way.",
                   [this] { return static_cast<double>(worker_->running()); });
  stats_->AddGauge("lease_valid", "1 while the configuration is proven fresh.",
                   [this] { return configuration_->LeaseValid() ? 1.0 : 0.0; });
  stats_->AddGauge("configuration_revision", "Revision in force on this node.", [this] {
    return static_cast<double>(configuration_->configuration().revision.value());
  });
}

}  // namespace

std::unique_ptr<GatewayNode> MakeGatewayNode(Environment& environment, PeerTransport& transport,
                                             EngineClient& engines, HttpCaller& http,
                                             GatewayNodeOptions options) {
  return std::make_unique<GatewayNodeImpl>(environment, transport, engines, http,
                                           std::move(options));
}

}  // namespace millstair
