#include "bench/experiment/policies.h"

#include "absl/status/status.h"
#include "absl/strings/str_split.h"
#include "fmt/format.h"

namespace millstair {
namespace {

constexpr double kIdleShareLimit = 0.6;
constexpr double kStalenessLimit = 0.7;
constexpr double kLiveLatencyLimit = 1.25;

const std::vector<std::string>& Baselines() {
  static const std::vector<std::string> names = {"round-robin", "least-outstanding", "no-prefix",
                                                 "no-tail"};
  return names;
}

}  // namespace

const std::vector<ExperimentPolicy>& AllPolicies() {
  static const std::vector<ExperimentPolicy> policies = {
      {std::string(kProductPolicy), RoutingPolicy::kEstimate, true, true},
      {"round-robin", RoutingPolicy::kRoundRobin, false, true},
      {"least-outstanding", RoutingPolicy::kLeastOutstanding, false, true},
      {"no-prefix", RoutingPolicy::kEstimateWithoutPrefix, true, true},
      {"no-tail", RoutingPolicy::kEstimate, false, true},
      {std::string(kLiveOnlyPolicy), RoutingPolicy::kEstimate, true, false},
  };
  return policies;
}

absl::StatusOr<std::vector<ExperimentPolicy>> ParsePolicies(std::string_view list) {
  std::vector<ExperimentPolicy> chosen;
  const std::vector<std::string> names = absl::StrSplit(std::string(list), ',', absl::SkipEmpty());
  for (const std::string& name : names) {
    bool known = false;
    for (const ExperimentPolicy& policy : AllPolicies()) {
      if (policy.name != name) continue;
      chosen.push_back(policy);
      known = true;
    }
    if (!known) return absl::InvalidArgumentError(fmt::format("unknown policy '{}'", name));
  }
  if (chosen.empty()) return absl::InvalidArgumentError("the list of policies is empty");
  return chosen;
}

std::vector<VerdictGoal> GoalsOf(simulator::DeploymentName deployment) {
  std::vector<VerdictGoal> goals;
  if (deployment == simulator::DeploymentName::kAssociation) {
    goals.push_back({"trainer idle share against the best baseline",
                     &ExperimentMeasures::trainer_idle_share, std::string(kProductPolicy),
                     Baselines(), kIdleShareLimit});
  } else {
    goals.push_back({"mean staleness against the best baseline",
                     &ExperimentMeasures::staleness_mean, std::string(kProductPolicy), Baselines(),
                     kStalenessLimit});
  }
  goals.push_back({"live p99 against the live load alone",
                   &ExperimentMeasures::live_p99_ms,
                   std::string(kProductPolicy),
                   {std::string(kLiveOnlyPolicy)},
                   kLiveLatencyLimit});
  return goals;
}

}  // namespace millstair
