/// Policies compared by an experiment: the product, the baselines, and live load without rollouts.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "bench/experiment/experiment_report.h"
#include "simulator/fleet/fleet.h"

namespace millstair {

/// Configuration of the fleet for runs under the same load and seeds.
struct ExperimentPolicy {
  std::string name;
  RoutingPolicy routing = RoutingPolicy::kEstimate;
  bool tail_handling = true;
  bool rollouts = true;
};

inline constexpr std::string_view kProductPolicy = "product";
inline constexpr std::string_view kLiveOnlyPolicy = "live-only";

/// All policies by name: "product", "round-robin", "least-outstanding", "no-prefix", "no-tail" and
/// "live-only".
const std::vector<ExperimentPolicy>& AllPolicies();
/// The policies named in a comma-separated list; InvalidArgument if one is unknown or none is
/// given.
absl::StatusOr<std::vector<ExperimentPolicy>> ParsePolicies(std::string_view list);

/// Goals of a deployment for the product, relative to the reference policies.
std::vector<VerdictGoal> GoalsOf(simulator::DeploymentName deployment);

}  // namespace millstair
