/// The router of a gateway: one view of all back ends for live requests and rollouts.
///
/// Candidates come from the configuration's Match resources. A few are sampled, the engines with
/// the deepest cached prefix are added, and the one with the lowest estimated completion time is
/// selected. The probability of sampling an engine grows with how far its estimated load is below
/// the mean, so that gateways with equally old reports don't all select the same engine. Engines of
/// other zones are considered only if the own zone has no capacity.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "cluster/configuration.h"
#include "common/environment.h"
#include "routing/completion_estimate.h"
#include "routing/engine_placement.h"
#include "routing/engine_view.h"
#include "routing/observer_assignment.h"
#include "routing/placement_rules.h"
#include "routing/prefix_index.h"
#include "routing/router.h"

namespace millstair {

/// Faults that tests inject to prove that their checks detect them.
struct RoutingFaults {
  /// Sends work to engines that are leaving.
  bool choose_leaving = false;
};

struct RouterOptions {
  Zone zone;
  RoutingPolicy policy = RoutingPolicy::kEstimate;
  /// Number of candidates drawn at random, and of prefix holders considered in addition.
  uint32_t sampled = 3;
  uint32_t prefix_holders = 2;
  /// An engine without a report for this long takes work only if no other can.
  Duration report_stale = std::chrono::seconds(10);
  /// Added to estimates in other zones.
  Duration other_zone_penalty = std::chrono::milliseconds(4);
  RoutingFaults faults;
};

/// For /metrics.
struct RouterCounters {
  uint64_t decisions = 0;
  uint64_t no_engine = 0;
  uint64_t other_zone = 0;
  uint64_t prefix_tokens_expected = 0;
  uint64_t prompt_tokens = 0;
};

/// Lives on the node's serial executor.
class EngineRouter : public EnginePlacement {
 public:
  EngineRouter(Environment& environment, RouterOptions options);

  /// Applies the engines and matches; does nothing if the revision is unchanged.
  void UpdateConfiguration(const Configuration& configuration);
  /// Applies a report of `engine` measured at `taken_at`. False if it is not newer than the last
  /// one.
  bool ApplyReport(const EngineName& engine, const EngineReport& report, TimePoint taken_at);
  /// Applies cache events of `engine` that follow event `after`.
  void ApplyCacheEvents(const EngineName& engine, uint64_t after, bool resync,
                        const CacheEvents& events);
  /// A poll found `engine` unreachable, or reachable again.
  void SetReachable(const EngineName& engine, bool reachable);
  /// Whether the weights of `engine` are uncertain; it gets no work while they are.
  void SetWeightsUncertain(const EngineName& engine, bool weights_uncertain);
  /// Whether `engine` reports that it is leaving.
  void SetLeaving(const EngineName& engine, bool leaving);

  std::optional<Placement> Place(const ResourceKey& workload,
                                 const RoutingRequest& request) override;
  void End(PlacementId id, const PlacementOutcome& outcome) override;
  uint32_t RolloutCapacity(const ResourceKey& workload) const override;
  /// The first `tokens` of a live request arrived together `latency` after it was sent.
  void OnFirstTokens(PlacementId id, Duration latency, uint32_t tokens);
  /// A live request was queued because no engine could take it.
  void OnLiveQueued(const ResourceKey& workload);

  /// Whether the engine may take work now. Checked again right before a queued request is sent.
  bool MayTakeWork(const EngineName& engine) const;
  const EngineView* FindEngine(const EngineName& engine) const;
  const PrefixIndex& prefixes() const { return prefixes_; }
  const PlacementRules& rules() const { return rules_; }
  std::optional<EngineSlot> SlotOf(const EngineName& engine) const;
  /// Expected number of generated tokens: the smoothed share of `max_tokens` that requests use.
  uint32_t ExpectedTokens(uint32_t max_tokens) const;
  const FleetStats& fleet() const { return fleet_; }
  const RouterCounters& counters() const { return counters_; }
  const ObserverAssignment& observers() const { return observers_; }
  /// Rollouts are placed only while `may_give_work` returns true (lease, drain); live requests
  /// check this themselves. Default: always.
  void SetGate(std::function<bool()> may_give_work) { may_give_work_ = std::move(may_give_work); }

