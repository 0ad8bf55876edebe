/// Simulates a fleet in one process in virtual time: control nodes, gateways, engines, plain back
/// ends, the platform, callers, trainers and operators. Nodes run the decision code of the product.
///
/// Runs are deterministic: the same options give a bit-identical result. Runs share no state, so
/// several may run concurrently on different threads.
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

/// Faults injected into the product itself; see product_faults.h.
struct ProductFaults;

/// The two deployments of the users.
enum class DeploymentName : uint8_t { kAssociation, kKhosa };

/// "association" or "khosa".
std::string_view Name(DeploymentName deployment);
absl::StatusOr<DeploymentName> ParseDeployment(std::string_view name);

/// Load from callers on all gateways: open loop with Poisson arrivals.
struct LiveLoad {
  /// Completions per second; about half of them are streamed.
  double completions = 6;
  /// Requests per second for pages and for internal lookups.
  double pages = 3;
  double lookups = 3;
  /// Bookings per second, not repeatable; a share of them is resent through another gateway.
  double bookings = 2;
  uint32_t completion_max_tokens = 96;
};

/// Load from each trainer.
struct TrainerLoad {
  uint32_t prompts_per_step = 32;
  /// Prompts of one step that share a prefix.
  uint32_t prompts_per_prefix = 8;
  uint32_t max_tokens = 192;
  /// Steps submitted ahead of the one that the trainer waits for.
  uint32_t steps_ahead = 2;
  /// Time to train on a complete step; a new version is published after it.
  Duration training_time = std::chrono::seconds(4);
  /// A step is in time if it is complete within this time after the trainer began to wait for it.
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
  /// Early issue of long samples, moves and reissues.
  bool tail_handling = true;
  /// Run trainers, which submit steps and publish versions.
  bool rollouts = true;
  LiveLoad live;
  TrainerLoad trainer;
  uint64_t staleness_bound = 3;
  /// Entries after which a group takes a snapshot. If absent, selected by the seed, so that runs
  /// cover short logs with many snapshots as well as long ones.
  std::optional<uint64_t> snapshot_after_entries;
  /// Weight of idle time against staleness in the streams' schedule; by default that of the
  /// deployment.
  std::optional<double> idle_time_weight;
  /// Mean time between two operations of an operator on the test resources (notes).
  Duration note_interval = std::chrono::milliseconds(2500);
  /// Faults of the run; all healed by `FaultsHealedBy(length)`.
  FaultPlan faults;
  /// Optional. Receives the history before the checks run.
  std::function<void(const checks::History&)> inspect;
  /// Run the checks on the history; off for measurements.
  bool check_history = true;
  /// Null for none.
  std::shared_ptr<const ProductFaults> product_faults;
};

/// Measurements of one run, start-up excluded. Shares are in 0..1.
struct FleetMeasures {
  /// Share of the trainers' time spent waiting for samples.
  double trainer_idle_share = 0;
  /// Versions between the newest published and the oldest in a sample, at its first delivery.
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
  /// Share of looked-up prefix blocks that were found in the engines' caches.
  double prefix_hit_rate = 0;
  /// Attempts of callers by outcome.
  uint64_t answered = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  uint64_t cut = 0;
  uint64_t unanswered = 0;
  /// Time from the acceptance of a change until all running nodes have applied it.
  double in_force_p50_ms = 0;
  double in_force_max_ms = 0;
};

struct FleetResult {
  DeploymentName deployment = DeploymentName::kAssociation;
  uint64_t seed = 0;
  std::vector<checks::CheckResult> checks;
  FleetMeasures measures;
  /// Number of faults applied, by name.
  std::map<std::string, uint64_t> faults_tried;
  Duration virtual_time{0};
  /// Events run by the virtual scheduler.
  uint64_t events = 0;

  bool Broken() const;
};

/// Runs one simulation on the calling thread.
FleetResult RunFleet(const FleetOptions& options);

/// One line of JSON without a newline: seed, deployment, checks tried and broken, measures,
/// faults. Deterministic.
std::string ToJsonLine(const FleetResult& result);

}  // namespace millstair::simulator
