#include "jobs/missing_slots.h"

#include <catch2/catch.hpp>
#include <limits>

namespace millstair {
namespace {

constexpr double kPace = 0.05;

/// `items` waiting items of `events` events, one group each.
ForecastJob WaitingJob(size_t items, double events, double due_in_seconds) {
  ForecastJob job;
  job.due_in_seconds = due_in_seconds;
  job.wanted_groups = items;
  job.groups.resize(items);
  for (size_t group = 0; group < items; ++group) job.items.push_back({group, events, 0});
  return job;
}

double Missing(uint32_t slots, const std::vector<ForecastJob>& jobs) {
  ForecastPool pool;
  if (slots > 0) pool.engines.push_back({slots, kPace});
  const std::vector<JobForecast> forecasts = ForecastSteps({pool}, jobs);
  std::vector<const ForecastJob*> inputs;
  std::vector<const JobForecast*> results;
  for (size_t i = 0; i < jobs.size(); ++i) {
    inputs.push_back(&jobs[i]);
    results.push_back(&forecasts[i]);
  }
  return MissingSlots(pool, inputs, results);
}

TEST_CASE("A pool with enough slots misses none") {
  // 40 items of one second in 5 s need 8 slots, and 8.9 with the share that is not planned.
  CHECK(Missing(9, {WaitingJob(40, 20, 5)}) == 0);
  CHECK(Missing(100, {WaitingJob(40, 20, 5)}) == 0);
  CHECK(Missing(9, {}) == 0);
}

TEST_CASE("The slots that are missing are not under- or overestimated") {
  CHECK(Missing(5, {WaitingJob(40, 20, 5)}) == Approx(40 / 0.9 / 5 - 5));
  // With these slots more, none are missing.
  CHECK(Missing(9, {WaitingJob(40, 20, 5)}) == 0);
}

TEST_CASE("Work that is due earlier is not spread over the time until the last job is due") {
  const std::vector<ForecastJob> jobs = {WaitingJob(40, 20, 10), WaitingJob(20, 20, 2.5)};
  // 20 slot seconds in 2.5 s, and 60 in 10 s.
  CHECK(Missing(6, jobs) == Approx(20 / 0.9 / 2.5 - 6));
  CHECK(Missing(1, jobs) == Approx(20 / 0.9 / 2.5 - 1));
}

TEST_CASE("Running items leave fewer slots") {
  ForecastJob job = WaitingJob(40, 20, 5);
  job.groups.emplace_back();
  job.wanted_groups = 41;
  job.items.push_back({40, 40, kPace});
  // One slot is busy for 2 of the 5 seconds.
  CHECK(Missing(5, {job}) == Approx((40 / 0.9 - 23) / 5));
}

TEST_CASE("No more slots are missing than items wait, however late they are") {
  CHECK(Missing(1, {WaitingJob(3, 20, -100)}) <= 3);
  CHECK(Missing(1, {WaitingJob(3, 2000, 0.1)}) == 3);
  CHECK(Missing(0, {WaitingJob(3, 20, 5)}) == 3);
}

TEST_CASE("Spare groups and jobs without a due time ask for no slots") {
  ForecastJob spare = WaitingJob(40, 20, 5);
  for (ForecastGroup& group : spare.groups) group.spare = true;
  spare.wanted_groups = 0;
  CHECK(Missing(1, {spare}) == 0);
  CHECK(Missing(1, {WaitingJob(40, 20, std::numeric_limits<double>::infinity())}) == 0);
}

}  // namespace
}  // namespace millstair
