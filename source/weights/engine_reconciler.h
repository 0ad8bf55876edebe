/// Brings engines to the weights, adapters and role that the configuration target: compares what
/// engines report with what is wanted, and orders the difference, again and again until there is
/// none. Runs on each gateway for the engines that it observes.
///
/// - Staging is paced by the gateway's share of the weight store's rate.
/// - Swaps go in waves that keep the model's live capacity floor, but never later than
///   ReconcilerOptions.swap_limit after the version became active.
/// - An engine whose swap failed partway is ordered to swap again, and is in doubt until its report
///   is consistent: no work may be routed to it.
#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "cluster/configuration_client.h"
#include "common/environment.h"
#include "engine/engine_types.h"

namespace millstair {

struct ReconcilerOptions {
  Duration tick = std::chrono::milliseconds(100);
  /// The second observer of an engine acts when a difference has lasted for this long.
  Duration second_observer_delay = std::chrono::seconds(3);
  /// The last wave begins at most this long after a version became active.
  Duration swap_limit = std::chrono::seconds(4);
  /// An order without an answer counts as lost after this long; staging is paced and takes longer.
  Duration order_timeout = std::chrono::seconds(5);
  Duration stage_timeout = std::chrono::seconds(60);
  Duration initial_backoff = std::chrono::milliseconds(250);
  Duration max_backoff = std::chrono::seconds(4);
};

/// Counts since the start; for metrics.
struct ReconcilerCounts {
  uint64_t orders_sent = 0;
  uint64_t orders_failed = 0;
  uint64_t stages_sent = 0;
  uint64_t swaps_sent = 0;
};

/// Lives on the node's serial executor.
class EngineReconciler {
 public:
  virtual ~EngineReconciler() = default;
  virtual void Start() = 0;
  /// Engines that this gateway observes: 0 for those it is the first observer of, else 1.
  virtual void SetObserved(std::map<EngineName, uint32_t> ranks) = 0;
  /// A report of any engine, own or told by another gateway. For observed engines the control nodes
  /// are told through the ConfigurationClient.
  virtual void OnEngineReport(const EngineName& engine, const EngineReport& report) = 0;
  /// By its newest report the engine must not be given work: its shards hold different weights, or
  /// a digest that was not published for its version.
  virtual bool AreWeightsUncertain(const EngineName& engine) const = 0;
  virtual const ReconcilerCounts& counts() const = 0;
};

/// All references must outlive the reconciler.
std::unique_ptr<EngineReconciler> MakeEngineReconciler(Environment& environment,
                                                       EngineClient& engines,
                                                       ConfigurationClient& configuration,
                                                       ReconcilerOptions options = {});

}  // namespace millstair
