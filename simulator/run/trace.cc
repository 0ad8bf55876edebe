#include "simulator/run/trace.h"

#include <set>

#include "fmt/format.h"
#include "yaml-cpp/yaml.h"

namespace millstair::simulator {
namespace {

absl::Status ErrorAt(const YAML::Node& node, const std::string& what) {
  return absl::InvalidArgumentError(fmt::format("line {}: {}", node.Mark().line + 1, what));
}

absl::Status CheckKeys(const YAML::Node& map, const std::set<std::string>& known) {
  if (!map.IsMap()) return ErrorAt(map, "expected a map");
  for (const auto& entry : map) {
    const std::string key = entry.first.as<std::string>();
    if (!known.contains(key)) return ErrorAt(entry.first, fmt::format("unknown key '{}'", key));
  }
  return absl::OkStatus();
}

Duration Seconds(const YAML::Node& node) { return FromSeconds(node.as<double>()); }

absl::Status ReadFaults(const YAML::Node& faults, FaultPlan& plan) {
  for (const YAML::Node& node : faults) {
    const absl::Status keys = CheckKeys(node, {"kind", "at", "for", "seed"});
    if (!keys.ok()) return keys;
    const absl::StatusOr<FaultKind> kind = ParseFault(node["kind"].as<std::string>());
    if (!kind.ok()) return ErrorAt(node, std::string(kind.status().message()));
    plan.push_back({*kind, Seconds(node["at"]), Seconds(node["for"]),
                    node["seed"] ? node["seed"].as<uint64_t>() : 1});
  }
  return absl::OkStatus();
}

absl::Status ReadOutcome(const YAML::Node& node, StatedOutcome& outcome) {
  const absl::Status keys =
      CheckKeys(node, {"faults", "tried", "steps_whole", "answered", "cut", "in_force_max_ms"});
  if (!keys.ok()) return keys;
  if (node["faults"]) outcome.faults = node["faults"].as<std::map<std::string, uint64_t>>();
  if (node["tried"]) outcome.tried = node["tried"].as<std::map<std::string, uint64_t>>();
  if (node["steps_whole"]) outcome.steps_completed = node["steps_whole"].as<uint64_t>();
  if (node["answered"]) outcome.answered = node["answered"].as<uint64_t>();
  if (node["cut"]) outcome.cut = node["cut"].as<uint64_t>();
  if (node["in_force_max_ms"]) outcome.in_force_max_ms = node["in_force_max_ms"].as<double>();
  return absl::OkStatus();
}

absl::StatusOr<Trace> ReadTrace(const YAML::Node& root) {
  absl::Status status =
      CheckKeys(root, {"name", "replays", "deployment", "seed", "seconds", "faults", "outcome"});
  if (!status.ok()) return status;
  Trace trace;
  trace.name = root["name"].as<std::string>();
  trace.replays = root["replays"].as<std::string>();
  const auto deployment = ParseDeployment(root["deployment"].as<std::string>());
  if (!deployment.ok())
    return ErrorAt(root["deployment"], std::string(deployment.status().message()));
  trace.fleet.deployment = *deployment;
  trace.fleet.seed = root["seed"].as<uint64_t>();
  trace.fleet.length = Seconds(root["seconds"]);
  status = ReadFaults(root["faults"], trace.fleet.faults);
  if (!status.ok()) return status;
  status = ReadOutcome(root["outcome"], trace.outcome);
  if (!status.ok()) return status;
  return trace;
}

}  // namespace

absl::StatusOr<Trace> ParseTrace(const std::string& text) {
  try {
    return ReadTrace(YAML::Load(text));
  } catch (const YAML::Exception& error) {
    return absl::InvalidArgumentError(fmt::format("line {}: {}", error.mark.line + 1, error.msg));
  }
}

std::vector<std::string> CompareOutcome(const StatedOutcome& stated, const FleetResult& result) {
  std::vector<std::string> differences;
  std::map<std::string, uint64_t> tried;
  for (const checks::CheckResult& check : result.checks) {
    tried[check.name] = check.tried;
    if (check.broken == 0) continue;
    differences.push_back(fmt::format("{} broken: {}", check.name, check.first_example));
  }
  const auto at_least = [&differences](const std::string& what, uint64_t expected, uint64_t found) {
    if (found >= expected) return;
    differences.push_back(fmt::format("{}: {} instead of at least {}", what, found, expected));
  };
  for (const auto& [name, expected] : stated.tried)
    at_least("cases of " + name, expected, tried[name]);
  for (const auto& [name, expected] : stated.faults) {
    const auto found = result.faults_tried.find(name);
    at_least("fault " + name, expected, found == result.faults_tried.end() ? 0 : found->second);
  }
  at_least("whole steps", stated.steps_completed, result.measures.steps_completed);
  at_least("answered calls", stated.answered, result.measures.answered);
  if (result.measures.cut > stated.cut) {
    differences.push_back(
        fmt::format("{} answers cut instead of at most {}", result.measures.cut, stated.cut));
  }
  if (result.measures.in_force_max_ms > stated.in_force_max_ms) {
    differences.push_back(fmt::format("in force after {} ms instead of at most {}",
                                      result.measures.in_force_max_ms, stated.in_force_max_ms));
  }
  return differences;
}

}  // namespace millstair::simulator
