#include "runtime/runtime_environment.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <ctime>
#include <map>
#include <unordered_map>
#include <utility>

#include "common/event_log.h"
#include "runtime/processor_use.h"

namespace millstair {
namespace {

/// A timer that runs this much later than it is due is logged. Shorter than the time after which a
/// follower that hears nothing stands for election.
constexpr Duration kReportedLateness = std::chrono::milliseconds(300);
/// The use of processors is read at least this far apart, since it takes a file for each thread. A
/// late timer is logged with what was counted since the reading before.
constexpr Duration kUseInterval = std::chrono::seconds(5);

/// Includes the time for which the machine was suspended, unlike the steady clock, so that leases,
/// confirmations and other deadlines expire during a suspension.
TimePoint BootTimeNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) +
                                                        std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace

/// Pending timers in the order of their deadlines, and the one Asio timer that waits for the first.
/// Accessed on the executor only; the Asio handler posts to it.
class RuntimeEnvironment::TimerQueue : public std::enable_shared_from_this<TimerQueue> {
 public:
  TimerQueue(boost::asio::io_context& io, std::shared_ptr<SerialExecutor> executor,
             std::function<TimePoint()> clock)
      : executor_(std::move(executor)),
        clock_(std::move(clock)),
        timer_(io),
        use_(ReadProcessorUse()),
        use_read_at_(clock_()) {}

  TimePoint Now() const { return clock_(); }

  uint64_t Add(Duration delay, std::function<void()> callback) {
    const uint64_t id = ++last_id_;
    const Key key{Now() + std::max(delay, Duration(0)), id};
    callbacks_.emplace(key, std::move(callback));
    deadlines_.emplace(id, key.deadline);
    ArmForFirst();
    return id;
  }

  void Remove(uint64_t id) {
    const auto found = deadlines_.find(id);
    if (found == deadlines_.end()) return;
    // Keeps the callback until the queue is consistent again.
    const auto removed = callbacks_.extract(Key{found->second, id});
    deadlines_.erase(found);
  }

  void Close() {
    closed_ = true;
    timer_.cancel();
    const auto dropped = std::move(callbacks_);
    callbacks_.clear();
    deadlines_.clear();
  }

 private:
  struct Key {
    TimePoint deadline;
    uint64_t id = 0;
    friend auto operator<=>(const Key&, const Key&) = default;  // NOLINT
  };

  void ArmForFirst() {
    if (callbacks_.empty()) return;
    const TimePoint first = callbacks_.begin()->first.deadline;
    if (armed_ && armed_for_ <= first) return;
    armed_ = true;
    armed_for_ = first;
    // Waits on the steady clock, which does not advance while the machine is suspended. The first
    // timer that expires after a suspension, at the latest the next heartbeat, also runs all others
    // due.
    timer_.expires_after(first - Now());
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (error) return;
      self->executor_->Post([self] { self->RunDue(); });
    });
  }

  void ReportIfLate(TimePoint now) {
    if (callbacks_.empty()) return;
    const Duration late = now - callbacks_.begin()->first.deadline;
    const bool reports = late >= kReportedLateness;
    if (!reports && now - use_read_at_ < kUseInterval) return;
    const ProcessorUse use = ReadProcessorUse();
    if (reports) {
      LogEvent(EventId::kTimerLate, "late_ms={} since_ms={} {}", ToMilliseconds(late),
               ToMilliseconds(now - use_read_at_), ToString(use - use_));
    }
    use_ = use;
    use_read_at_ = now;
  }

  void RunDue() {
    if (closed_) return;
    armed_ = false;
    const TimePoint now = Now();
    ReportIfLate(now);
    while (!closed_ && !callbacks_.empty() && callbacks_.begin()->first.deadline <= now) {
      auto due = callbacks_.extract(callbacks_.begin());
      deadlines_.erase(due.key().id);
      due.mapped()();
    }
    if (!closed_) ArmForFirst();
  }

  std::shared_ptr<SerialExecutor> executor_;
  const std::function<TimePoint()> clock_;
  boost::asio::steady_timer timer_;
  std::map<Key, std::function<void()>> callbacks_;
  std::unordered_map<uint64_t, TimePoint> deadlines_;
  uint64_t last_id_ = 0;
  bool armed_ = false;
  bool closed_ = false;
  TimePoint armed_for_;
  /// The latest reading, and its time.
  ProcessorUse use_;
  TimePoint use_read_at_;
};

RuntimeEnvironment::RuntimeEnvironment(Runtime& runtime, std::shared_ptr<SerialExecutor> executor)
    : RuntimeEnvironment(
          runtime, std::move(executor),
          (static_cast<uint64_t>(std::random_device()()) << 32) ^ std::random_device()()) {}

RuntimeEnvironment::RuntimeEnvironment(Runtime& runtime, std::shared_ptr<SerialExecutor> executor,
                                       uint64_t seed)
    : RuntimeEnvironment(runtime, std::move(executor), seed, BootTimeNow) {}

RuntimeEnvironment::RuntimeEnvironment(Runtime& runtime, std::shared_ptr<SerialExecutor> executor,
                                       uint64_t seed, std::function<TimePoint()> clock)
    : random_(seed),
      timers_(std::make_shared<TimerQueue>(runtime.io(), std::move(executor), std::move(clock))) {}

RuntimeEnvironment::~RuntimeEnvironment() { timers_->Close(); }

TimePoint RuntimeEnvironment::Now() const { return timers_->Now(); }

WallTime RuntimeEnvironment::WallNow() const {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

TimerId RuntimeEnvironment::Schedule(Duration delay, std::function<void()> callback) {
  return TimerId(timers_->Add(delay, std::move(callback)));
}

void RuntimeEnvironment::Cancel(TimerId timer) { timers_->Remove(timer.value()); }

}  // namespace millstair
