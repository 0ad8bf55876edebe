#include "simulator/run/sweep.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <mutex>

#include "fmt/format.h"
#include "tbb/global_control.h"
#include "tbb/parallel_for.h"
#include "tbb/task_arena.h"

namespace millstair::simulator {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr uint64_t kProgressInterval = 50;

double SecondsSince(SteadyClock::time_point start) {
  return std::chrono::duration<double>(SteadyClock::now() - start).count();
}

bool ParseNumber(std::string_view text, uint64_t& number) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size();
}

std::string PlanText(const FaultPlan& plan) {
  std::string text;
  for (const PlannedFault& fault : plan) {
    text += (text.empty() ? "" : ",") + FormatFault(fault);
  }
  return text.empty() ? "none" : text;
}

/// Adds the result of one run.
void Collect(const FleetResult& result, double seconds, SweepResult& sweep) {
  ++sweep.runs;
  sweep.virtual_seconds += ToSeconds(result.virtual_time);
  sweep.busy_seconds += seconds;
  for (const auto& [name, count] : result.faults_tried) sweep.faults_tried[name] += count;
  for (const checks::CheckResult& check : result.checks) {
    checks::CheckResult& sum = sweep.checks[check.name];
    sum.name = check.name;
    sum.tried += check.tried;
    sum.broken += check.broken;
    sum.undecided += check.undecided;
  }
  if (!result.Broken()) return;
  FailedSeed failed{.seed = result.seed};
  for (const checks::CheckResult& check : result.checks) {
    if (check.broken > 0) failed.broken.push_back(check.name + ": " + check.first_example);
  }
  sweep.failed.push_back(std::move(failed));
}

FleetOptions OptionsFor(const SweepOptions& options, uint64_t seed) {
  FleetOptions fleet = options.fleet;
  fleet.seed = seed;
  fleet.faults = ParseFaultList(options.faults, seed, fleet.length).value_or(FaultPlan());
  return fleet;
}

}  // namespace

absl::StatusOr<SeedRange> ParseSeedRange(std::string_view text) {
  SeedRange range;
  const size_t dots = text.find("..");
  const bool one = dots == std::string_view::npos;
  const std::string_view last = one ? text : text.substr(dots + 2);
  if (!ParseNumber(text.substr(0, dots), range.first) || !ParseNumber(last, range.last) ||
      range.last < range.first) {
    return absl::InvalidArgumentError(fmt::format("'{}' is not a seed range A..B", text));
  }
  return range;
}

std::vector<std::string> BrokenChecks(const FleetResult& result) {
  std::vector<std::string> names;
  for (const checks::CheckResult& check : result.checks) {
    if (check.broken > 0) names.push_back(check.name);
  }
  return names;
}

FaultPlan ReduceFaults(FleetOptions options, const std::vector<std::string>& broken) {
  const auto still_fails = [&broken](const FleetOptions& candidate) {
    const std::vector<std::string> now = BrokenChecks(RunFleet(candidate));
    return std::any_of(now.begin(), now.end(), [&broken](const std::string& name) {
      return std::find(broken.begin(), broken.end(), name) != broken.end();
    });
  };
  size_t next = 0;
  while (next < options.faults.size()) {
    FleetOptions fewer = options;
    fewer.faults.erase(fewer.faults.begin() + static_cast<ptrdiff_t>(next));
    if (still_fails(fewer)) {
      options = fewer;
    } else {
      ++next;
    }
  }
  return options.faults;
}

SweepResult RunSweep(const SweepOptions& options, std::ostream& progress) {
  const int threads =
      options.threads > 0 ? options.threads : tbb::this_task_arena::max_concurrency();
  const tbb::global_control limit(tbb::global_control::max_allowed_parallelism,
                                  static_cast<size_t>(threads));
  const SteadyClock::time_point start = SteadyClock::now();
  SweepResult sweep;
  std::mutex mutex;
  tbb::parallel_for(
      tbb::blocked_range<uint64_t>(options.seeds.first, options.seeds.last + 1, 1),
      [&](const tbb::blocked_range<uint64_t>& range) {
        for (uint64_t seed = range.begin(); seed != range.end(); ++seed) {
          const SteadyClock::time_point begin = SteadyClock::now();
          const FleetResult result = RunFleet(OptionsFor(options, seed));
          const std::lock_guard lock(mutex);
          Collect(result, SecondsSince(begin), sweep);
          if (sweep.runs % kProgressInterval != 0) continue;
          progress << fmt::format("{} runs, {} failed, {:.0f} s\n", sweep.runs, sweep.failed.size(),
                                  SecondsSince(start))
                   << std::flush;
        }
      },
      tbb::simple_partitioner());
  sweep.real_seconds = SecondsSince(start);
  std::sort(sweep.failed.begin(), sweep.failed.end(),
            [](const FailedSeed& a, const FailedSeed& b) { return a.seed < b.seed; });
  const size_t reduced = std::min<size_t>(options.reduce, sweep.failed.size());
  tbb::parallel_for(size_t{0}, reduced, [&](size_t i) {
    FailedSeed& failed = sweep.failed[i];
    std::vector<std::string> names;
    for (const std::string& broken : failed.broken) {
      names.push_back(broken.substr(0, broken.find(':')));
    }
    failed.smallest = ReduceFaults(OptionsFor(options, failed.seed), names);
    failed.reduced = true;
  });
  return sweep;
}

std::string Describe(const SweepResult& result) {
  std::string text;
  for (const FailedSeed& failed : result.failed) {
    text += fmt::format("seed {} failed\n", failed.seed);
    for (const std::string& broken : failed.broken) text += fmt::format("  {}\n", broken);
    if (failed.reduced) text += fmt::format("  smallest faults: {}\n", PlanText(failed.smallest));
  }
  text += "faults tried:\n";
  for (const auto& [name, count] : result.faults_tried) {
    text += fmt::format("  {:<24} {:>8}\n", name, count);
  }
  text += fmt::format("{:<28} {:>12} {:>8} {:>10}\n", "check", "tried", "broken", "undecided");
  for (const auto& [name, check] : result.checks) {
    text += fmt::format("{:<28} {:>12} {:>8} {:>10}\n", name, check.tried, check.broken,
                        check.undecided);
  }
  const double per_thread =
      result.busy_seconds > 0 ? result.virtual_seconds / result.busy_seconds : 0;
  const double over_all =
      result.real_seconds > 0 ? result.virtual_seconds / result.real_seconds : 0;
  text += fmt::format(
      "{} runs, {} failed; {:.0f} virtual seconds in {:.1f} s: {:.0f} per real second, {:.0f} per "
      "thread\n",
      result.runs, result.failed.size(), result.virtual_seconds, result.real_seconds, over_all,
      per_thread);
  return text;
}

}  // namespace millstair::simulator
