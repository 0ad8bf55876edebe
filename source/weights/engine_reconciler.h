/// Reconciles engines with the weights, adapters and role that the configuration wants: compares
/// the reports of engines with the target and sends orders until there is no difference. Runs on
/// each gateway for the engines that it observes.
///
/// - Staging is limited to the gateway's share of the weight store's rate.
/// - Swaps go in waves that keep the model's live capacity floor, but the last wave begins at most
///   ReconcilerOptions.swap_limit after the version became active.
/// - An engine whose swap failed partway is ordered to swap again. Its weights are uncertain,
///   and no work may be routed to it, until its report is consistent.
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
  /// The second observer of an engine acts once a difference has lasted for this long.
  Duration second_observer_delay = std::chrono::seconds(3);
  /// Time from the activation of a version to the start of the last wave, at most.
  Duration swap_limit = std::chrono::seconds(4);
  /// An order without a reply counts as lost after this long. Staging is rate-limited and takes
  /// longer.
  Duration order_timeout = std::chrono::seconds(5);
  Duration stage_timeout = std::chrono::seconds(60);
  Duration initial_backoff = std::chrono::milliseconds(250);
  Duration max_backoff = std::chrono::seconds(4);
};

/// Counters since the start, for metrics.
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
  /// Sets the engines that this gateway observes: 0 for those that it is the first observer of,
  /// else 1.
  virtual void SetObserved(std::map<EngineName, uint32_t> ranks) = 0;
  /// Handles a report of an engine, fetched by this gateway or received from another one. Changes
  /// of observed engines are reported to the control nodes through the ConfigurationClient.
  virtual void OnEngineReport(const EngineName& engine, const EngineReport& report) = 0;
  /// Whether the engine must not be given work, according to its newest report: its shards hold
  /// different weights, or a digest that was not published for its version.
  virtual bool AreWeightsUncertain(const EngineName& engine) const = 0;
  virtual const ReconcilerCounts& counts() const = 0;
};

/// All references must outlive the reconciler.
std::unique_ptr<EngineReconciler> MakeEngineReconciler(Environment& environment,
                                                       EngineClient& engines,
                                                       ConfigurationClient& configuration,
                                                       ReconcilerOptions options = {});

}  // namespace millstair
