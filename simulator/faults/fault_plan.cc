#include "simulator/faults/fault_plan.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <map>
#include <random>

#include "common/random.h"
#include "fmt/format.h"

namespace millstair::simulator {
namespace {

/// Time that the liveness check needs after the last fault.
constexpr Duration kRecoveryTime = std::chrono::seconds(45);
constexpr Duration kMinWindow = std::chrono::seconds(1);
constexpr uint64_t kMinDefaultFaults = 3;
constexpr uint64_t kDefaultFaultCountRange = 5;

struct FaultDescription {
  FaultKind kind;
  std::string_view name;
  Duration min_length;
  Duration max_length;
};

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array<FaultDescription, static_cast<size_t>(FaultKind::kCount)> kDescriptions{{
    {FaultKind::kControlCrash, "control-crash", milliseconds(200), seconds(15)},
    {FaultKind::kControlCrashInSync, "control-crash-in-sync", milliseconds(200), seconds(10)},
    {FaultKind::kLostDisk, "lost-disk", seconds(2), seconds(15)},
    {FaultKind::kSecondLoss, "second-loss", seconds(35), seconds(55)},
    {FaultKind::kControlIsolated, "control-isolated", seconds(15), seconds(50)},
    {FaultKind::kGatewayCrash, "gateway-crash", milliseconds(300), seconds(10)},
    {FaultKind::kGatewayIsolated, "gateway-isolated", seconds(3), seconds(20)},
    {FaultKind::kCutOneWay, "cut-one-way", seconds(2), seconds(20)},
    {FaultKind::kCutBothWays, "cut-both-ways", seconds(2), seconds(20)},
    {FaultKind::kZoneCut, "zone-cut", seconds(3), seconds(25)},
    {FaultKind::kDelay, "delay", seconds(5), seconds(20)},
    {FaultKind::kReorder, "reorder", seconds(5), seconds(20)},
    {FaultKind::kDuplicate, "duplicate", seconds(5), seconds(20)},
    {FaultKind::kLoss, "loss", seconds(5), seconds(20)},
    {FaultKind::kSlowDisk, "slow-disk", seconds(5), seconds(20)},
    {FaultKind::kClockDrift, "clock-drift", seconds(10), seconds(40)},
    {FaultKind::kEngineCrash, "engine-crash", milliseconds(500), seconds(10)},
    {FaultKind::kSwapFailure, "swap-failure", seconds(10), seconds(40)},
    {FaultKind::kCacheEvents, "cache-events", seconds(10), seconds(40)},
    {FaultKind::kEngineDrain, "engine-drain", seconds(8), seconds(20)},
    {FaultKind::kMachineLeaves, "machine-leaves", seconds(15), seconds(40)},
    {FaultKind::kOperatorDrain, "operator-drain", seconds(8), seconds(20)},
    {FaultKind::kServerCrash, "server-crash", milliseconds(300), seconds(8)},
    {FaultKind::kCutAnswers, "cut-answers", seconds(5), seconds(20)},
    {FaultKind::kStoreOutage, "store-outage", seconds(3), seconds(15)},
    {FaultKind::kScorerFailure, "scorer-failure", seconds(3), seconds(15)},
    {FaultKind::kOperatorRace, "operator-race", seconds(5), seconds(20)},
    {FaultKind::kLostAnswers, "lost-answers", seconds(5), seconds(20)},
    {FaultKind::kLongRestart, "long-restart", seconds(20), seconds(30)},
    {FaultKind::kRollingRestart, "rolling-restart", seconds(45), seconds(60)},
    {FaultKind::kTrainerRestart, "trainer-restart", seconds(1), seconds(5)},
    {FaultKind::kPowerLoss, "power-loss", seconds(1), seconds(8)},
    {FaultKind::kClockStep, "clock-step", seconds(3), seconds(10)},
    {FaultKind::kSuspension, "suspension", seconds(1), seconds(12)},
    {FaultKind::kRefusedWrites, "refused-writes", milliseconds(500), seconds(20)},
}};

const FaultDescription& Describe(FaultKind kind) {
  return kDescriptions[static_cast<size_t>(kind)];
}

/// splitmix64: decorrelates adjacent seeds.
uint64_t Mix(uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

PlannedFault DrawFault(uint64_t seed, Duration length, FaultKind kind, uint64_t instance) {
  RandomEngine random(Mix(seed ^ Mix(static_cast<uint64_t>(kind) * 64 + instance + 1)));
  const Duration window = std::max(FaultsHealedBy(length) - kFaultsFrom, kMinWindow);
  const FaultDescription& description = Describe(kind);
  PlannedFault fault{.kind = kind};
  fault.length = DrawDuration(random, std::min(description.min_length, window),
                              std::min(description.max_length, window));
  fault.begin = kFaultsFrom + DrawDuration(random, Duration(0), window - fault.length);
  fault.seed = random();
  return fault;
}

}  // namespace

std::string_view FaultName(FaultKind kind) { return Describe(kind).name; }

absl::StatusOr<FaultKind> ParseFault(std::string_view name) {
  for (const FaultDescription& description : kDescriptions) {
    if (description.name == name) return description.kind;
  }
  return absl::InvalidArgumentError(fmt::format("unknown fault '{}'", name));
}

Duration FaultsHealedBy(Duration length) { return std::max(length - kRecoveryTime, kFaultsFrom); }

FaultPlan DrawFaults(uint64_t seed, Duration length, const std::vector<FaultKind>& kinds) {
  FaultPlan plan;
  std::map<FaultKind, uint64_t> instances;
  for (const FaultKind kind : kinds) {
    plan.push_back(DrawFault(seed, length, kind, instances[kind]++));
  }
  return plan;
}

FaultPlan DrawDefaultFaults(uint64_t seed, Duration length) {
  RandomEngine random(Mix(seed));
  const uint64_t count = kMinDefaultFaults + DrawBelow(random, kDefaultFaultCountRange);
  std::vector<FaultKind> kinds;
  for (uint64_t i = 0; i < count; ++i) {
    kinds.push_back(
        static_cast<FaultKind>(DrawBelow(random, static_cast<uint64_t>(FaultKind::kCount))));
  }
  // Repeats one kind.
  kinds.push_back(kinds[DrawBelow(random, kinds.size())]);
  FaultPlan plan = DrawFaults(seed, length, kinds);
  // The second fault begins together with the first, unless it would not be healed in time.
  if (plan[0].begin + plan[1].length <= FaultsHealedBy(length)) plan[1].begin = plan[0].begin;
  return plan;
}

std::string FormatFault(const PlannedFault& fault) {
  return fmt::format("{}@{}+{}/{}", FaultName(fault.kind), fault.begin.count(),
                     fault.length.count(), fault.seed);
}

namespace {

/// Parses "name@begin+length/seed".
absl::StatusOr<PlannedFault> ParseFullFault(std::string_view text) {
  const size_t at = text.find('@');
  const absl::StatusOr<FaultKind> kind = ParseFault(text.substr(0, at));
  if (!kind.ok()) return kind.status();
  uint64_t begin = 0;
  uint64_t length = 0;
  uint64_t seed = 0;
  int end = 0;
  const std::string numbers(text.substr(at));
  const int read = std::sscanf(numbers.c_str(), "@%" SCNu64 "+%" SCNu64 "/%" SCNu64 "%n", &begin,
                               &length, &seed, &end);
  if (read != 3 || static_cast<size_t>(end) != numbers.size()) {
    return absl::InvalidArgumentError(fmt::format("'{}' is not name@begin+length/seed", text));
  }
  return PlannedFault{*kind, Duration(begin), Duration(length), seed};
}

}  // namespace

absl::StatusOr<FaultPlan> ParseFaultList(std::string_view list, uint64_t seed, Duration length) {
  if (list == "none" || list.empty()) return FaultPlan();
  if (list == "default") return DrawDefaultFaults(seed, length);
  FaultPlan plan;
  std::map<FaultKind, uint64_t> instances;
  size_t begin = 0;
  while (begin <= list.size()) {
    const size_t end = std::min(list.find(',', begin), list.size());
    const std::string_view item = list.substr(begin, end - begin);
    begin = end + 1;
    if (item.find('@') != std::string_view::npos) {
      const absl::StatusOr<PlannedFault> fault = ParseFullFault(item);
      if (!fault.ok()) return fault.status();
      plan.push_back(*fault);
      continue;
    }
    const absl::StatusOr<FaultKind> kind = ParseFault(item);
    if (!kind.ok()) return kind.status();
    plan.push_back(DrawFault(seed, length, *kind, instances[*kind]++));
  }
  return plan;
}

}  // namespace millstair::simulator
