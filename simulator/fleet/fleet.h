/// Runs a whole fleet in one process in virtual time: control nodes, gateways, engines, plain back
/// ends, the platform, callers, trainers and operators, on the decision code of the product.
///
/// A run is a function of its options: the same options give the same result, bit for bit. Runs
/// share no state, so that several may run on different threads at once.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "common/time.h"
#include "routing/router.h"
#include "simulator/checks/check_result.h"
#include "simulator/checks/history.h"
#include "simulator/faults/fault_plan.h"

namespace millstair::simulator {

/// Parts of the product that are broken on purpose; see product_faults.h.
struct ProductFaults;

/// The two deployments of the users.
enum class DeploymentName : uint8_t { kAssociation, kKhosa };

/// "association" or "khosa".
std::string_view Name(DeploymentName deployment);
absl::StatusOr<DeploymentName> ParseDeployment(std::string_view name);

/// Load that callers put on the fleet; open loop, Poisson arrivals, over all gateways.
struct LiveLoad {
  /// Completions a second; about half of them stream.
  double completions = 6;
  /// Pages and internal lookups a second, each.
  double pages = 3;
  double lookups = 3;
  /// Bookings a second, not repeatable; a share of them is resent through another gateway.
  double bookings = 2;
  uint32_t completion_max_tokens = 96;
};

/// What each trainer asks for.
struct TrainerLoad {
  uint32_t prompts_per_step = 32;
  /// Prompts of one step that share a prefix.
  uint32_t prompts_per_prefix = 8;
  uint32_t max_tokens = 192;
  /// Steps put ahead of the one that the trainer waits for.
  uint32_t steps_ahead = 2;
  /// Time to train on a whole step; a new version is published after it.
  Duration training_time = std::chrono::seconds(4);
  /// A step is whole in time if the trainer holds it this long after it began to wait for it.
  Duration in_time = std::chrono::seconds(10);
};

struct FleetOptions {
  DeploymentName deployment = DeploymentName::kAssociation;
  uint64_t seed = 1;
  /// Virtual time of the run, start-up included.
  Duration length = std::chrono::seconds(120);
  /// Base time of one batch step of an engine.
  Duration step_time = std::chrono::milliseconds(15);
  RoutingPolicy routing_policy = RoutingPolicy::kEstimate;
  /// Early issue of long samples, moves and re-issue.
  bool tail_handling = true;
  /// Trainers put steps and publish versions.
  bool rollouts = true;
  LiveLoad live;
  TrainerLoad trainer;
  uint64_t staleness_bound = 3;
  /// Entries after which a group takes a snapshot; drawn from the seed if absent, so that small
  /// logs with many snapshots are tried as well as large ones.
  std::optional<uint64_t> snapshot_after_entries;
  /// Weight of idle time against staleness in the streams' schedule; default of the deployment.
  std::optional<double> idle_time_weight;
  /// Mean time between two operations of one operator on the notes.
  Duration note_interval = std::chrono::milliseconds(2500);
  /// Faults of the run. Healed by `FaultsHealedBy(length)`.
  FaultPlan faults;
  /// Gets the history before it is judged, for reports. May be empty.
  std::function<void(const checks::History&)> inspect;
  /// Judge the history by the checks; off for measurements.
  bool check_history = true;
  /// Null is the product as it is.
  std::shared_ptr<const ProductFaults> product_faults;
};

/// What one run measured. Shares are 0..1. Taken after start-up.
struct FleetMeasures {
  /// Share of the trainers' time spent waiting for samples.
  double trainer_idle_share = 0;
  /// Versions between the newest published and the oldest in a sample, at its first hand-on.
  double staleness_mean = 0;
  double staleness_p95 = 0;
  double staleness_max = 0;
  /// Completions from first byte sent to the last received, per generated token excluded.
  double live_p50_ms = 0;
  double live_p99_ms = 0;
  /// Time until the first token of a completion.
  double live_first_token_p50_ms = 0;
  double live_first_token_p99_ms = 0;
  double steps_in_time_share = 0;
  uint64_t steps_completed = 0;
  uint64_t samples_received = 0;
  uint64_t samples_withdrawn = 0;
  /// Prefix blocks found in the engines' caches over all looked up.
  double prefix_hit_rate = 0;
  /// Tries of callers by what they were told.
  uint64_t answered = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  uint64_t cut = 0;
  uint64_t unanswered = 0;
  /// From the acceptance of a change until the last reachable node holds it.
  double in_force_p50_ms = 0;
  double in_force_max_ms = 0;
};

struct FleetResult {
  DeploymentName deployment = DeploymentName::kAssociation;
  uint64_t seed = 0;
  std::vector<checks::CheckResult> checks;
  FleetMeasures measures;
  /// Faults that were brought about, by name.
  std::map<std::string, uint64_t> faults_tried;
  Duration virtual_time{0};
  /// Events of the virtual scheduler.
  uint64_t events = 0;

  bool Broken() const;
};

/// Runs one fleet from start to end on the calling thread.
FleetResult RunFleet(const FleetOptions& options);

/// One line of JSON without a line end: seed, deployment, checks tried and broken, measures,
/// faults. The same result gives the same bytes.
std::string ToJsonLine(const FleetResult& result);

}  // namespace millstair::simulator
