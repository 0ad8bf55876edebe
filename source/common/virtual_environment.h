/// Virtual time for tests and the simulator: one event queue for all nodes, and per incarnation of
/// a node an Environment with its own drifting clock.
///
/// Everything runs on the thread that calls `Step` or `Run*`. Events with the same time run in the
/// order in which they were scheduled, so the same seed reproduces a run.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "common/environment.h"

namespace millstair {

class VirtualEnvironment;

/// The event queue. Its time is the true time of the run and starts at zero; nodes only see it
/// through their drifting clocks.
class VirtualScheduler {
 public:
  explicit VirtualScheduler(uint64_t seed) : random_(seed) {}
  VirtualScheduler(const VirtualScheduler&) = delete;
  VirtualScheduler& operator=(const VirtualScheduler&) = delete;

  /// True time since the start of the run.
  Duration Now() const { return now_; }
  /// Randomness of the run itself (network, faults); nodes have their own engines.
  RandomEngine& Random() { return random_; }

  /// Runs `callback` once after `delay` of true time. Not bound to any node.
  TimerId Schedule(Duration delay, std::function<void()> callback);
  /// Cancels a scheduled callback; no effect once it ran.
  void Cancel(TimerId timer);

  /// Runs the next event; false if there is none.
  bool Step();
  /// Runs all events up to and including `time`, then sets the clock to it.
  void RunUntil(Duration time);
  /// Runs all events of the next `span`.
  void RunFor(Duration span) { RunUntil(now_ + span); }
  /// Runs until no event is left or `max_events` have run; returns the number that ran.
  uint64_t Run(uint64_t max_events);
  /// Runs until `condition` holds, checked after each event, but at most for `span`; returns
  /// whether it held.
  bool RunUntilTrue(const std::function<bool()>& condition, Duration span);

  /// Drops all events at the end of a run, including those scheduled by the destruction of others.
  void Clear();

  uint64_t events_run() const { return events_run_; }
  /// Number of events that are scheduled and not cancelled.
  size_t pending() const { return pending_.size(); }

 private:
  friend class VirtualEnvironment;

  struct Pending {
    std::function<void()> callback;
    const VirtualEnvironment* owner = nullptr;
  };
  /// Heap entry; the smallest (time, order) is next. Cancelled ones are skipped when popped.
  struct Due {
    Duration time;
    /// Events with the same time run in the order of their insertion into the heap.
    uint64_t order;
    /// Identifies the event in `pending_`.
    uint64_t sequence;
    friend bool operator>(const Due& a, const Due& b) {
      return a.time != b.time ? a.time > b.time : a.order > b.order;
    }
  };

  TimerId ScheduleFor(const VirtualEnvironment* owner, Duration delay,
                      std::function<void()> callback);
  void DropAllOf(const VirtualEnvironment* owner);
  /// Makes the events of `owner` that came due while it was suspended due now.
  void ReleaseDeferred(const VirtualEnvironment* owner);
  /// Removes cancelled entries from the top; false if nothing is left.
  bool SkipCancelled();

  RandomEngine random_;
  Duration now_{0};
  uint64_t next_sequence_ = 1;
  uint64_t events_run_ = 0;
  std::vector<Due> heap_;
  /// Events that came due while their owner was suspended, in order.
  absl::flat_hash_map<const VirtualEnvironment*, std::vector<uint64_t>> deferred_;
  absl::flat_hash_map<uint64_t, Pending> pending_;
};

/// Deviation of a virtual node's clocks from true time.
struct VirtualClockOptions {
  /// Rate of the node's clock; 1.001 gains one millisecond per second.
  double rate = 1.0;
  /// Monotonic time at creation.
  Duration monotonic_start = std::chrono::hours(1);
  /// Error of the wall clock.
  Duration wall_error{0};
};

/// The Environment of one incarnation of a node. None of its callbacks runs after `Kill` or
/// destruction; a restarted node gets a new VirtualEnvironment.
class VirtualEnvironment : public Environment {
 public:
  /// `scheduler` must outlive it. `seed` seeds the node's random engine.
  VirtualEnvironment(VirtualScheduler& scheduler, uint64_t seed, VirtualClockOptions clock = {});
  ~VirtualEnvironment() override;
  VirtualEnvironment(const VirtualEnvironment&) = delete;
  VirtualEnvironment& operator=(const VirtualEnvironment&) = delete;

  TimePoint Now() const override;
  WallTime WallNow() const override;
  RandomEngine& Random() override { return random_; }
  TimerId Schedule(Duration delay, std::function<void()> callback) override;
  void Cancel(TimerId timer) override;

  /// Drops all scheduled callbacks and accepts no new ones, as when the process is killed.
  void Kill();
  bool alive() const { return alive_; }
  /// Changes the rate of the clock from now on.
  void SetRate(double rate);
  /// While suspended, no callback of the node runs but its clocks advance. Callbacks that came due
  /// run in order when it wakes.
  void Suspend() { suspended_ = true; }
  void Wake();
  bool suspended() const { return suspended_; }
  void JumpWallClock(Duration by) { clock_.wall_error += by; }

 private:
  VirtualScheduler& scheduler_;
  RandomEngine random_;
  VirtualClockOptions clock_;
  /// True time and monotonic time of the last change of rate.
  Duration true_base_;
  Duration local_base_;
  bool alive_ = true;
  bool suspended_ = false;
};

}  // namespace millstair
