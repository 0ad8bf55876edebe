/// Results of an experiment: one row per policy, step time and seed; summaries over seeds; verdicts
/// against the best baseline. Writes a table, CSV, and a gnuplot script with its data.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/status.h"

namespace millstair {

/// Measurements of one simulated run. Shares are 0..1; times are in milliseconds.
struct ExperimentMeasures {
  double trainer_idle_share = 0;
  double staleness_mean = 0;
  double staleness_p95 = 0;
  double staleness_max = 0;
  double live_p50_ms = 0;
  double live_p99_ms = 0;
  double steps_in_time_share = 0;
  double prefix_hit_rate = 0;
  double answered = 0;
  double not_run = 0;
  double unknown = 0;
};

struct ExperimentRow {
  std::string policy;
  double step_ms = 0;
  uint64_t seed = 0;
  ExperimentMeasures measures;
};

/// One column of the report.
struct MeasureColumn {
  const char* name;
  double ExperimentMeasures::*field;
};

/// All columns, in the order of the CSV file.
const std::vector<MeasureColumn>& MeasureColumns();

/// Mean and spread of one measure over the seeds of a policy and step time.
struct MeasureSummary {
  double mean = 0;
  double smallest = 0;
  double largest = 0;
  size_t seeds = 0;
};

/// A goal: the measure of the policy divided by that of the reference is at most `limit`.
struct VerdictGoal {
  std::string title;
  double ExperimentMeasures::*field = nullptr;
  std::string policy;
  /// The one with the smallest mean is the reference.
  std::vector<std::string> references;
  double limit = 1;
};

struct Verdict {
  double step_ms = 0;
  std::string reference;
  double value = 0;
  double reference_value = 0;
  /// value / reference_value; 0 when both are 0, infinite when only the reference is.
  double ratio = 0;
  bool met = false;
};

class ExperimentReport {
 public:
  void Add(ExperimentRow row);

  const std::vector<ExperimentRow>& rows() const { return rows_; }
  /// In the order in which policies and step times first appear in the rows.
  std::vector<std::string> Policies() const;
  std::vector<double> StepTimes() const;

  MeasureSummary Summarize(const std::string& policy, double step_ms,
                           double ExperimentMeasures::*field) const;
  /// One verdict per step time for which the policy and a reference have rows.
  std::vector<Verdict> Judge(const VerdictGoal& goal) const;

  /// Means over seeds as an aligned table, with the spread of the first measure.
  std::string Table() const;
  /// One line per verdict: title, ratio, limit, met or missed.
  std::string VerdictLines(const std::vector<VerdictGoal>& goals) const;
  std::string Csv() const;
  /// A gnuplot script that draws each measure over the step time from summary.dat into SVG files.
  std::string GnuplotScript() const;
  /// Means per policy and step time, blocks separated for gnuplot's `index`.
  std::string GnuplotData() const;

  /// Writes results.csv, summary.dat and plot.gnuplot into `folder`, creating it.
  absl::Status WriteFiles(const std::string& folder) const;

 private:
  std::vector<ExperimentRow> rows_;
};

}  // namespace millstair
