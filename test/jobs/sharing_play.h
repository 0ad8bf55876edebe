/// Trainers that compete for engines, played in virtual time with the real job scheduler: engines
/// of different pace, long-tailed lengths, and estimates that are right in the median only.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"

namespace millstair {

/// A trainer that submits jobs of equal shape.
struct PlayedTrainer {
  size_t groups = 0;
  size_t items_per_group = 0;
  /// Mean events of a text.
  double mean_events = 0;
};

struct SharingPlay {
  uint64_t seed = 1;
  bool shares_steps = true;
  std::vector<PlayedTrainer> trainers;
  /// Engines of 8 slots. The first `fast_engines` are fast, the others slow; see sharing_play.cc.
  size_t engines = 0;
  size_t fast_engines = 0;
  /// From 10 s on, 45% of the engines accept requests and send nothing, and the others need
  /// `slowdown` times as long for an event.
  bool silent_engines = false;
  int slowdown = 1;
  /// Time during which jobs are submitted.
  Duration length = std::chrono::seconds(60);
};

/// Outcome of all jobs of one trainer.
struct TrainerOutcome {
  size_t steps = 0;
  /// Steps that the leader would reject at submission; they are played nevertheless.
  size_t rejected_steps = 0;
  /// Steps whose wanted groups were complete when they were due.
  size_t steps_in_time = 0;
  size_t wanted_groups = 0;
  size_t groups_in_time = 0;
  /// Longest time until the wanted groups were complete; the time after which a step is lost if
  /// they never were.
  double longest_step_seconds = 0;

  double Share() const {
    return static_cast<double>(groups_in_time) / static_cast<double>(wanted_groups);
  }
};

std::vector<TrainerOutcome> PlaySharing(const SharingPlay& play);

}  // namespace millstair
