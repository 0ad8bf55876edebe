#include "weights/engine_reconciler.h"

#include <algorithm>
#include <optional>
#include <set>

#include "common/alive_flag.h"
#include "common/event_log.h"
#include "common/scoped_timer.h"
#include "routing/placement_rules.h"
#include "weights/engine_target.h"
#include "weights/store_rate_limiter.h"

namespace millstair {
namespace {

class ReconcilerNode : public EngineReconciler {
 public:
  ReconcilerNode(Environment& environment, EngineClient& engines,
                 ConfigurationClient& configuration, ReconcilerOptions options)
      : environment_(environment),
        engines_(engines),
        client_(configuration),
        options_(options),
        timer_(environment) {}

  void Start() override { Tick(); }

  void SetObserved(std::map<EngineName, uint32_t> ranks) override { ranks_ = std::move(ranks); }

  void OnEngineReport(const EngineName& engine, const EngineReport& report) override {
    EngineRecord& record = records_[engine];
    if (report.incarnation < record.report.incarnation) return;
    if (report.incarnation != record.report.incarnation) {
      record = EngineRecord();
      record.report = report;
    }
    record.report = report;
    if (!ranks_.contains(engine)) return;
    ReportObservation(engine, record);
    Reconcile(engine, record);
  }

  bool AreWeightsUncertain(const EngineName& engine) const override {
    const auto record = records_.find(engine);
    return record != records_.end() &&
           HasUncertainWeights(client_.configuration(), record->second.report);
  }

  const ReconcilerCounts& counts() const override { return counts_; }

 private:
  /// Newest report and order state of an engine. Reset for each of its incarnations.
  struct EngineRecord {
    EngineReport report;
    /// An order was sent and neither replied to nor timed out.
    bool order_pending = false;
    /// Distinguishes replies to the current order from late ones.
    uint64_t order_number = 0;
    TimePoint order_deadline;
    TimePoint retry_at;
    Duration backoff{0};
    std::optional<TimePoint> differs_since;
    /// Adapters loaded by orders of this gateway, with the revision of their resources; reports do
    /// not list adapters.
    std::map<std::string, Revision> adapters;
    std::optional<EngineObservation> reported;
  };

  void Tick() {
    timer_.Arm(options_.tick, [this] { Tick(); });
    UpdateActivations();
    std::erase_if(records_, [&](const auto& record) {
      return !configuration().resources.contains({ResourceKind::kEngine, record.first.value()});
    });
    for (const auto& [engine, rank] : ranks_) {
      const auto record = records_.find(engine);
      if (record == records_.end()) continue;
      Reconcile(engine, record->second);
    }
  }

  const Configuration& configuration() const { return client_.configuration(); }

  /// Records when this gateway first saw each active version.
  void UpdateActivations() {
    for (const auto& [model, status] : configuration().models) {
      Activation& activation = activations_[model];
      if (activation.version == status.active) continue;
      activation = {status.active, environment_.Now()};
    }
  }

  void ReportObservation(const EngineName& engine, EngineRecord& record) {
    const EngineReport& report = record.report;
    EngineObservation observation;
    observation.engine = engine;
    observation.incarnation = report.incarnation;
    observation.leaving = report.draining;
    observation.active = report.active_version;
    for (const WeightVersion version : report.staged_versions) {
      observation.staged = std::max(observation.staged, version);
    }
    observation.consistent = !HasUncertainWeights(configuration(), report);
    const std::optional<EngineObservation>& reported = record.reported;
    const bool unchanged = reported && reported->leaving == observation.leaving &&
                           reported->staged == observation.staged &&
                           reported->active == observation.active &&
                           reported->consistent == observation.consistent;
    if (unchanged) return;
    record.reported = observation;
    client_.Report(observation);
  }

  void Reconcile(const EngineName& engine, EngineRecord& record) {
    const TimePoint now = environment_.Now();
    if (record.order_pending && now < record.order_deadline) return;
    record.order_pending = false;
    if (now < record.retry_at || !client_.LeaseValid()) return;
    // A draining engine gets no orders.
    if (record.report.draining || EffectiveState(configuration(), engine) != MemberState::kLive)
      return;
    const PlacementRules& rules = rules_.For(configuration());
    std::optional<EngineTarget> target =
        EngineTargetFor(configuration(), rules, engine, record.report.model);
    if (!target) return;
    // The engine has applied an order from a newer configuration than this node's.
    if (record.report.last_fence > configuration().revision) return;
    // The resource that set its fence is part of this node's configuration, or was deleted since.
    target->fence = std::max(target->fence, record.report.last_fence);
    std::optional<EngineOrder> order = NextOrder(*target, record);
    if (!order) {
      record.differs_since.reset();
      return;
    }
    if (!record.differs_since) record.differs_since = now;
    const bool second_observer = ranks_[engine] != 0;
    if (second_observer && now - *record.differs_since < options_.second_observer_delay) return;
    if (!IsAllowed(engine, *order, rules)) return;
    Send(engine, record, *order);
  }