 private:
  /// Engines of a workload in the own zone or in others, with load figures that are refreshed
  /// periodically.
  struct CandidateList {
    std::vector<EngineSlot> slots;
    double mean_sequences = 0;
    double min_sequences = 0;
    TimePoint computed_at;
    bool computed = false;
  };
  struct Workload {
    ModelName model;
    bool plain = false;
    uint32_t max_in_flight = 0;
    double share = 1;
    CandidateList home;
    CandidateList away;
    std::vector<EngineSlot> all;
    /// Position of round robin.
    uint64_t next = 0;
    /// Rollouts of this workload in progress from this gateway.
    uint32_t in_flight = 0;
    TimePoint last_placed;
  };
  struct OwnPlacement {
    EngineSlot slot = 0;
    ResourceKey workload;
    TimePoint sent_at;
    RequestPriority priority = RequestPriority::kLive;
    uint32_t kv_blocks = 0;
    EstimatedWork work;
    bool plain = false;
  };
  struct Candidate {
    EngineSlot slot = 0;
    double seconds = 0;
    bool has_capacity = false;
    EstimatedWork work;
  };

  void RebuildEngines(const Configuration& configuration);
  void RebuildWorkloads(const Configuration& configuration);
  bool Eligible(const EngineView& engine, const Workload& workload, const RoutingRequest& request,
                bool last_resort) const;
  /// Further rollouts that the engine can take; may be negative.
  double FreeForRollouts(const EngineView& engine) const;
  uint32_t CapacityOf(const Workload& workload) const;
  std::optional<Candidate> ChooseByPolicy(Workload& workload, const RoutingRequest& request,
                                          bool last_resort);
  std::optional<Candidate> ChooseByEstimate(Workload& workload, const RoutingRequest& request,
                                            bool last_resort);
  std::optional<Candidate> ChooseRoundRobin(Workload& workload, const RoutingRequest& request,
                                            bool last_resort);
  std::optional<Candidate> ChooseLeastOutstanding(const Workload& workload,
                                                  const RoutingRequest& request, bool last_resort);
  void UpdateLoad(CandidateList& list) const;
  /// Accepts an engine at random by its load, so that all gateways together fill the engines
  /// evenly.
  bool DrawAccepted(const CandidateList& list, EngineSlot slot);
  void ConsiderSampled(CandidateList& list, const Workload& workload, const RoutingRequest& request,
                       bool last_resort, std::optional<Candidate>& best);
  void ConsiderPrefixHolders(const Workload& workload, const RoutingRequest& request,
                             bool last_resort, std::optional<Candidate>& best);
  Candidate Evaluate(EngineSlot slot, const RoutingRequest& request) const;
  EstimatedWork WorkOn(EngineSlot slot, const RoutingRequest& request) const;
  Placement Record(const ResourceKey& workload, const RoutingRequest& request,
                   const Candidate& chosen);
  void UpdateLiveLatency(EngineView& engine, const OwnPlacement& placement,
                         const PlacementOutcome& outcome);
  void UpdateFinished(EngineView& engine, const OwnPlacement& placement,
                      const PlacementOutcome& outcome);
  void UpdateFleetLoad(bool immediately);

  Environment& environment_;
  RouterOptions options_;
  std::function<bool()> may_give_work_;
  PlacementRules rules_;
  ObserverAssignment observers_;
  std::vector<std::unique_ptr<EngineView>> engines_;
  std::map<EngineName, EngineSlot> slots_;
  std::map<ResourceKey, Workload> workloads_;
  PrefixIndex prefixes_;
  FleetStats fleet_;
  double length_share_ = 0.3;
  bool configured_ = false;
  TimePoint fleet_load_at_;
  uint32_t home_gateways_ = 1;
  uint64_t next_placement_ = 1;
  absl::flat_hash_map<uint64_t, OwnPlacement> placements_;
  RouterCounters counters_;
};

}  // namespace millstair
