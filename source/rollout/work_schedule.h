/// Which open sample is started next, and which are held back for fresher weights.
///
/// One setting drives it: w = StreamSpec.idle_time_weight, 0..1.
/// - Steps ahead: a step may start while at most ceil(w * staleness bound) older ones are
/// unfinished.
/// - Hold: of a step that the trainer does not wait for, the longest share w of the samples starts
///   at once; the shorter rest is held until the next version is out, but not beyond kHoldSlack
///   times the learned interval of publishing.
/// - Swap: while engines are about to swap to a version that is out, the shorter rest is held for
/// up
///   to (1 - w) * kMaxSwapHold even if the trainer waits.
/// - Order: given back ones first, then older steps, then the longest expected.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "common/time.h"
#include "rollout/stream_data.h"

namespace millstair {

/// What the schedule must know of the stream at the moment.
struct ScheduleContext {
  TimePoint now;
  double idle_time_weight = 0.5;
  uint64_t staleness_bound = 0;
  WeightVersion newest;
  /// The trainer is reading and there is nothing to read.
  bool trainer_waiting = false;
  /// The newest version is not served by the engines yet.
  bool swap_pending = false;
  /// False starts everything in order at once.
  bool tail_handling = true;
};

/// Lives on the executor of the stream leader.
class WorkSchedule {
 public:
  /// A version was published. Learns the interval.
  void OnVersionPublished(TimePoint now, WeightVersion version);
  /// Adds a sample that nobody works at. `urgent` ones, given back or lost, go first.
  void Add(TimePoint now, const SampleKey& key, uint32_t expected_tokens, uint32_t step_samples,
           bool urgent);
  void Remove(const SampleKey& key);
  void Clear();
  /// Takes out the next sample that may start; `steps` are the unfinished ones.
  std::optional<SampleKey> Take(const ScheduleContext& context,
                                const std::map<uint64_t, StepRecord>& steps);

  size_t waiting() const { return order_.size(); }
  /// Learned time between two versions; none before the third.
  std::optional<Duration> publish_interval() const { return publish_interval_; }

 private:
  struct Rank {
    bool not_urgent = false;
    uint64_t step_sequence = 0;
    uint32_t shortness = 0;
    uint32_t index = 0;
    friend auto operator<=>(const Rank&, const Rank&) = default;  // NOLINT
  };
  struct StepQueue {
    uint32_t samples = 0;
    uint32_t waiting = 0;
    /// Newest version when the step came.
    WeightVersion newest_at_creation;
  };

  bool CanStart(const ScheduleContext& context, const Rank& rank, uint64_t steps_before) const;
  bool IsHeldForSwap(const ScheduleContext& context) const;
  bool HoldExpired(const ScheduleContext& context, const StepQueue& queue) const;

  std::set<Rank> order_;
  std::map<SampleKey, Rank> ranks_;
  std::map<uint64_t, StepQueue> queues_;
  WeightVersion newest_;
  std::optional<TimePoint> published_at_;
  std::optional<Duration> publish_interval_;
};

}  // namespace millstair
