/// Virtual time for tests and the simulator: one event queue for all nodes, and an Environment per
/// incarnation of a node with a clock of its own that drifts.
///
/// Everything runs on the thread that calls `Step` or `Run*`. Events of the same time run in the
/// order in which they were scheduled, so the same seed gives the same run.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "common/environment.h"

namespace millstair {

class VirtualEnvironment;

/// The event queue. Its time is the true time of the run, counted from zero; nodes see it through
/// their drifting clocks.
class VirtualScheduler {
 public:
  explicit VirtualScheduler(uint64_t seed) : random_(seed) {}
  VirtualScheduler(const VirtualScheduler&) = delete;
  VirtualScheduler& operator=(const VirtualScheduler&) = delete;

  /// True time since the start of the run.
  Duration Now() const { return now_; }
  /// Randomness of the run itself (network, faults); nodes have engines of their own.
  RandomEngine& Random() { return random_; }

  /// Runs `callback` once, `delay` of true time from now. Not bound to any node.
  TimerId Schedule(Duration delay, std::function<void()> callback);
  /// Takes a scheduled callback back; no effect once it ran.
  void Cancel(TimerId timer);

  /// Runs the next event; false if there is none.
  bool Step();
  /// Runs all events up to and including `time`, then sets the clock to it.
  void RunUntil(Duration time);
  /// Runs all events of the next `span`.
  void RunFor(Duration span) { RunUntil(now_ + span); }
  /// Runs until no event is left or `max_events` have run; the number that ran.
  uint64_t Run(uint64_t max_events);
  /// Runs until `condition` holds, tested after each event, at most for `span`; whether it held.
  bool RunUntilTrue(const std::function<bool()>& condition, Duration span);

  /// Drops all events, also those that the destruction of others schedules; for the end of a run.
  void Clear();

  /// Events that have run so far.
  uint64_t events_run() const { return events_run_; }
  /// Events still waiting.
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
    /// Events of the same time run in the order in which they were put into the heap.
    uint64_t order;
    /// Names the event.
    uint64_t sequence;
    friend bool operator>(const Due& a, const Due& b) {
      return a.time != b.time ? a.time > b.time : a.order > b.order;
    }
  };

  TimerId ScheduleFor(const VirtualEnvironment* owner, Duration delay,
                      std::function<void()> callback);
  void DropAllOf(const VirtualEnvironment* owner);
  /// Events of `owner` that came due while it was suspended are due now.
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

/// How a virtual node's clocks differ from true time.
struct VirtualClockOptions {
  /// Speed of the node's clock; 1.001 gains one millisecond a second.
  double rate = 1.0;
  /// What the monotonic clock shows at creation.
  Duration monotonic_start = std::chrono::hours(1);
  /// Error of the wall clock.
  Duration wall_error{0};
};

/// The Environment of one incarnation of a node. After `Kill` (or destruction) none of its
/// callbacks runs any more; a restarted node gets a new VirtualEnvironment.
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

  /// Drops all scheduled callbacks and accepts no new ones: the process is dead.
  void Kill();
  bool alive() const { return alive_; }
  /// Changes the speed of the clock from now on.
  void SetRate(double rate);
  /// While suspended no callback of the node runs, and its clocks go on; those that came due run as
  /// it wakes, in their order.
  void Suspend() { suspended_ = true; }
  void Wake();
  bool suspended() const { return suspended_; }
  /// Lets the wall clock jump.
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
