#include "simulator/fleet/back_ends.h"

#include <utility>

namespace millstair::simulator {
namespace {

constexpr std::string_view kReadinessPath = "/readyz";

/// Keeps the incarnations of different engines disjoint.
constexpr uint64_t kIncarnationsPerEngine = 100000;

/// Ends the leaving state that `backend` reported itself.
void RevokeSelfReportedLeaving(RunContext& context, const EngineName& backend) {
  for (checks::BackendLeaving& leaving : context.history.leaving) {
    const bool self_reported = leaving.source == checks::LeavingSource::kSelfReported;
    if (leaving.backend == backend && self_reported && !leaving.until)
      leaving.until = context.Now();
  }
}

MachineListOptions ListOptions() {
  MachineListOptions options;
  options.lag = std::chrono::seconds(3);
  options.late = 0.2;
  options.late_lag = std::chrono::seconds(15);
  return options;
}

EngineModelOptions EngineOptions(const DeploymentPlan& plan, size_t index,
                                 const FleetOptions& options,
                                 const EngineDisturbance& disturbance) {
  EngineModelOptions engine;
  engine.step_time.base = options.step_time;
  engine.activate_failure = disturbance.activate_failure;
  engine.cache_event_loss = disturbance.cache_event_loss;
  engine.cache_event_delay = disturbance.cache_event_delay;
  const WeightVersion first(1);
  engine.initial_weights = {plan.model, first, DigestOf(plan.model, first)};
  engine.first_incarnation = Incarnation((index + 1) * kIncarnationsPerEngine + 1);
  return engine;
}

}  // namespace

Platform::Platform(RunContext& context, const DeploymentPlan& plan)
    : context_(context),
      scorer_address_(plan.scorer),
      environment_(context.scheduler, context.DrawSeed()),
      store_host_(context.network.AddHost("weight-store", plan.zones[0])),
      store_(environment_, {.bytes_per_second = plan.store_bytes_per_second,
                            .burst_bytes = plan.store_bytes_per_second,
                            .version_bytes = plan.version_bytes}),
      scorer_(environment_, {}),
      list_(environment_, ListOptions()) {
  context.http.AddAddress(plan.weight_store, store_host_);
  context.http.Listen(plan.weight_store, store_);
  const HostId scorer_host = context.network.AddHost("scorer", plan.zones[0]);
  context.http.AddAddress(plan.scorer, scorer_host);
  context.http.Listen(plan.scorer, scorer_);
  const HostId list_host = context.network.AddHost("machine-list", plan.zones[0]);
  context.http.AddAddress(plan.machine_list, list_host);
  context.http.Listen(plan.machine_list, list_);
  for (const std::vector<BackendPlan>* backends : {&plan.engines, &plan.servers}) {
    for (const BackendPlan& backend : *backends) list_.Add({backend.machine_address});
  }
}

void Platform::SetScorerDown(bool down) {
  if (down) {
    context_.http.StopListening(scorer_address_);
  } else {
    context_.http.Listen(scorer_address_, scorer_);
  }
}

EngineMachine::EngineMachine(RunContext& context, Platform& platform, const DeploymentPlan& plan,
                             size_t index, const FleetOptions& options,
                             const EngineDisturbance& disturbance)
    : context_(context),
      plan_(plan.engines[index]),
      host_(context.network.AddHost(plan_.name.value(), plan_.zone)),
      environment_(context.scheduler, context.DrawSeed()),
      model_(std::make_unique<EngineModel>(
          environment_, EngineOptions(plan, index, options, disturbance), Links(platform))) {
  context_.http.AddAddress(plan_.address, host_);
  context_.engines.Add(plan_.address, *model_);
}

EngineModelLinks EngineMachine::Links(Platform& platform) {
  EngineModelLinks links;
  links.fetch_weights = [this, &platform](const std::string& location,
                                          std::function<void(absl::StatusOr<WeightDigest>)> done) {
    if (!context_.network.OpenBothWays(host_, platform.store_host())) {
      environment_.Schedule(kConnectTimeout, [done = std::move(done)] {
        done(absl::UnavailableError("weight store is unreachable"));
      });
      return;
    }
    platform.store().Fetch(location, std::move(done));
  };
  links.fetch_kv = [this](const std::string& address, const std::vector<BlockHash>& blocks,
                          std::function<void(absl::StatusOr<KvExport>)> done) {
    EngineModel* other = context_.engines.Find(address);
    const Duration round_trip = std::chrono::milliseconds(2);
    environment_.Schedule(round_trip, [other, blocks, done = std::move(done)] {
      if (other == nullptr) {
        done(absl::UnavailableError("no engine at this address"));
        return;
      }
      done(other->ExportKv(blocks));
    });
  };
  return links;
}

void EngineMachine::TakeDown() {
  if (down_reasons_++ > 0) return;
  model_->Crash();
  // The next incarnation does not inherit the leaving state.
  RevokeSelfReportedLeaving(context_, plan_.name);
  context_.engines.Refresh(plan_.address);
}

void EngineMachine::BringUp() {
  if (--down_reasons_ > 0) return;
  model_->Restart();
  context_.engines.Refresh(plan_.address);
}

void EngineMachine::Drain() {
  // A process that is down reports nothing, and its next incarnation does not inherit the state.
  if (down_reasons_ > 0) return;
  model_->Drain();
  context_.history.leaving.push_back(
      {plan_.name, checks::LeavingSource::kSelfReported, context_.Now(), std::nullopt});
}

void EngineMachine::Undrain() {
  model_->Undrain();
  RevokeSelfReportedLeaving(context_, plan_.name);
}

namespace {

std::string HeaderOf(const HttpRequest& request, std::string_view name) {
  return std::string(FindHeader(request.headers, name).value_or(""));
}

}  // namespace

ServerMachine::ServerMachine(RunContext& context, const DeploymentPlan& plan, size_t index)
    : context_(context),
      plan_(plan.servers[index]),
      host_(context.network.AddHost(plan_.name.value(), plan_.zone)),
      environment_(context.scheduler, context.DrawSeed()),
      model_(environment_, {.name = plan_.name.value()}) {
  context_.http.AddAddress(plan_.address, host_);
  context_.http.Listen(plan_.address, *this);
}

uint64_t ServerMachine::Executions(const ExecutionKey& key) const {
  const auto found = model_.executions().find(key);
  return found == model_.executions().end() ? 0 : found->second.count;
}

void ServerMachine::Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) {
  if (request.target == kReadinessPath) {
    // Readiness probes are not recorded as arrivals of work.
    model_.Handle(std::move(request), std::move(writer));
    return;
  }
  const std::string attempt_id = HeaderOf(request, "X-Request-Id");
  const ExecutionKey key{request.method, request.target.substr(0, request.target.find('?')),
                         HeaderOf(request, "Idempotency-Key")};
  context_.history.arrivals.push_back({plan_.name, context_.Now(), attempt_id});
  // The model executes a request on arrival or not at all.
  const uint64_t before = Executions(key);
  model_.Handle(std::move(request), std::move(writer));
  if (Executions(key) == before) return;
  context_.history.executions.push_back({plan_.name, attempt_id, key.key, context_.Now()});
}

