#include "rollout/work_schedule.h"

#include <catch2/catch.hpp>

#include "rollout/attempt_table.h"
#include "rollout/length_estimator.h"

namespace millstair {
namespace {

constexpr uint32_t kSamples = 10;

/// Two steps of ten samples; sample i of a step is expected to have 10 * (i + 1) tokens.
struct ScheduleFixture {
  ScheduleFixture() {
    for (uint64_t step = 1; step <= 2; ++step) {
      steps[step].samples.resize(kSamples);
      for (uint32_t i = 0; i < kSamples; ++i) {
        schedule.Add(at, {step, i}, 10 * (i + 1), kSamples, false);
      }
    }
    context.now = at;
    context.staleness_bound = 3;
  }

  /// Two versions 100 s apart, the second one published just now.
  void EstablishInterval() {
    schedule.OnVersionPublished(at, WeightVersion(1));
    at += std::chrono::seconds(100);
    schedule.OnVersionPublished(at, WeightVersion(2));
    context.newest = WeightVersion(2);
    context.now = at;
    // Steps created now are associated with the newest version.
    schedule.Clear();
    for (uint64_t step = 1; step <= 2; ++step) {
      for (uint32_t i = 0; i < kSamples; ++i) {
        schedule.Add(at, {step, i}, 10 * (i + 1), kSamples, false);
      }
    }
  }

  std::vector<SampleKey> TakeAll() {
    std::vector<SampleKey> taken;
    while (const std::optional<SampleKey> key = schedule.Take(context, steps)) {
      taken.push_back(*key);
    }
    return taken;
  }

