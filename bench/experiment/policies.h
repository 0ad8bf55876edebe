/// The policies that an experiment compares: the product, baselines, and the live load alone.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "bench/experiment/experiment_report.h"
#include "simulator/fleet/fleet.h"

namespace millstair {

/// One way to run the fleet under the same load and seeds.
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
/// The policies named in a comma-separated list; InvalidArgument names the unknown one.
absl::StatusOr<std::vector<ExperimentPolicy>> ParsePolicies(std::string_view list);

/// What the deployment's owners ask of the product against the best baseline.
std::vector<VerdictGoal> GoalsOf(simulator::DeploymentName deployment);

}  // namespace millstair