  std::optional<EngineOrder> NextOrder(const EngineTarget& target,
                                       const EngineRecord& record) const {
    std::optional<EngineOrder> order = NextWeightOrder(target, record.report);
    if (order) return order;
    if (target.role && *target.role != record.report.role) {
      return MakeOrder(target, OrderKind::kChangeRole, "", *target.role);
    }
    for (const auto& [name, adapter] : target.adapters) {
      const auto loaded = record.adapters.find(name);
      if (loaded != record.adapters.end() && loaded->second == adapter.version) continue;
      // A changed adapter is unloaded first.
      if (loaded != record.adapters.end()) {
        return MakeOrder(target, OrderKind::kUnloadAdapter, name, "");
      }
      EngineOrder load = MakeOrder(target, OrderKind::kLoadAdapter, name, "");
      load.location = adapter.location;
      load.digest = adapter.digest;
      return load;
    }
    for (const auto& [name, version] : record.adapters) {
      if (!target.adapters.contains(name)) {
        return MakeOrder(target, OrderKind::kUnloadAdapter, name, "");
      }
    }
    return std::nullopt;
  }

  static EngineOrder MakeOrder(const EngineTarget& target, OrderKind kind,
                               const std::string& adapter, const std::string& role) {
    EngineOrder order;
    order.kind = kind;
    order.fence = target.fence;
    order.model = target.model;
    order.adapter = adapter;
    order.role = role;
    return order;
  }

  bool IsAllowed(const EngineName& engine, const EngineOrder& order, const PlacementRules& rules) {
    if (order.kind == OrderKind::kStage) return CanStage(order.model, rules);
    if (order.kind != OrderKind::kActivate) return true;
    return CanSwap(engine, order, rules);
  }

  bool CanStage(const ModelName& model, const PlacementRules& rules) {
    const auto* spec = configuration().FindSpec<ModelSpec>(ResourceKind::kModel, model.value());
    if (spec == nullptr) return true;
    const std::vector<EngineName>& engines = rules.EnginesForModel(model);
    const auto first_observed = static_cast<double>(
        std::count_if(engines.begin(), engines.end(), [&](const EngineName& engine) {
          const auto rank = ranks_.find(engine);
          return rank != ranks_.end() && rank->second == 0;
        }));
    // A gateway that is only a second observer takes the share of one engine.
    const double share = std::max(first_observed, 1.0) / std::max<double>(engines.size(), 1.0);
    const TimePoint now = environment_.Now();
    StoreRateLimiter& limiter = rate_limiters_[model];
    limiter.SetRate(now, share * static_cast<double>(spec->store_bytes_per_second),
                    static_cast<double>(spec->version_bytes));
    return limiter.TryAcquireVersion(now);
  }

  /// Engines swap in an order that all gateways compute alike. An engine may swap while fewer
  /// engines before it than one wave have yet to swap, or once the time of its wave has come.
  bool CanSwap(const EngineName& engine, const EngineOrder& order, const PlacementRules& rules) {
    std::vector<EngineName> live;
    for (const EngineName& other : rules.EnginesForModel(order.model)) {
      if (EffectiveState(configuration(), other) == MemberState::kLive) live.push_back(other);
    }
    const auto* spec =
        configuration().FindSpec<ModelSpec>(ResourceKind::kModel, order.model.value());
    const uint32_t wave = MaxConcurrentSwaps(static_cast<uint32_t>(live.size()),
                                             spec == nullptr ? 0 : spec->live_capacity_floor);
    const uint32_t position = SwapPosition(live, engine, order.version);
    uint32_t pending = 0;
    for (const EngineName& other : live) {
      if (other == engine || HasSwapped(other, order)) continue;
      if (SwapPosition(live, other, order.version) < position) ++pending;
    }
    if (pending < wave) return true;
    UpdateActivations();
    const auto waves = static_cast<uint32_t>((live.size() + wave - 1) / wave);
    const Duration step = options_.swap_limit / std::max(waves, 1U);
    const Activation& activation = activations_[order.model];
    return environment_.Now() - activation.since >= step * (position / wave);
  }

