/// Limits the share of an engine that rollouts may use. The share shrinks when live latency rises
/// and recovers slowly, so that live traffic has priority.
#pragma once

#include <cstdint>

#include "common/time.h"

namespace millstair {

struct RolloutShareOptions {
  /// Share of an engine's sequences.
  double max_share = 0.95;
  /// Guaranteed even under live load, so that trainers never starve.
  double min_share = 0.1;
  /// Ratio of live latency to its unloaded value above which the share is cut.
  double tolerance = 1.25;
  double cut = 0.7;
  /// Recovery per second without pressure.
  double growth = 0.05;
  /// Minimum time between cuts, so that one burst counts once.
  Duration cut_interval = std::chrono::milliseconds(500);
};

/// Additive increase, multiplicative decrease for one engine. Lives on the node's executor.
class RolloutShare {
 public:
  explicit RolloutShare(RolloutShareOptions options = {})
      : options_(options), share_(options.max_share) {}

  /// A live request took `latency`, where `unloaded` is expected without rollouts.
  void RecordLiveLatency(TimePoint now, Duration latency, Duration unloaded);
  /// A live request was queued at the gateway because no engine had a free slot.
  void OnLiveQueued(TimePoint now) { Cut(now); }

  /// Share of the engine's sequences that rollouts may use now.
  double Share(TimePoint now) const;
  /// The same as a number of sequences.
  uint32_t Sequences(TimePoint now, uint32_t max_sequences) const;

 private:
  void Cut(TimePoint now);

  RolloutShareOptions options_;
  /// Share right after the last cut; it has grown since.
  double share_;
  TimePoint cut_at_;
  bool was_cut_ = false;
};

}  // namespace millstair
