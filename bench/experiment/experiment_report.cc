#include "bench/experiment/experiment_report.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <limits>

#include "fmt/format.h"

namespace millstair {
namespace {

constexpr int kPolicyWidth = 26;
constexpr int kColumnWidth = 15;

template <class Value>
void AddOnce(std::vector<Value>& values, const Value& value) {
  if (std::find(values.begin(), values.end(), value) == values.end()) values.push_back(value);
}

double Ratio(double value, double reference) {
  if (reference > 0) return value / reference;
  return value > 0 ? std::numeric_limits<double>::infinity() : 0;
}

absl::Status WriteFile(const std::filesystem::path& path, const std::string& text) {
  std::ofstream file(path, std::ios::trunc);
  file << text;
  file.close();
  if (!file) return absl::UnavailableError(fmt::format("{}: cannot be written", path.string()));
  return absl::OkStatus();
}

}  // namespace

const std::vector<MeasureColumn>& MeasureColumns() {
  static const auto* const columns = new std::vector<MeasureColumn>{
      {"idle_share", &ExperimentMeasures::trainer_idle_share},
      {"stale_mean", &ExperimentMeasures::staleness_mean},
      {"stale_p95", &ExperimentMeasures::staleness_p95},
      {"stale_max", &ExperimentMeasures::staleness_max},
      {"live_p50_ms", &ExperimentMeasures::live_p50_ms},
      {"live_p99_ms", &ExperimentMeasures::live_p99_ms},
      {"steps_in_time", &ExperimentMeasures::steps_in_time_share},
      {"prefix_hits", &ExperimentMeasures::prefix_hit_rate},
      {"answered", &ExperimentMeasures::answered},
      {"not_run", &ExperimentMeasures::not_run},
      {"unknown", &ExperimentMeasures::unknown},
  };
  return *columns;
}

void ExperimentReport::Add(ExperimentRow row) { rows_.push_back(std::move(row)); }

std::vector<std::string> ExperimentReport::Policies() const {
  std::vector<std::string> policies;
  for (const ExperimentRow& row : rows_) AddOnce(policies, row.policy);
  return policies;
}

std::vector<double> ExperimentReport::StepTimes() const {
  std::vector<double> step_times;
  for (const ExperimentRow& row : rows_) AddOnce(step_times, row.step_ms);
  return step_times;
}

MeasureSummary ExperimentReport::Summarize(const std::string& policy, double step_ms,
                                           double ExperimentMeasures::*field) const {
  MeasureSummary summary;
  double sum = 0;
  for (const ExperimentRow& row : rows_) {
    if (row.policy != policy || row.step_ms != step_ms) continue;
    const double value = row.measures.*field;
    summary.smallest = summary.seeds == 0 ? value : std::min(summary.smallest, value);
    summary.largest = summary.seeds == 0 ? value : std::max(summary.largest, value);
    sum += value;
    ++summary.seeds;
  }
  if (summary.seeds > 0) summary.mean = sum / static_cast<double>(summary.seeds);
  return summary;
}

std::vector<Verdict> ExperimentReport::Judge(const VerdictGoal& goal) const {
  std::vector<Verdict> verdicts;
  for (const double step_ms : StepTimes()) {
    const MeasureSummary product = Summarize(goal.policy, step_ms, goal.field);
    Verdict verdict;
    verdict.step_ms = step_ms;
    verdict.value = product.mean;
    for (const std::string& reference : goal.references) {
      const MeasureSummary summary = Summarize(reference, step_ms, goal.field);
      if (summary.seeds == 0) continue;
      if (!verdict.reference.empty() && summary.mean >= verdict.reference_value) continue;
      verdict.reference = reference;
      verdict.reference_value = summary.mean;
    }
    if (product.seeds == 0 || verdict.reference.empty()) continue;
    verdict.ratio = Ratio(verdict.value, verdict.reference_value);
    verdict.met = verdict.ratio <= goal.limit;
    verdicts.push_back(verdict);
  }
  return verdicts;
}

std::string ExperimentReport::Table() const {
  std::string text = fmt::format("{:<{}}{:>8}{:>7}", "policy", kPolicyWidth, "step_ms", "seeds");
  for (const MeasureColumn& column : MeasureColumns()) {
    text += fmt::format("{:>{}}", column.name, kColumnWidth);
  }
  text += fmt::format("  {}\n", "idle_share min..max");
  for (const double step_ms : StepTimes()) {
    for (const std::string& policy : Policies()) {
      const MeasureSummary idle =
          Summarize(policy, step_ms, &ExperimentMeasures::trainer_idle_share);
      if (idle.seeds == 0) continue;
      text += fmt::format("{:<{}}{:>8}{:>7}", policy, kPolicyWidth, step_ms, idle.seeds);
      for (const MeasureColumn& column : MeasureColumns()) {
        const double mean = Summarize(policy, step_ms, column.field).mean;
        text += fmt::format("{:>{}.4g}", mean, kColumnWidth);
      }
      text += fmt::format("  {:.3f}..{:.3f}\n", idle.smallest, idle.largest);
    }
  }
  return text;
}

std::string ExperimentReport::VerdictLines(const std::vector<VerdictGoal>& goals) const {
  std::string text;
  for (const VerdictGoal& goal : goals) {
    for (const Verdict& verdict : Judge(goal)) {
      text +=
          fmt::format("{}: {} at step {} ms: {:.4g} against {:.4g} of {}: {:.2f}x (limit {}x)\n",
                      verdict.met ? "met" : "MISSED", goal.title, verdict.step_ms, verdict.value,
                      verdict.reference_value, verdict.reference, verdict.ratio, goal.limit);
    }
  }
  return text;
}

std::string ExperimentReport::Csv() const {
  std::string text = "policy,step_ms,seed";
  for (const MeasureColumn& column : MeasureColumns()) text += fmt::format(",{}", column.name);
  text += '\n';
  for (const ExperimentRow& row : rows_) {
    text += fmt::format("{},{},{}", row.policy, row.step_ms, row.seed);
    for (const MeasureColumn& column : MeasureColumns()) {
      text += fmt::format(",{}", row.measures.*column.field);
    }
    text += '\n';
  }
  return text;
}

std::string ExperimentReport::GnuplotData() const {
  std::string text = "# step_ms";
  for (const MeasureColumn& column : MeasureColumns()) text += fmt::format(" {}", column.name);
  text += '\n';
  for (const std::string& policy : Policies()) {
    text += fmt::format("# {}\n", policy);
    for (const double step_ms : StepTimes()) {
      text += fmt::format("{}", step_ms);
      for (const MeasureColumn& column : MeasureColumns()) {
        text += fmt::format(" {}", Summarize(policy, step_ms, column.field).mean);
      }
      text += '\n';
    }
    text += "\n\n";
  }
  return text;
}

std::string ExperimentReport::GnuplotScript() const {
  const std::vector<std::string> policies = Policies();
  std::string text = "set terminal svg size 900,520 background 'white'\nset grid\n";
  text += "set xlabel 'engine step time (ms)'\nset key outside right\n";
  constexpr size_t kFirstMeasureColumn = 2;
  for (size_t column = 0; column < MeasureColumns().size(); ++column) {
    const char* name = MeasureColumns()[column].name;
    text += fmt::format("set output '{}.svg'\nset title '{}' noenhanced\nplot ", name, name);
    for (size_t policy = 0; policy < policies.size(); ++policy) {
      if (policy > 0) text += ", ";
      text +=
          fmt::format("'summary.dat' index {} using 1:{} with linespoints title '{}' noenhanced",
                      policy, column + kFirstMeasureColumn, policies[policy]);
    }
    text += '\n';
  }
  return text;
}

absl::Status ExperimentReport::WriteFiles(const std::string& folder) const {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error) return absl::UnavailableError(fmt::format("{}: {}", folder, error.message()));
  const std::filesystem::path base(folder);
  absl::Status status = WriteFile(base / "results.csv", Csv());
  if (status.ok()) status = WriteFile(base / "summary.dat", GnuplotData());
  if (status.ok()) status = WriteFile(base / "plot.gnuplot", GnuplotScript());
  return status;
}

}  // namespace millstair
