#include "jobs/step_forecast.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <limits>

namespace millstair {
namespace {

constexpr double kPace = 0.05;

/// Engines with `slots` slots in all.
ForecastPool Pool(uint32_t slots, double pace = kPace) { return {{{slots, pace}}}; }

/// A job of `groups` groups of four waiting items with `events` events each.
ForecastJob WaitingJob(size_t groups, double events, double due_in_seconds) {
  ForecastJob job;
  job.due_in_seconds = due_in_seconds;
  job.wanted_groups = groups;
  job.groups.resize(groups);
  for (size_t group = 0; group < groups; ++group) {
    for (int i = 0; i < 4; ++i) job.items.push_back({group, events, 0});
  }
  return job;
}

double PlannedShare(const ForecastJob& job, const JobForecast& forecast) {
  return static_cast<double>(forecast.planned_groups + forecast.complete_groups) /
         static_cast<double>(job.wanted_groups);
}

TEST_CASE("With ample capacity all wanted groups are planned and the job has time to spare") {
  const auto forecasts = ForecastSteps({Pool(100)}, {WaitingJob(5, 20, 7.5)});
  REQUIRE(forecasts.size() == 1);
  CHECK(forecasts[0].planned_groups == 5);
  CHECK(forecasts[0].deferred_groups == 0);
  // The 20 items run at once, for 20 events.
  CHECK(forecasts[0].lateness_seconds == Approx(1 - 7.5));
}

// Guards the equal lateness of trainers: by work, the trainer with the longest texts would be late.
TEST_CASE("Jobs get the same share of their groups when capacity is short") {
  std::vector<ForecastJob> jobs = {WaitingJob(10, 10, 7.5), WaitingJob(10, 20, 7.5),
                                   WaitingJob(5, 40, 7.5)};
  // They need 20, 40 and 40 slot seconds; there are 37.5 until they are due.
  const auto forecasts = ForecastSteps({Pool(5)}, jobs);
  double least = 1;
  double most = 0;
  for (size_t i = 0; i < jobs.size(); ++i) {
    const double share = PlannedShare(jobs[i], forecasts[i]);
    least = std::min(least, share);
    most = std::max(most, share);
    CHECK(forecasts[i].planned_groups + forecasts[i].deferred_groups == jobs[i].wanted_groups);
    CHECK(forecasts[i].lateness_seconds > 0);
  }
  CHECK(least >= 0.2);
  // One group of the smallest job.
  CHECK(most - least <= 0.2);
}

TEST_CASE("What is planned fits in the capacity before each due time") {
  // One slot for 2 s, then for 4 s: 0.9 of it holds one and three groups of one second.
  const auto forecasts = ForecastSteps({Pool(1)}, {WaitingJob(5, 5, 4), WaitingJob(5, 5, 2)});
  CHECK(forecasts[0].planned_groups + forecasts[1].planned_groups == 3);
  CHECK(forecasts[1].planned_groups == 1);
}

TEST_CASE("A more urgent priority is planned first") {
  std::vector<ForecastJob> jobs = {WaitingJob(5, 20, 7.5), WaitingJob(5, 20, 7.5)};
  jobs[0].priority = 1;
  const auto forecasts = ForecastSteps({Pool(3)}, jobs);
  CHECK(forecasts[1].planned_groups == 5);
  CHECK(forecasts[0].planned_groups == 0);
  CHECK(forecasts[0].deferred_groups == 5);
  CHECK(forecasts[1].lateness_seconds < 0);
}

TEST_CASE("Groups that need the least are planned, carried ones before them") {
  ForecastJob job = WaitingJob(3, 20, 2.5);
  for (ForecastItem& item : job.items) {
    if (item.group == 1) item.remaining_events = 10;
    if (item.group == 0) item.remaining_events = 15;
  }
  // 2 slots for 2.5 s: 4.5 of 9 slot seconds.
  auto forecast = ForecastSteps({Pool(2)}, {job})[0];
  CHECK(forecast.tiers ==
        std::vector{GroupTier::kDeferred, GroupTier::kPlanned, GroupTier::kDeferred});
  CHECK(forecast.order == std::vector<size_t>{2, 1, 3});
  job.groups[2].carried = true;
  forecast = ForecastSteps({Pool(2)}, {job})[0];
  CHECK(forecast.tiers[2] == GroupTier::kPlanned);
  CHECK(forecast.order == std::vector<size_t>{3, 2, 1});
}

TEST_CASE("Running items need no further capacity, but hold their slots") {
  ForecastJob job = WaitingJob(2, 40, 3);
  for (ForecastItem& item : job.items) {
    if (item.group == 1) item.running_seconds_per_event = kPace;
  }
  // The running group holds all four slots for two of three seconds.
  const auto forecast = ForecastSteps({Pool(4)}, {job})[0];
  CHECK(forecast.tiers == std::vector{GroupTier::kDeferred, GroupTier::kPlanned});
  CHECK(forecast.lateness_seconds == Approx(1));
}

TEST_CASE("A group whose longest text cannot be complete in time is deferred") {
  ForecastJob job = WaitingJob(2, 10, 5);
  job.items[0].remaining_events = 120;
  const auto forecast = ForecastSteps({Pool(100)}, {job})[0];
  CHECK(forecast.tiers == std::vector{GroupTier::kDeferred, GroupTier::kPlanned});
  CHECK(forecast.lateness_seconds == Approx(1));
  // With fast engines it would be in time.
  ForecastPool pool = Pool(100);
  pool.engines.push_back({8, 0.55 * kPace});
  CHECK(ForecastSteps({pool}, {job})[0].planned_groups == 2);
}

TEST_CASE("Complete, failed and spare groups are not planned") {
  ForecastJob job = WaitingJob(5, 10, 7.5);
  job.wanted_groups = 4;
  job.groups[0].spare = true;
  job.groups[1].failed = true;
  std::erase_if(job.items, [](const ForecastItem& item) { return item.group == 2; });
  const auto forecast = ForecastSteps({Pool(100)}, {job})[0];
  CHECK(forecast.complete_groups == 1);
  CHECK(forecast.planned_groups == 2);
  CHECK(forecast.deferred_groups == 0);
  CHECK(forecast.tiers[0] == GroupTier::kSpare);
  CHECK(forecast.tiers[1] == GroupTier::kSpare);
}

// A spare group may be complete before a wanted one.
TEST_CASE("No group beyond the wanted number is planned") {
  ForecastJob job = WaitingJob(4, 10, 7.5);
  job.wanted_groups = 3;
  std::erase_if(job.items, [](const ForecastItem& item) { return item.group == 3; });
  const auto forecast = ForecastSteps({Pool(100)}, {job})[0];
  CHECK(forecast.planned_groups == 2);
  CHECK(forecast.deferred_groups == 0);
}

TEST_CASE("Without an engine that answers all is deferred, and lateness is finite") {
  const auto forecast = ForecastSteps({ForecastPool()}, {WaitingJob(2, 10, 7.5)})[0];
  CHECK(forecast.planned_groups == 0);
  CHECK(forecast.deferred_groups == 2);
  CHECK(forecast.lateness_seconds > 60);
  CHECK(std::isfinite(forecast.lateness_seconds));
}

TEST_CASE("A job without a due time is planned and never late") {
  constexpr double kNever = std::numeric_limits<double>::infinity();
  const auto forecast = ForecastSteps({Pool(1)}, {WaitingJob(50, 100, kNever)})[0];
  CHECK(forecast.planned_groups == 50);
  CHECK(forecast.position == 0);
  CHECK(forecast.lateness_seconds == -kNever);
}

TEST_CASE("An overdue job delays no planned group of another") {
  const auto forecasts = ForecastSteps({Pool(4)}, {WaitingJob(5, 20, -1), WaitingJob(2, 20, 7.5)});
  CHECK(forecasts[0].planned_groups == 0);
  CHECK(forecasts[1].planned_groups == 2);
  CHECK(forecasts[1].lateness_seconds < 0);
}

TEST_CASE("Jobs of other engines do not compete") {
  std::vector<ForecastJob> jobs = {WaitingJob(5, 20, 7.5), WaitingJob(500, 20, 7.5)};
  jobs[1].pool = 1;
  const auto forecasts = ForecastSteps({Pool(4), Pool(4)}, jobs);
  CHECK(forecasts[0].planned_groups == 5);
  CHECK(forecasts[1].planned_groups < 500);
}

TEST_CASE("The later of two jobs precedes, and jobs with time to spare are equal") {
  const auto forecasts = ForecastSteps({Pool(100)}, {WaitingJob(2, 20, 1.5), WaitingJob(2, 20, 2.5),
                                                     WaitingJob(2, 20, 5), WaitingJob(2, 20, 7)});
  CHECK(forecasts[0].position < forecasts[1].position);
  CHECK(forecasts[1].position < forecasts[2].position);
  CHECK(forecasts[2].position == 0);
  CHECK(forecasts[3].position == 0);
}

}  // namespace
}  // namespace millstair
