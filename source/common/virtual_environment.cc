#include "common/virtual_environment.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace millstair {
namespace {

/// Wall time at the start of every run: 2026-01-01T00:00:00Z.
constexpr WallTime kWallStart{std::chrono::milliseconds(1767225600000)};

Duration Scale(Duration span, double factor) {
  return Duration(std::llround(static_cast<double>(span.count()) * factor));
}

}  // namespace

TimerId VirtualScheduler::Schedule(Duration delay, std::function<void()> callback) {
  return ScheduleFor(nullptr, delay, std::move(callback));
}

TimerId VirtualScheduler::ScheduleFor(const VirtualEnvironment* owner, Duration delay,
                                      std::function<void()> callback) {
  const uint64_t sequence = next_sequence_++;
  pending_.emplace(sequence, Pending{std::move(callback), owner});
  heap_.push_back({now_ + std::max(delay, Duration(0)), sequence, sequence});
  std::push_heap(heap_.begin(), heap_.end(), std::greater<>());
  return TimerId(sequence);
}

void VirtualScheduler::Cancel(TimerId timer) {
  // The callback is destroyed only after the map is consistent again.
  const auto node = pending_.extract(timer.value());
}

void VirtualScheduler::DropAllOf(const VirtualEnvironment* owner) {
  std::vector<uint64_t> owned;
  for (const auto& [sequence, pending] : pending_) {
    if (pending.owner == owner) owned.push_back(sequence);
  }
  std::sort(owned.begin(), owned.end());
  for (const uint64_t sequence : owned) Cancel(TimerId(sequence));
  deferred_.erase(owner);
}

void VirtualScheduler::ReleaseDeferred(const VirtualEnvironment* owner) {
  const auto held = deferred_.extract(owner);
  if (held.empty()) return;
  for (const uint64_t sequence : held.mapped()) {
    heap_.push_back({now_, next_sequence_++, sequence});
    std::push_heap(heap_.begin(), heap_.end(), std::greater<>());
  }
}

void VirtualScheduler::Clear() {
  while (!pending_.empty()) {
    const auto dropped = std::move(pending_);
    pending_.clear();
  }
  heap_.clear();
}

bool VirtualScheduler::SkipCancelled() {
  while (!heap_.empty() && !pending_.contains(heap_.front().sequence)) {
    std::pop_heap(heap_.begin(), heap_.end(), std::greater<>());
    heap_.pop_back();
  }
  return !heap_.empty();
}

bool VirtualScheduler::Step() {
  if (!SkipCancelled()) return false;
  std::pop_heap(heap_.begin(), heap_.end(), std::greater<>());
  const Due due = heap_.back();
  heap_.pop_back();
  now_ = due.time;
  const VirtualEnvironment* const owner = pending_.at(due.sequence).owner;
  if (owner != nullptr && owner->suspended()) {
    deferred_[owner].push_back(due.sequence);
    return true;
  }
  auto node = pending_.extract(due.sequence);
  ++events_run_;
  node.mapped().callback();
  return true;
}

void VirtualScheduler::RunUntil(Duration time) {
  while (SkipCancelled() && heap_.front().time <= time) Step();
  now_ = std::max(now_, time);
}

uint64_t VirtualScheduler::Run(uint64_t max_events) {
  uint64_t count = 0;
  while (count < max_events && Step()) ++count;
  return count;
}

bool VirtualScheduler::RunUntilTrue(const std::function<bool()>& condition, Duration span) {
  const Duration end = now_ + span;
  while (!condition()) {
    if (!SkipCancelled() || heap_.front().time > end) {
      now_ = end;
      return condition();
    }
    Step();
  }
  return true;
}

VirtualEnvironment::VirtualEnvironment(VirtualScheduler& scheduler, uint64_t seed,
                                       VirtualClockOptions clock)
    : scheduler_(scheduler),
      random_(seed),
      clock_(clock),
      true_base_(scheduler.Now()),
      local_base_(clock.monotonic_start) {}

VirtualEnvironment::~VirtualEnvironment() { Kill(); }

TimePoint VirtualEnvironment::Now() const {
  return TimePoint(local_base_ + Scale(scheduler_.Now() - true_base_, clock_.rate));
}

WallTime VirtualEnvironment::WallNow() const {
  return kWallStart + std::chrono::duration_cast<std::chrono::milliseconds>(scheduler_.Now() +
                                                                            clock_.wall_error);
}

TimerId VirtualEnvironment::Schedule(Duration delay, std::function<void()> callback) {
  if (!alive_) return TimerId();
  return scheduler_.ScheduleFor(this, Scale(delay, 1.0 / clock_.rate), std::move(callback));
}

void VirtualEnvironment::Cancel(TimerId timer) { scheduler_.Cancel(timer); }

void VirtualEnvironment::Kill() {
  if (!alive_) return;
  alive_ = false;
  scheduler_.DropAllOf(this);
}

void VirtualEnvironment::Wake() {
  suspended_ = false;
  scheduler_.ReleaseDeferred(this);
}

void VirtualEnvironment::SetRate(double rate) {
  local_base_ = Now().time_since_epoch();
  true_base_ = scheduler_.Now();
  clock_.rate = rate;
}

}  // namespace millstair
