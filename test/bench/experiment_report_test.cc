#include "bench/experiment/experiment_report.h"

#include <catch2/catch.hpp>

namespace millstair {
namespace {

ExperimentRow Row(const std::string& policy, double step_ms, uint64_t seed, double idle) {
  ExperimentRow row{policy, step_ms, seed, {}};
  row.measures.trainer_idle_share = idle;
  return row;
}

VerdictGoal IdleGoal(double limit) {
  return {"idle", &ExperimentMeasures::trainer_idle_share, "product", {"slow", "fast"}, limit};
}

TEST_CASE("a verdict compares the mean over seeds with the best reference") {
  ExperimentReport report;
  report.Add(Row("product", 20, 1, 0.1));
  report.Add(Row("product", 20, 2, 0.2));
  report.Add(Row("slow", 20, 1, 0.9));
  report.Add(Row("fast", 20, 1, 0.3));
  report.Add(Row("fast", 20, 2, 0.3));
  const auto verdicts = report.Judge(IdleGoal(0.6));
  REQUIRE(verdicts.size() == 1);
  CHECK(verdicts[0].reference == "fast");
  CHECK(verdicts[0].ratio == Approx(0.5));
  CHECK(verdicts[0].met);
  CHECK_FALSE(report.Judge(IdleGoal(0.4))[0].met);
}

TEST_CASE("a goal is missed if only the reference is zero") {
  ExperimentReport report;
  report.Add(Row("product", 20, 1, 0.1));
  report.Add(Row("fast", 20, 1, 0));
  CHECK_FALSE(report.Judge(IdleGoal(1.0))[0].met);
}

TEST_CASE("a step time without the product or a reference has no verdict") {
  ExperimentReport report;
  report.Add(Row("product", 20, 1, 0.1));
  report.Add(Row("fast", 40, 1, 0.1));
  CHECK(report.Judge(IdleGoal(1.0)).empty());
}

TEST_CASE("CSV has one line per run and a column per measure") {
  ExperimentReport report;
  report.Add(Row("product", 20, 7, 0.25));
  const std::string csv = report.Csv();
  CHECK(csv.find("policy,step_ms,seed,idle_share,") == 0);
  CHECK(csv.find("\nproduct,20,7,0.25,") != std::string::npos);
}

}  // namespace
}  // namespace millstair