  bool HasSwapped(const EngineName& engine, const EngineOrder& order) const {
    const auto record = records_.find(engine);
    if (record == records_.end()) return false;
    const EngineReport& report = record->second.report;
    return report.shards == ShardState::kConsistent && report.active_version >= order.version;
  }

  void Send(const EngineName& engine, EngineRecord& record, const EngineOrder& order) {
    const auto* spec = configuration().FindSpec<EngineSpec>(ResourceKind::kEngine, engine.value());
    if (spec == nullptr) return;
    ++counts_.orders_sent;
    if (order.kind == OrderKind::kStage) ++counts_.stages_sent;
    if (order.kind == OrderKind::kActivate) ++counts_.swaps_sent;
    const bool stage = order.kind == OrderKind::kStage;
    record.order_pending = true;
    record.order_number = ++last_order_;
    record.order_deadline =
        environment_.Now() + (stage ? options_.stage_timeout : options_.order_timeout);
    LogEvent(EventId::kEngineOrdered, "engine={} order={} version={} fence={}", engine,
             static_cast<int>(order.kind), order.version, order.fence);
    engines_.SendOrder(
        spec->address, order,
        alive_.Guard([this, engine, order, number = last_order_](const absl::Status& status) {
          OnOrderReply(engine, order, number, status);
        }));
  }

  void OnOrderReply(const EngineName& engine, const EngineOrder& order, uint64_t number,
                    const absl::Status& status) {
    const auto found = records_.find(engine);
    if (found == records_.end() || found->second.order_number != number) return;
    EngineRecord& record = found->second;
    record.order_pending = false;
    if (!status.ok()) {
      ++counts_.orders_failed;
      record.backoff =
          std::clamp(record.backoff * 2, options_.initial_backoff, options_.max_backoff);
      record.retry_at = environment_.Now() + record.backoff;
      LogEvent(EventId::kEngineOrderFailed, "engine={} order={} version={} reason=\"{}\"", engine,
               static_cast<int>(order.kind), order.version, std::string(status.message()));
      return;
    }
    record.backoff = Duration(0);
    ApplyOrderEffect(record, order);
    Reconcile(engine, record);
  }

  /// Applies a completed order to the stored report, because reports lag: otherwise the order would
  /// be sent twice and the next one delayed.
  void ApplyOrderEffect(EngineRecord& record, const EngineOrder& order) {
    EngineReport& report = record.report;
    switch (order.kind) {
      case OrderKind::kStage:
        report.staged_versions.push_back(order.version);
        break;
      case OrderKind::kActivate:
        report.model = order.model;
        report.active_version = order.version;
        report.active_digest = order.digest;
        report.shards = ShardState::kConsistent;
        break;
      case OrderKind::kUnload:
        std::erase(report.staged_versions, order.version);
        break;
      case OrderKind::kLoadAdapter:
        record.adapters[order.adapter] = AdapterVersion(order.adapter);
        break;
      case OrderKind::kUnloadAdapter:
        record.adapters.erase(order.adapter);
        break;
      case OrderKind::kChangeRole:
        report.role = order.role;
        break;
    }
  }

  Revision AdapterVersion(const std::string& adapter) const {
    const auto found = configuration().resources.find({ResourceKind::kAdapter, adapter});
    return found == configuration().resources.end() ? Revision() : found->second.version;
  }

  struct Activation {
    WeightVersion version;
    TimePoint since;
  };

  Environment& environment_;
  EngineClient& engines_;
  ConfigurationClient& client_;
  ReconcilerOptions options_;
  std::map<EngineName, uint32_t> ranks_;
  std::map<EngineName, EngineRecord> records_;
  std::map<ModelName, Activation> activations_;
  std::map<ModelName, StoreRateLimiter> rate_limiters_;
  PlacementRulesCache rules_;
  ReconcilerCounts counts_;
  uint64_t last_order_ = 0;
  ScopedTimer timer_;
  AliveFlag alive_;
};

}  // namespace

std::unique_ptr<EngineReconciler> MakeEngineReconciler(Environment& environment,
                                                       EngineClient& engines,
                                                       ConfigurationClient& configuration,
                                                       ReconcilerOptions options) {
  return std::make_unique<ReconcilerNode>(environment, engines, configuration, options);
}

}  // namespace millstair