void ServerMachine::TakeDown() {
  if (down_reasons_++ > 0) return;
  context_.http.StopListening(plan_.address);
  model_.Crash();
  RevokeSelfReportedLeaving(context_, plan_.name);
  context_.http.ResetConnections(host_);
}

void ServerMachine::BringUp() {
  if (--down_reasons_ > 0) return;
  model_.Restart();
  context_.http.Listen(plan_.address, *this);
}

void ServerMachine::Drain() {
  // A process that is down reports nothing, and its next incarnation does not inherit the state.
  if (down_reasons_ > 0) return;
  model_.Drain();
  context_.history.leaving.push_back(
      {plan_.name, checks::LeavingSource::kSelfReported, context_.Now(), std::nullopt});
}

void ServerMachine::Undrain() {
  model_.Undrain();
  RevokeSelfReportedLeaving(context_, plan_.name);
}

void ServerMachine::SetCutAnswers(double share) {
  PlainServerOptions options;
  options.name = plan_.name.value();
  options.cut_answer = share;
  model_.SetOptions(options);
}

void PromptRegistry::Collect(const EngineMachine& engine, const TruthLog& truth,
                             checks::History& history) const {
  for (const TruthRecord& record : truth.records()) {
    const auto prompt = prompts_.find(record.prompt.value);
    if (prompt == prompts_.end()) continue;
    for (const TruthSpan& span : record.spans) {
      history.generated.push_back({engine.plan().name, span.span.engine_incarnation, prompt->second,
                                   span.span.first_token, span.span.token_count, span.span.version,
                                   span.span.digest});
    }
  }
}

}  // namespace millstair::simulator
