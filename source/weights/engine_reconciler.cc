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

  void Note(const EngineName& engine, const EngineReport& report) override {
    Known& known = known_[engine];
    if (report.incarnation < known.report.incarnation) return;
    if (report.incarnation != known.report.incarnation) {
      known = Known();
      known.report = report;
    }
    known.report = report;
    if (!ranks_.contains(engine)) return;
    Tell(engine, known);
    Reconcile(engine, known);
  }

  bool InDoubt(const EngineName& engine) const override {
    const auto known = known_.find(engine);
    return known != known_.end() &&
           HasUncertainWeights(client_.configuration(), known->second.report);
  }

  const ReconcilerCounts& counts() const override { return counts_; }

 private:
  /// An engine as last reported, and what was ordered. Begins anew with each of its incarnations.
  struct Known {
    EngineReport report;
    /// An order is under way.
    bool ordered = false;
    /// Tells answers to the present order from late ones.
    uint64_t order_number = 0;
    TimePoint ordered_until;
    TimePoint not_before;
    Duration backoff{0};
    std::optional<TimePoint> differs_since;
    /// Adapters loaded by our orders, with the revision of their resources; reports don't list
    /// them.
    std::map<std::string, Revision> adapters;
    std::optional<EngineObservation> told;
  };

  void Tick() {
    timer_.Arm(options_.tick, [this] { Tick(); });
    NoteActivations();
    std::erase_if(known_, [&](const auto& known) {
      return !Configured().resources.contains({ResourceKind::kEngine, known.first.value()});
    });
    for (const auto& [engine, rank] : ranks_) {
      const auto known = known_.find(engine);
      if (known == known_.end()) continue;
      Reconcile(engine, known->second);
    }
  }

  const Configuration& Configured() const { return client_.configuration(); }

  /// Notes since when this gateway knows that a version is to be served.
  void NoteActivations() {
    for (const auto& [model, status] : Configured().models) {
      Activation& activation = activations_[model];
      if (activation.version == status.active) continue;
      activation = {status.active, environment_.Now()};
    }
  }

  void Tell(const EngineName& engine, Known& known) {
    const EngineReport& report = known.report;
    EngineObservation observation;
    observation.engine = engine;
    observation.incarnation = report.incarnation;
    observation.leaving = report.draining;
    observation.active = report.active_version;
    for (const WeightVersion version : report.staged_versions) {
      observation.staged = std::max(observation.staged, version);
    }
    observation.consistent = !HasUncertainWeights(Configured(), report);
    const std::optional<EngineObservation>& told = known.told;
    const bool same = told && told->leaving == observation.leaving &&
                      told->staged == observation.staged && told->active == observation.active &&
                      told->consistent == observation.consistent;
    if (same) return;
    known.told = observation;
    client_.Report(observation);
  }

  void Reconcile(const EngineName& engine, Known& known) {
    const TimePoint now = environment_.Now();
    if (known.ordered && now < known.ordered_until) return;
    known.ordered = false;
    if (now < known.not_before || !client_.LeaseValid()) return;
    // An engine that leaves gets no new work, orders included.
    if (known.report.draining || EffectiveState(Configured(), engine) != MemberState::kLive) return;
    const PlacementRules& rules = rules_.For(Configured());
    std::optional<EngineTarget> target =
        EngineTargetFor(Configured(), rules, engine, known.report.model);
    if (!target) return;
    // The engine follows a configuration that is newer than ours.
    if (known.report.last_fence > Configured().revision) return;
    // What set its fence is part of our configuration, even if that has been deleted since.
    target->fence = std::max(target->fence, known.report.last_fence);
    std::optional<EngineOrder> order = NextOrder(*target, known);
    if (!order) {
      known.differs_since.reset();
      return;
    }
    if (!known.differs_since) known.differs_since = now;
    const bool stand_in = ranks_[engine] != 0;
    if (stand_in && now - *known.differs_since < options_.stand_in_after) return;
    if (!Allowed(engine, *order, rules)) return;
    Send(engine, known, *order);
  }

  std::optional<EngineOrder> NextOrder(const EngineTarget& target, const Known& known) const {
    std::optional<EngineOrder> order = NextWeightOrder(target, known.report);
    if (order) return order;
    if (target.role && *target.role != known.report.role) {
      return OtherOrder(target, OrderKind::kChangeRole, "", *target.role);
    }
    for (const auto& [name, adapter] : target.adapters) {
      const auto loaded = known.adapters.find(name);
      if (loaded != known.adapters.end() && loaded->second == adapter.version) continue;
      // A changed adapter is unloaded first.
      if (loaded != known.adapters.end()) {
        return OtherOrder(target, OrderKind::kUnloadAdapter, name, "");
      }
      EngineOrder load = OtherOrder(target, OrderKind::kLoadAdapter, name, "");
      load.location = adapter.location;
      load.digest = adapter.digest;
      return load;
    }
    for (const auto& [name, version] : known.adapters) {
      if (!target.adapters.contains(name)) {
        return OtherOrder(target, OrderKind::kUnloadAdapter, name, "");
      }
    }
    return std::nullopt;
  }

  static EngineOrder OtherOrder(const EngineTarget& target, OrderKind kind,
                                const std::string& adapter, const std::string& role) {
    EngineOrder order;
    order.kind = kind;
    order.fence = target.fence;
    order.model = target.model;
    order.adapter = adapter;
    order.role = role;
    return order;
  }

  bool Allowed(const EngineName& engine, const EngineOrder& order, const PlacementRules& rules) {
    if (order.kind == OrderKind::kStage) return MayStage(order.model, rules);
    if (order.kind != OrderKind::kActivate) return true;
    return MaySwap(engine, order, rules);
  }

  bool MayStage(const ModelName& model, const PlacementRules& rules) {
    const auto* spec = Configured().FindSpec<ModelSpec>(ResourceKind::kModel, model.value());
    if (spec == nullptr) return true;
    const std::vector<EngineName>& engines = rules.EnginesForModel(model);
    const auto own = static_cast<double>(
        std::count_if(engines.begin(), engines.end(), [&](const EngineName& engine) {
          const auto rank = ranks_.find(engine);
          return rank != ranks_.end() && rank->second == 0;
        }));
    // One that only stands in for others takes the share of one engine.
    const double share = std::max(own, 1.0) / std::max<double>(engines.size(), 1.0);
    const TimePoint now = environment_.Now();
    StoreRateLimiter& limiter = rate_limiters_[model];
    limiter.SetRate(now, share * static_cast<double>(spec->store_bytes_per_second),
                    static_cast<double>(spec->version_bytes));
    return limiter.TryAcquireVersion(now);
  }

  /// Engines swap in an order that all gateways agree on. One may swap while fewer than a wave of
  /// those before it have not done so; its wave's time comes at the latest with the swap limit.
  bool MaySwap(const EngineName& engine, const EngineOrder& order, const PlacementRules& rules) {
    std::vector<EngineName> live;
    for (const EngineName& other : rules.EnginesForModel(order.model)) {
      if (EffectiveState(Configured(), other) == MemberState::kLive) live.push_back(other);
    }
    const auto* spec = Configured().FindSpec<ModelSpec>(ResourceKind::kModel, order.model.value());
    const uint32_t wave = MaxConcurrentSwaps(static_cast<uint32_t>(live.size()),
                                             spec == nullptr ? 0 : spec->live_capacity_floor);
    const uint32_t position = SwapPosition(live, engine, order.version);
    uint32_t pending = 0;
    for (const EngineName& other : live) {
      if (other == engine || Swapped(other, order)) continue;
      if (SwapPosition(live, other, order.version) < position) ++pending;
    }
    if (pending < wave) return true;
    NoteActivations();
    const auto waves = static_cast<uint32_t>((live.size() + wave - 1) / wave);
    const Duration step = options_.swap_limit / std::max(waves, 1U);
    const Activation& activation = activations_[order.model];
    return environment_.Now() - activation.since >= step * (position / wave);
  }

  bool Swapped(const EngineName& engine, const EngineOrder& order) const {
    const auto known = known_.find(engine);
    if (known == known_.end()) return false;
    const EngineReport& report = known->second.report;
    return report.shards == ShardState::kConsistent && report.active_version >= order.version;
  }

  void Send(const EngineName& engine, Known& known, const EngineOrder& order) {
    const auto* spec = Configured().FindSpec<EngineSpec>(ResourceKind::kEngine, engine.value());
    if (spec == nullptr) return;
    ++counts_.orders_sent;
    if (order.kind == OrderKind::kStage) ++counts_.stages_sent;
    if (order.kind == OrderKind::kActivate) ++counts_.swaps_sent;
    const bool stage = order.kind == OrderKind::kStage;
    known.ordered = true;
    known.order_number = ++last_order_;
    known.ordered_until =
        environment_.Now() + (stage ? options_.stage_timeout : options_.order_timeout);
    LogEvent(EventId::kEngineOrdered, "engine={} order={} version={} fence={}", engine,
             static_cast<int>(order.kind), order.version, order.fence);
    engines_.SendOrder(
        spec->address, order,
        alive_.Guard([this, engine, order, number = last_order_](const absl::Status& status) {
          TakeAnswer(engine, order, number, status);
        }));
  }

  void TakeAnswer(const EngineName& engine, const EngineOrder& order, uint64_t number,
                  const absl::Status& status) {
    const auto found = known_.find(engine);
    if (found == known_.end() || found->second.order_number != number) return;
    Known& known = found->second;
    known.ordered = false;
    if (!status.ok()) {
      ++counts_.orders_failed;
      known.backoff =
          std::clamp(known.backoff * 2, options_.first_backoff, options_.largest_backoff);
      known.not_before = environment_.Now() + known.backoff;
      LogEvent(EventId::kEngineOrderFailed, "engine={} order={} version={} reason=\"{}\"", engine,
               static_cast<int>(order.kind), order.version, std::string(status.message()));
      return;
    }
    known.backoff = Duration(0);
    TakeEffect(known, order);
    Reconcile(engine, known);
  }

  /// Reports lag: counts an order that was obeyed as in force until the next report, so that it is
  /// not given twice and the next one need not wait.
  void TakeEffect(Known& known, const EngineOrder& order) {
    EngineReport& report = known.report;
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
        known.adapters[order.adapter] = AdapterVersion(order.adapter);
        break;
      case OrderKind::kUnloadAdapter:
        known.adapters.erase(order.adapter);
        break;
      case OrderKind::kChangeRole:
        report.role = order.role;
        break;
    }
  }

  Revision AdapterVersion(const std::string& adapter) const {
    const auto found = Configured().resources.find({ResourceKind::kAdapter, adapter});
    return found == Configured().resources.end() ? Revision() : found->second.version;
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
  std::map<EngineName, Known> known_;
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
