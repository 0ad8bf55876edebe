#include "rollout/work_schedule.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace millstair {
namespace {

/// A held sample starts after this multiple of the estimated publish interval if no new version
/// arrives.
constexpr double kHoldSlack = 1.2;
/// Longest hold for a swap, at an idle time weight of 0.
constexpr Duration kMaxSwapHold = std::chrono::seconds(5);
/// Smoothing factor for the publish interval.
constexpr double kIntervalSmoothing = 0.3;

}  // namespace

void WorkSchedule::OnVersionPublished(TimePoint now, WeightVersion version) {
  if (version <= newest_) return;
  const bool first = newest_.value() == 0;
  newest_ = version;
  if (published_at_ && !first) {
    const Duration interval = now - *published_at_;
    if (!publish_interval_) {
      publish_interval_ = interval;
    } else {
      *publish_interval_ += Duration(
          static_cast<Duration::rep>(kIntervalSmoothing * (interval - *publish_interval_).count()));
    }
  }
  published_at_ = now;
}

void WorkSchedule::Add(TimePoint, const SampleKey& key, uint32_t expected_tokens,
                       uint32_t step_samples, bool urgent) {
  Remove(key);
  const Rank rank{!urgent, key.step_sequence,
                  std::numeric_limits<uint32_t>::max() - expected_tokens, key.index};
  ranks_[key] = rank;
  order_.insert(rank);
  const auto [queue, added] = queues_.try_emplace(key.step_sequence);
  if (added) queue->second = {step_samples, 0, newest_};
  ++queue->second.waiting;
}

void WorkSchedule::Remove(const SampleKey& key) {
  const auto found = ranks_.find(key);
  if (found == ranks_.end()) return;
  order_.erase(found->second);
  ranks_.erase(found);
  --queues_[key.step_sequence].waiting;
}

void WorkSchedule::Clear() {
  order_.clear();
  ranks_.clear();
  queues_.clear();
}

std::optional<SampleKey> WorkSchedule::Take(const ScheduleContext& context,
                                            const std::map<uint64_t, StepRecord>& steps) {
  // Drop the queues of finished steps.
  std::erase_if(queues_, [&](const auto& queue) {
    return queue.second.waiting == 0 && !steps.contains(queue.first);
  });
  auto at = order_.begin();
  while (at != order_.end()) {
    const auto steps_before =
        static_cast<uint64_t>(std::distance(steps.begin(), steps.lower_bound(at->step_sequence)));
    if (CanStart(context, *at, steps_before)) {
      const SampleKey key{at->step_sequence, at->index};
      Remove(key);
      return key;
    }
    if (!at->not_urgent) {
      ++at;
      continue;
    }
    // The rest of this step is shorter and therefore held as well.
    const Rank next_step{true, at->step_sequence + 1, 0, 0};
    at = order_.lower_bound(next_step);
  }
  return std::nullopt;
}

bool WorkSchedule::CanStart(const ScheduleContext& context, const Rank& rank,
                            uint64_t steps_before) const {
  if (!context.tail_handling || !rank.not_urgent) return true;
  const double weight = std::clamp(context.idle_time_weight, 0.0, 1.0);
  const auto max_steps_ahead =
      static_cast<uint64_t>(std::ceil(weight * static_cast<double>(context.staleness_bound)));
  if (steps_before > max_steps_ahead) return false;
  const StepQueue& queue = queues_.at(rank.step_sequence);
  const uint32_t started = queue.samples - std::min(queue.samples, queue.waiting);
  if (started < weight * queue.samples) return true;
  if (IsHeldForSwap(context)) return false;
  if (context.trainer_waiting && steps_before == 0) return true;
  return HoldExpired(context, queue);
}

bool WorkSchedule::IsHeldForSwap(const ScheduleContext& context) const {
  if (!context.swap_pending || !published_at_) return false;
  const double weight = std::clamp(context.idle_time_weight, 0.0, 1.0);
  return context.now - *published_at_ < FromSeconds((1.0 - weight) * ToSeconds(kMaxSwapHold));
}

bool WorkSchedule::HoldExpired(const ScheduleContext& context, const StepQueue& queue) const {
  if (context.newest > queue.newest_at_creation) return true;
  if (!publish_interval_ || !published_at_) return true;
  const auto limit = Duration(static_cast<Duration::rep>(kHoldSlack * publish_interval_->count()));
  return context.now >= *published_at_ + limit;
}

}  // namespace millstair
