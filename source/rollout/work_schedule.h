/// Selects the open sample to start next, and holds samples back for newer weights.
///
/// Controlled by one setting, w = StreamSpec.idle_time_weight, 0..1:
/// - Steps ahead: a step may start while at most ceil(w * staleness bound) older ones are
///   unfinished.
/// - Hold: in a step that the trainer is not waiting for, the longest fraction w of the samples
///   starts at once. The shorter rest is held until the next version is published, for at most
///   kHoldSlack times the estimated publish interval.
/// - Swap: while engines are about to swap to a published version, the shorter rest is held for up
///   to (1 - w) * kMaxSwapHold, even if the trainer is waiting.
/// - Order: returned samples first, then older steps, then the longest expected.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "common/time.h"
#include "rollout/stream_data.h"

namespace millstair {

/// Current state of the stream as the schedule needs it.
struct ScheduleContext {
  TimePoint now;
  double idle_time_weight = 0.5;
  uint64_t staleness_bound = 0;
  WeightVersion newest;
  /// The trainer is reading and nothing is available.
  bool trainer_waiting = false;
  /// The engines do not serve the newest version yet.
  bool swap_pending = false;
  /// False starts all samples in order at once.
  bool tail_handling = true;
};

/// Lives on the node's serial executor.
class WorkSchedule {
 public:
  /// Updates the estimated publish interval.
  void OnVersionPublished(TimePoint now, WeightVersion version);
  /// Adds a sample without a running attempt. `urgent` ones, returned or lost, go first.
  void Add(TimePoint now, const SampleKey& key, uint32_t expected_tokens, uint32_t step_samples,
           bool urgent);
  void Remove(const SampleKey& key);
  void Clear();
  /// Removes and returns the next sample that may start. `steps` are the unfinished steps.
  std::optional<SampleKey> Take(const ScheduleContext& context,
                                const std::map<uint64_t, StepRecord>& steps);

  size_t waiting() const { return order_.size(); }
  /// Estimated time between two versions; nullopt before the third.
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
    /// Newest version when the step was created.
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
