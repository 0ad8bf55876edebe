#include "gateway/engine_observer.h"

#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "common/random.h"

namespace millstair {
namespace {

/// Approximate size of an encoded report; determines the sharing interval.
constexpr uint32_t kBytesPerReport = 90;
/// The second observer shares after it received nothing from the first for this many intervals.
constexpr int kTakeoverIntervals = 3;
constexpr Duration kResyncInterval = std::chrono::seconds(3);
constexpr Duration kProbeTimeout = std::chrono::seconds(2);
/// Maximum cache events of an engine in one message; beyond it a gap is sent and receivers resync.
constexpr size_t kMaxSharedEvents = 2048;

WeightVersion NewestStaged(const EngineReport& report) {
  WeightVersion newest;
  for (const WeightVersion version : report.staged_versions) newest = std::max(newest, version);
  return newest;
}

bool SameObservation(const EngineObservation& a, const EngineObservation& b) {
  return a.incarnation == b.incarnation && a.leaving == b.leaving && a.staged == b.staged &&
         a.active == b.active && a.consistent == b.consistent;
}

/// Free slots for sequences; ranks the engines of a summary.
double FreeSlotsOf(const EngineReport& report) {
  return static_cast<double>(report.max_sequences) - report.running_sequences -
         report.waiting_sequences;
}

}  // namespace

EngineObserver::EngineObserver(Environment& environment, PeerTransport& transport,
                               EngineClient& engines, HttpCaller& http,
                               ConfigurationClient& configuration, EngineRouter& router,
                               NodeRecord self, ObserverOptions options)
    : environment_(environment),
      transport_(transport),
      engines_(engines),
      http_(http),
      configuration_(configuration),
      router_(router),
      self_(std::move(self)),
      options_(options),
      timer_(environment) {}

void EngineObserver::Start() { Tick(); }

void EngineObserver::Stop() {
  timer_.Cancel();
  observed_.clear();
}

bool EngineObserver::Observes(const EngineName& engine) const {
  const std::vector<NodeId>& observers = router_.observers().Observers(engine);
  // Until the configuration lists a gateway, this one polls every engine itself.
  if (observers.empty()) return true;
  return std::find(observers.begin(), observers.end(), self_.node) != observers.end();
}

std::map<EngineName, uint32_t> EngineObserver::ObservedRanks() const {
  std::map<EngineName, uint32_t> ranks;
  for (const auto& [key, resource] : configuration_.configuration().resources) {
    if (key.kind != ResourceKind::kEngine) continue;
    const EngineName engine(key.name);
    if (!Observes(engine)) continue;
    const std::vector<NodeId>& observers = router_.observers().Observers(engine);
    const bool first = observers.empty() || observers.front() == self_.node;
    ranks[engine] = first ? 0 : 1;
  }
  return ranks;
}

void EngineObserver::Tick() {
  const Duration jitter = DrawDuration(environment_.Random(), Duration(0), options_.poll / 10);
  timer_.Arm(options_.poll - options_.poll / 20 + jitter, [this] { Tick(); });
  const Configuration& configuration = configuration_.configuration();
  router_.UpdateConfiguration(configuration);
  for (const auto& [key, resource] : configuration.resources) {
    const auto* spec = std::get_if<EngineSpec>(&resource.spec);
    if (spec == nullptr) continue;
    const EngineName engine(resource.name);
    TickEngine(engine, *spec, Observes(engine));
  }
  std::erase_if(observed_, [&configuration](const auto& entry) {
    return !configuration.resources.contains({ResourceKind::kEngine, entry.first.value()});
  });
  const TimePoint now = environment_.Now();
  if (now - shared_at_ >= ShareInterval()) Share();
  if (now - summary_at_ >= options_.summary_interval) SendSummary();
}

void EngineObserver::TickEngine(const EngineName& engine, const EngineSpec& spec, bool observes) {
  if (!observes) {
    // A gap in the shared cache events is closed by reading all blocks from the engine.
    if (spec.type != EngineType::kModel) return;
    const bool home = router_.observers().HomeZone(engine) == self_.zone;
    const auto slot = router_.SlotOf(engine);
    const EngineView* view = router_.FindEngine(engine);
    if (!home || !slot || view == nullptr || !view->load.has_report()) return;
    if (view->load.report().newest_cache_event == 0) return;
    if (router_.prefixes().NeedsResync(*slot)) ReadCache(engine, spec.address, true);
    return;
  }
  if (spec.type == EngineType::kModel) {
    Poll(engine, spec.address);
  } else {
    Probe(engine, spec);
  }
}

void EngineObserver::Poll(const EngineName& engine, const std::string& address) {
  Observed& observed = observed_[engine];
  if (observed.polling) return;
  observed.polling = true;
  ++counters_.polls;
  engines_.FetchReport(
      address, alive_.Guard([this, engine, address](const absl::StatusOr<EngineReport>& report) {
        OnPolled(engine, address, report);
      }));
}

void EngineObserver::OnPolled(const EngineName& engine, const std::string& address,
                              const absl::StatusOr<EngineReport>& report) {
  const auto found = observed_.find(engine);
  if (found == observed_.end()) return;
  Observed& observed = found->second;
  observed.polling = false;
  if (!report.ok()) {
    ++counters_.poll_failures;
    router_.SetReachable(engine, false);
    return;
  }
  observed.report = *report;
  observed.taken_at = environment_.Now() - report->age;
  observed.has_report = true;
  observed.fresh = true;
  router_.ApplyReport(engine, *report, observed.taken_at);
  router_.SetReachable(engine, true);
  if (!listener_) {
    ReportToControlNodes(engine,
                         {engine, report->incarnation, report->draining, NewestStaged(*report),
                          report->active_version, report->shards == ShardState::kConsistent});
  }
  const auto slot = router_.SlotOf(engine);
  if (slot) {
    const bool resync = router_.prefixes().NeedsResync(*slot);
    const bool behind = router_.prefixes().NewestEvent(*slot) < report->newest_cache_event;
    if (resync || behind) ReadCache(engine, address, resync);
  }
  if (listener_) listener_(engine, *report);
}

void EngineObserver::ReadCache(const EngineName& engine, const std::string& address, bool resync) {
  Observed& observed = observed_[engine];
  const auto slot = router_.SlotOf(engine);
  if (observed.reading_cache || !slot) return;
  const TimePoint now = environment_.Now();
  if (resync) {
    if (now - observed.resync_at < kResyncInterval) return;
    observed.resync_at = now;
    ++counters_.resyncs;
  }
  observed.reading_cache = true;
  const uint64_t after = router_.prefixes().NewestEvent(*slot);
  engines_.FetchCacheEvents(
      address, after, resync,
      alive_.Guard([this, engine, after, resync](const absl::StatusOr<CacheEvents>& events) {
        const auto found = observed_.find(engine);
        if (found == observed_.end()) return;
        found->second.reading_cache = false;
        if (!events.ok()) return;
        router_.ApplyCacheEvents(engine, after, resync, *events);
        // Full reads are not shared: a gateway that missed events resyncs by itself.
        if (!resync && Observes(engine)) found->second.cache.push_back({after, resync, *events});
      }));
}

void EngineObserver::Probe(const EngineName& engine, const EngineSpec& spec) {
  Observed& observed = observed_[engine];
  const TimePoint now = environment_.Now();
  const EngineView* view = router_.FindEngine(engine);
  if (view != nullptr && view->reported_leaving && !observed.plain_leaving) {
    // Reported by the back end in a response to a request.
    observed.plain_leaving = true;
    observed.leaving_reported_at = now;
    ReportToControlNodes(engine,
                         {engine, Incarnation(), true, WeightVersion(), WeightVersion(), true});
  }
  if (observed.probe != nullptr || now - observed.probed_at < options_.probe) return;
  observed.probed_at = now;
  observed.probe = std::make_unique<ReadinessProbe>(
      environment_, http_, spec.address, kProbeTimeout,
      alive_.Guard([this, engine](Readiness readiness) { OnProbed(engine, readiness); }));
}

void EngineObserver::OnProbed(const EngineName& engine, Readiness readiness) {
  const auto found = observed_.find(engine);
  if (found == observed_.end()) return;
  Observed& observed = found->second;
  const std::unique_ptr<ReadinessProbe> ended = std::move(observed.probe);
  const TimePoint now = environment_.Now();
  router_.SetReachable(engine, readiness != Readiness::kUnreachable);
  if (readiness == Readiness::kUnreachable) return;
  bool leaving = readiness == Readiness::kLeaving;
  if (readiness == Readiness::kNoReadinessPage && observed.plain_leaving) {
    leaving = now - observed.leaving_reported_at < options_.leaving_hold;
  }
  if (leaving && !observed.plain_leaving) observed.leaving_reported_at = now;
  const bool changed = leaving != observed.plain_leaving;
  observed.plain_leaving = leaving;
  observed.report.draining = leaving;
  observed.taken_at = now;
  observed.has_report = true;
  observed.fresh = observed.fresh || changed || leaving;
  router_.SetLeaving(engine, leaving);
  ReportToControlNodes(engine,
                       {engine, Incarnation(), leaving, WeightVersion(), WeightVersion(), true});
}

void EngineObserver::ReportToControlNodes(const EngineName& engine,
                                          const EngineObservation& observation) {
  Observed& observed = observed_[engine];
  const TimePoint now = environment_.Now();
  const bool again = now - observed.reported_at >= options_.report_refresh_interval;
  if (observed.was_reported && !again && SameObservation(observed.last_reported, observation))
    return;
  observed.was_reported = true;
  observed.last_reported = observation;
  observed.reported_at = now;
  configuration_.Report(observation);
}

Duration EngineObserver::ShareInterval() const {
  uint32_t engines = 0;
  for (const auto& [key, resource] : configuration_.configuration().resources) {
    if (key.kind != ResourceKind::kEngine) continue;
    if (router_.observers().HomeZone(EngineName(key.name)) == self_.zone) ++engines;
  }
  const double seconds =
      static_cast<double>(engines) * kBytesPerReport / options_.shared_bytes_per_second;
  return std::max(options_.poll, FromSeconds(seconds));
}

void EngineObserver::Share() {
  const TimePoint now = environment_.Now();
  const Duration takeover_after = kTakeoverIntervals * ShareInterval();
  shared_at_ = now;
  EngineObservationsMessage message;
  for (auto& [engine, observed] : observed_) {
    std::vector<SharedCache> cache = std::move(observed.cache);
    observed.cache.clear();
    const std::vector<NodeId>& observers = router_.observers().Observers(engine);
    if (observers.empty() || !observed.fresh) continue;
    const bool first = observers.front() == self_.node;
    if (!first && now - observed.peer_shared_at < takeover_after) continue;
    observed.fresh = false;
    ObservedEngineState state = StateOf(engine, observed);
    // Consecutive reads are merged into one.
    for (SharedCache& part : cache) {
      if (!state.cache) {
        state.cache = std::move(part);
        continue;
      }
      CacheEvents& events = state.cache->events;
      if (events.incarnation != part.events.incarnation) state.cache->after = part.after;
      if (events.incarnation != part.events.incarnation) events.events.clear();
      events.incarnation = part.events.incarnation;
      events.newest = part.events.newest;
      events.gap = events.gap || part.events.gap;
      events.events.insert(events.events.end(), part.events.events.begin(),
                           part.events.events.end());
    }
    if (state.cache && state.cache->events.events.size() > kMaxSharedEvents) {
      state.cache->events.events.clear();
      state.cache->events.gap = true;
    }
    message.engines.push_back(std::move(state));
  }
  if (message.engines.empty()) return;
  for (const NodeId& gateway : router_.observers().Gateways(self_.zone)) {
    if (gateway != self_.node) Send(gateway, message);
  }
}

void EngineObserver::SendSummary() {
  summary_at_ = environment_.Now();
  const ObserverAssignment& observers = router_.observers();
  const std::vector<NodeId>& own = observers.Gateways(self_.zone);
  const std::vector<NodeId> sender = RendezvousChoice(self_.zone.value(), own, 1);
  if (sender.empty() || sender.front() != self_.node) return;
  EngineObservationsMessage message;
  message.relay = true;
  for (const auto& [key, resource] : configuration_.configuration().resources) {
    const auto* spec = std::get_if<EngineSpec>(&resource.spec);
    const EngineName engine(key.name);
    if (spec == nullptr || observers.HomeZone(engine) != self_.zone) continue;
    const EngineView* view = router_.FindEngine(engine);
    if (view == nullptr) continue;
    ObservedEngineState state;
    state.engine = engine;
    state.plain = spec->type == EngineType::kHttp;
    if (!state.plain && !view->load.has_report()) continue;
    state.report = view->load.report();
    state.report.age = environment_.Now() - view->load.taken_at();
    state.report.draining = view->reported_leaving;
    if (state.plain) state.report.age = Duration(0);
    message.engines.push_back(std::move(state));
  }
  const size_t kept = std::min<size_t>(message.engines.size(), options_.summary_engines);
  std::partial_sort(message.engines.begin(),
                    message.engines.begin() + static_cast<std::ptrdiff_t>(kept),
                    message.engines.end(), [](const auto& a, const auto& b) {
                      const double a_free = FreeSlotsOf(a.report);
                      const double b_free = FreeSlotsOf(b.report);
                      return a_free != b_free ? a_free > b_free : a.engine < b.engine;
                    });
  message.engines.resize(kept);
  if (message.engines.empty()) return;
  for (const auto& [zone, gateways] : observers.zones()) {
    if (zone == self_.zone) continue;
    const std::string pair = self_.zone.value() + "/" + zone.value();
    Send(RendezvousChoice(pair, gateways, 1).front(), message);
  }
}

void EngineObserver::Send(const NodeId& to, const EngineObservationsMessage& message) {
  ++counters_.shared_messages;
  transport_.Send(to, {MessageKind::kEngineReport, EncodeObservations(message)});
}

void EngineObserver::Receive(const NodeId& from, const PeerMessage& message) {
  absl::StatusOr<EngineObservationsMessage> observations = DecodeObservations(message.payload);
  if (!observations.ok()) {
    ++counters_.bad_messages;
    LogEvent(EventId::kBadObservationMessage, "from={}", from.value());
    return;
  }
  ++counters_.received_messages;
  for (const ObservedEngineState& engine : observations->engines) Apply(engine);
  if (!observations->relay) return;
  observations->relay = false;
  for (const NodeId& gateway : router_.observers().Gateways(self_.zone)) {
    if (gateway != self_.node && gateway != from) Send(gateway, *observations);
  }
}

void EngineObserver::Apply(const ObservedEngineState& engine) {
  const TimePoint now = environment_.Now();
  if (router_.observers().HomeZone(engine.engine) == self_.zone) {
    observed_[engine.engine].peer_shared_at = now;
  }
  if (engine.plain) {
    if (!Observes(engine.engine)) router_.SetLeaving(engine.engine, engine.report.draining);
    return;
  }
  router_.ApplyReport(engine.engine, engine.report, now - engine.report.age);
  if (engine.cache && !Observes(engine.engine)) {
    router_.ApplyCacheEvents(engine.engine, engine.cache->after, engine.cache->resync,
                             engine.cache->events);
  }
}

ObservedEngineState EngineObserver::StateOf(const EngineName& engine,
                                            const Observed& observed) const {
  ObservedEngineState state;
  state.engine = engine;
  state.report = observed.report;
  state.report.age = environment_.Now() - observed.taken_at;
  const auto* spec =
      configuration_.configuration().FindSpec<EngineSpec>(ResourceKind::kEngine, engine.value());
  state.plain = spec != nullptr && spec->type == EngineType::kHttp;
  return state;
}

}  // namespace millstair