  TimePoint at{std::chrono::hours(1)};
  WorkSchedule schedule;
  ScheduleContext context;
  std::map<uint64_t, StepRecord> steps;
};

TEST_CASE("older steps come first, and in a step the longest") {
  ScheduleFixture fixture;
  fixture.context.idle_time_weight = 1;
  const std::vector<SampleKey> taken = fixture.TakeAll();
  REQUIRE(taken.size() == 20);
  REQUIRE(taken.front() == SampleKey{1, 9});
  REQUIRE(taken[9] == SampleKey{1, 0});
  REQUIRE(taken[10] == SampleKey{2, 9});
}

TEST_CASE("returned samples go first") {
  ScheduleFixture fixture;
  fixture.schedule.Add(fixture.at, {2, 0}, 10, kSamples, true);
  REQUIRE(fixture.schedule.Take(fixture.context, fixture.steps) == SampleKey{2, 0});
}

TEST_CASE("the weight bounds how many steps run ahead") {
  ScheduleFixture fixture;
  fixture.steps[3].samples.resize(kSamples);
  for (uint32_t i = 0; i < kSamples; ++i) {
    fixture.schedule.Add(fixture.at, {3, i}, 10, kSamples, false);
  }
  fixture.context.idle_time_weight = 0;
  fixture.context.trainer_waiting = true;
  REQUIRE(fixture.TakeAll().size() == kSamples);
  fixture.context.idle_time_weight = 0.1;  // ceil(0.1 * 3) = 1 step ahead
  REQUIRE(fixture.TakeAll().size() == kSamples);
  fixture.context.idle_time_weight = 0.5;  // ceil(0.5 * 3) = 2 steps ahead
  REQUIRE(fixture.TakeAll().size() == kSamples);
}

TEST_CASE("a staleness bound of zero allows no step ahead at any weight") {
  ScheduleFixture fixture;
  fixture.context.idle_time_weight = 1;
  fixture.context.staleness_bound = 0;
  REQUIRE(fixture.TakeAll().size() == kSamples);
}

TEST_CASE("the shorter rest of a step waits for the next version") {
  ScheduleFixture fixture;
  fixture.EstablishInterval();
  fixture.context.idle_time_weight = 0.3;
  // The longest three of each step, because one step may run ahead.
  REQUIRE(fixture.TakeAll().size() == 6);
  SECTION("until it is out") {
    fixture.context.newest = WeightVersion(3);
    REQUIRE(fixture.TakeAll().size() == 14);
  }
  SECTION("but not if the trainer waits for the step") {
    fixture.context.trainer_waiting = true;
    REQUIRE(fixture.TakeAll().size() == 7);
  }
  SECTION("and not for ever") {
    fixture.context.now += std::chrono::seconds(119);
    REQUIRE(fixture.TakeAll().empty());
    fixture.context.now += std::chrono::seconds(2);
    REQUIRE(fixture.TakeAll().size() == 14);
  }
  SECTION("unless tails are not handled at all") {
    fixture.context.tail_handling = false;
    REQUIRE(fixture.TakeAll().size() == 14);
  }
}

TEST_CASE("while engines swap, the rest is held even if the trainer is waiting") {
  ScheduleFixture fixture;
  fixture.EstablishInterval();
  fixture.context.idle_time_weight = 0.2;
  fixture.context.trainer_waiting = true;
  fixture.context.swap_pending = true;
  REQUIRE(fixture.TakeAll().size() == 4);
  fixture.context.now += std::chrono::milliseconds(4100);  // (1 - 0.2) * 5 s have passed
  REQUIRE(fixture.TakeAll().size() == 8);
}

TEST_CASE("lengths are estimated by prompt, and by the mean for unknown prompts") {
  LengthEstimator lengths;
  for (int i = 0; i < 8; ++i) lengths.RecordLength("long one", 100, 90);
  REQUIRE(lengths.Expected("long one", 100) == 90);
  REQUIRE(lengths.Expected("unknown", 100) >= 30);
  REQUIRE(lengths.Expected("unknown", 100) < 60);
  lengths.RecordLength("long one", 100, 10);
  REQUIRE(lengths.Expected("long one", 100) == 50);
  REQUIRE(LengthEstimator::Remaining(50, 100, 20) == 30);
  REQUIRE(LengthEstimator::Remaining(50, 100, 60) == 20);
  REQUIRE(LengthEstimator::Remaining(50, 100, 100) == 0);
}

TEST_CASE("attempts are lost if not reported, if not listed, or if their gateway is gone") {
  AttemptTable table({std::chrono::seconds(5), std::chrono::milliseconds(1500)});
  const TimePoint begin{std::chrono::hours(1)};
  const NodeId unresponsive("unresponsive");
  const NodeId responsive("responsive");
  const NodeId dead("dead");
  table.Grant(begin, {1, 0}, AttemptEpoch(1), unresponsive);
  table.Grant(begin, {1, 1}, AttemptEpoch(2), responsive);
  table.Grant(begin, {1, 2}, AttemptEpoch(3), dead);
  std::map<NodeId, AttemptTable::GatewayLiveness> liveness;
  liveness[unresponsive] = {begin, false};
  liveness[responsive] = {begin + std::chrono::milliseconds(1400), false};
  REQUIRE(table.DropLost(begin + std::chrono::seconds(2), liveness).empty());
  liveness[responsive].last_seen_at = begin + std::chrono::milliseconds(1600);
  REQUIRE(table.DropLost(begin + std::chrono::seconds(2), liveness) ==
          std::vector<SampleKey>{{1, 1}});
  liveness[dead] = {begin, true};
  REQUIRE(table.DropLost(begin + std::chrono::seconds(2), liveness) ==
          std::vector<SampleKey>{{1, 2}});
  REQUIRE(table.DropLost(begin + std::chrono::seconds(5), liveness) ==
          std::vector<SampleKey>{{1, 0}});
  REQUIRE(table.in_flight() == 0);
}

TEST_CASE("a third attempt at a sample is stopped, an unknown one is adopted") {
  AttemptTable table({});
  const TimePoint now{std::chrono::hours(1)};
  const WorkRequest::Running first{SampleId("a/0"), AttemptEpoch(1), 4, WeightVersion(1)};
  const WorkRequest::Running second{SampleId("a/0"), AttemptEpoch(2), 4, WeightVersion(1)};
  const WorkRequest::Running third{SampleId("a/0"), AttemptEpoch(3), 4, WeightVersion(1)};
  REQUIRE(table.OnAttemptReported(now, {1, 0}, NodeId("g1"), first));
  REQUIRE(table.OnAttemptReported(now, {1, 0}, NodeId("g2"), second));
  REQUIRE_FALSE(table.OnAttemptReported(now, {1, 0}, NodeId("g3"), third));
  REQUIRE(table.in_flight() == 2);
  REQUIRE(table.End({1, 0}, AttemptEpoch(1)));
  REQUIRE_FALSE(table.End({1, 0}, AttemptEpoch(1)));
  REQUIRE(table.in_flight() == 1);
}

}  // namespace
}  // namespace millstair
