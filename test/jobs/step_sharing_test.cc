/// Guards the sharing of engines among trainers as a whole: the real scheduler with fake engines.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <vector>

#include "test/jobs/sharing_play.h"

namespace millstair {
namespace {

constexpr uint64_t kSeeds = 4;

/// Outcomes of the four trainers, summed over the seeds.
std::vector<TrainerOutcome> PlaySeeds(SharingPlay play) {
  play.trainers = {{10, 16, 10}, {8, 16, 20}, {9, 16, 20}, {6, 16, 16}};
  std::vector<TrainerOutcome> sums(play.trainers.size());
  for (play.seed = 1; play.seed <= kSeeds; ++play.seed) {
    const std::vector<TrainerOutcome> outcomes = PlaySharing(play);
    for (size_t i = 0; i < sums.size(); ++i) {
      sums[i].steps += outcomes[i].steps;
      sums[i].rejected_steps += outcomes[i].rejected_steps;
      sums[i].steps_in_time += outcomes[i].steps_in_time;
      sums[i].wanted_groups += outcomes[i].wanted_groups;
      sums[i].groups_in_time += outcomes[i].groups_in_time;
      sums[i].longest_step_seconds =
          std::max(sums[i].longest_step_seconds, outcomes[i].longest_step_seconds);
    }
  }
  return sums;
}

struct Summary {
  size_t groups_in_time = 0;
  size_t rejected_steps = 0;
  double mean_share = 0;
  double worst_share = 1;
  double steps_in_time_share = 0;
  double longest_step_seconds = 0;
};

Summary Summarize(const std::vector<TrainerOutcome>& outcomes) {
  Summary summary;
  size_t steps = 0;
  size_t steps_in_time = 0;
  for (const TrainerOutcome& outcome : outcomes) {
    summary.groups_in_time += outcome.groups_in_time;
    summary.rejected_steps += outcome.rejected_steps;
    summary.mean_share += outcome.Share() / static_cast<double>(outcomes.size());
    summary.worst_share = std::min(summary.worst_share, outcome.Share());
    summary.longest_step_seconds =
        std::max(summary.longest_step_seconds, outcome.longest_step_seconds);
    steps += outcome.steps;
    steps_in_time += outcome.steps_in_time;
  }
  summary.steps_in_time_share = static_cast<double>(steps_in_time) / static_cast<double>(steps);
  return summary;
}

Summary Play(SharingPlay play, bool shares_steps) {
  play.shares_steps = shares_steps;
  const Summary summary = Summarize(PlaySeeds(play));
  UNSCOPED_INFO(play.engines << " engines, sharing " << shares_steps << ": "
                             << summary.groups_in_time << " groups in time, shares "
                             << summary.worst_share << " of " << summary.mean_share
                             << ", steps in time " << summary.steps_in_time_share << ", longest "
                             << summary.longest_step_seconds << " s");
  return summary;
}

/// A play with engines of 8 slots, some of them fast.
SharingPlay PlayOf(size_t engines, size_t fast_engines) {
  SharingPlay play;
  play.engines = engines;
  play.fast_engines = fast_engines;
  return play;
}

// The trainers want 2144 events per second if no step is lost; the engines make 0.6 of these.
TEST_CASE("With too few engines all trainers get about the same share of their groups in time") {
  const SharingPlay play = PlayOf(8, 1);
  const Summary by_start = Play(play, false);
  const Summary by_lateness = Play(play, true);
  CHECK(by_lateness.worst_share >= 0.9 * by_lateness.mean_share);
  CHECK(by_lateness.groups_in_time >= by_start.groups_in_time);
  CHECK(by_lateness.steps_in_time_share > 0);
  // All groups are late, and those of each job fit before its items are given up.
  CHECK(by_lateness.rejected_steps == 0);
}

// The engines make nearly four times what the trainers want.
TEST_CASE("With ample engines all steps are in time, and long texts take no longer than before") {
  const SharingPlay play = PlayOf(45, 11);
  const Summary by_start = Play(play, false);
  const Summary by_lateness = Play(play, true);
  CHECK(by_lateness.steps_in_time_share == 1);
  CHECK(by_lateness.steps_in_time_share >= by_start.steps_in_time_share);
  CHECK(by_lateness.longest_step_seconds <= 1.1 * by_start.longest_step_seconds);
  CHECK(by_lateness.rejected_steps == 0);
}

// Guards the forecast against counting the slots of engines that send nothing.
TEST_CASE(
    "When engines fall silent all trainers get about the same share of their groups in time") {
  SharingPlay play = PlayOf(14, 3);
  play.silent_engines = true;
  const Summary by_start = Play(play, false);
  const Summary by_lateness = Play(play, true);
  CHECK(by_lateness.worst_share >= 0.9 * by_lateness.mean_share);
  CHECK(by_lateness.groups_in_time >= by_start.groups_in_time);
}

SharingPlay SilentAndSlowEngines() {
  SharingPlay play = PlayOf(45, 11);
  play.silent_engines = true;
  play.slowdown = 3;
  return play;
}

TEST_CASE("When engines fall silent and slow down no fewer groups are in time than before") {
  const Summary by_start = Play(SilentAndSlowEngines(), false);
  const Summary by_lateness = Play(SilentAndSlowEngines(), true);
  CHECK(by_lateness.groups_in_time >= by_start.groups_in_time);
  CHECK(by_lateness.worst_share >= by_start.worst_share);
}

TEST_CASE("When engines fall silent and slow down all trainers get about the same share") {
  const Summary by_lateness = Play(SilentAndSlowEngines(), true);
  CHECK(by_lateness.worst_share >= 0.9 * by_lateness.mean_share);
}

}  // namespace
}  // namespace millstair
