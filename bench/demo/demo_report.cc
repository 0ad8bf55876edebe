#include "bench/demo/demo_report.h"

#include <algorithm>
#include <array>
#include <map>
#include <numeric>

#include "ctl/table.h"
#include "fmt/format.h"

namespace millstair {
namespace {

std::string Milliseconds(Duration time) {
  return fmt::format("{:.1f} ms", static_cast<double>(time.count()) / 1000.0);
}

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<size_t>(quantile * static_cast<double>(values.size() - 1));
  return values[index];
}

std::string Staleness(const std::vector<double>& values) {
  if (values.empty()) return "no sample";
  const double sum = std::accumulate(values.begin(), values.end(), 0.0);
  return fmt::format("mean {:.2f}, p95 {:.0f}, max {:.0f} versions",
                     sum / static_cast<double>(values.size()), Quantile(values, 0.95),
                     Quantile(values, 1.0));
}

std::string Ends(const checks::History& history, bool completions) {
  static constexpr std::array<const char*, 5> kNames = {"complete", "refused", "cut", "unanswered",
                                                        "abandoned"};
  std::array<uint64_t, 5> counts{};
  for (const checks::CallAttempt& call : history.calls) {
    const bool completion = call.kind == checks::CallKind::kCompletion;
    if (completion == completions) ++counts.at(static_cast<size_t>(call.end));
  }
  std::string text;
  for (size_t i = 0; i < counts.size(); ++i) {
    if (counts.at(i) == 0 && i != 0) continue;
    text += fmt::format("{}{} {}", text.empty() ? "" : ", ", counts.at(i), kNames.at(i));
  }
  return text;
}

std::string Latency(const LatencyHistogram& histogram) {
  return fmt::format("p50 {}, p99 {}", Milliseconds(histogram.Quantile(0.5)),
                     Milliseconds(histogram.Quantile(0.99)));
}

}  // namespace

std::string CheckTable(const std::vector<checks::CheckResult>& results) {
  Table table({"INVARIANT", "TRIED", "HELD", "BROKEN", "UNDECIDED"});
  std::string examples;
  for (const checks::CheckResult& result : results) {
    const uint64_t failed = std::min(result.tried, result.broken + result.undecided);
    table.Add({result.name, std::to_string(result.tried), std::to_string(result.tried - failed),
               std::to_string(result.broken), std::to_string(result.undecided)});
    if (result.broken > 0) {
      examples += fmt::format("broken {}: {}\n", result.name, result.first_example);
    }
  }
  return table.ToString() + examples;
}

std::string MeasureTable(const checks::History& history, const TrainerReport& trainer,
                         const LiveLatencies& latencies) {
  const double total = std::max(ToSeconds(trainer.total), 0.001);
  Table table({"MEASURE", "VALUE"});
  table.Add({"trainer steps completed", std::to_string(trainer.steps)});
  table.Add(
      {"samples delivered", fmt::format("{} ({} withdrawn)", trainer.samples, trainer.withdrawn)});
  table.Add({"weight versions published", std::to_string(trainer.versions)});
  table.Add(
      {"trainer idle share", fmt::format("{:.1f} %", 100.0 * ToSeconds(trainer.idle) / total)});
  table.Add({"staleness at hand-on", Staleness(trainer.staleness)});
  table.Add({"live completions", Ends(history, true)});
  table.Add({"live completion latency", Latency(latencies.completions)});
  table.Add({"plain requests", Ends(history, false)});
  table.Add({"plain request latency", Latency(latencies.plain)});
  return table.ToString();
}

bool AllHeld(const std::vector<checks::CheckResult>& results) {
  return std::all_of(results.begin(), results.end(), [](const checks::CheckResult& result) {
    return result.broken == 0 && result.undecided == 0 && result.tried > 0;
  });
}

}  // namespace millstair
