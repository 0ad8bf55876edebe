/// How much of an engine rollouts may fill. The share shrinks when live latency rises and grows
/// back slowly, so that live traffic comes first.
#pragma once

#include <cstdint>

#include "common/time.h"

namespace millstair {

struct RolloutShareOptions {
  /// Largest share of an engine's sequences for rollouts.
  double max_share = 0.95;
  /// Kept even under live pressure, so that trainers never starve.
  double min_share = 0.1;
  /// Live time to first token may rise to this multiple of its unloaded value.
  double tolerance = 1.25;
  double cut = 0.7;
  /// Added per second without pressure.
  double growth = 0.05;
  /// Cuts are at least this far apart, so that one burst counts once.
  Duration cut_interval = std::chrono::milliseconds(500);
};

/// Additive increase, multiplicative decrease on one engine. Lives on the node's executor.
class RolloutShare {
 public:
  explicit RolloutShare(RolloutShareOptions options = {})
      : options_(options), share_(options.max_share) {}

  /// A live request's first token came after `latency`; `unloaded` is what it takes without load.
  void RecordLiveLatency(TimePoint now, Duration latency, Duration unloaded);
  /// A live request had to wait at the gateway because no engine had room.
  void OnLiveQueued(TimePoint now) { Cut(now); }

  /// Share of the engine's sequences that rollouts may fill now.
  double Share(TimePoint now) const;
  /// Sequences that rollouts may fill of `max_sequences`.
  uint32_t Sequences(TimePoint now, uint32_t max_sequences) const;

 private:
  void Cut(TimePoint now);

  RolloutShareOptions options_;
  /// Share as of the last cut; it grows with time since.
  double share_;
  TimePoint cut_at_;
  bool was_cut_ = false;
};

}  // namespace millstair
