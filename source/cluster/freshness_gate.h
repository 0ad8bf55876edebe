/// Holds back work that would go by a configuration which the node knows to be unproven, for as
/// long as a proof is likely to come.
///
/// A node that has no proof although it goes on asking is cut off, or the cluster has no majority:
/// what it holds is all that there is, and work goes by it at once. One that stood still (its
/// process was stopped, its machine was suspended or did not run it) or has just started has only
/// not asked. What changed meanwhile lies in its sockets beside the work, and which of them is read
/// first is chance; a proof takes some ten milliseconds.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "common/environment.h"
#include "common/scoped_timer.h"

namespace millstair {

struct FreshnessGateTiming {
  /// A heartbeat without an answer for this long was asked in vain.
  Duration reply_timeout{0};
  /// Heartbeats go out more often than this: a longer pause between two means that the node stood
  /// still.
  Duration max_heartbeat_interval{0};
};

/// Lives on the node's serial executor.
class FreshnessGate {
 public:
  /// `confirmed`: whether the configuration held is confirmed fresh. `send_heartbeat` sends a
  /// heartbeat now, which is told by OnHeartbeatSent.
  FreshnessGate(Environment& environment, FreshnessGateTiming timing,
                std::function<bool()> confirmed, std::function<void()> send_heartbeat);

  /// Runs `work` at once if the configuration is confirmed or no proof is to be had, else as soon
  /// as one of the two is so; in the order in which it came.
  void Submit(std::function<void()> work);
  /// A heartbeat was sent.
  void OnHeartbeatSent();
  /// The configuration is confirmed, and all who use it have heard what changed.
  void OnConfirmed();

 private:
  bool WasPaused() const;
  /// Whether an answer to what was asked may still come.
  bool ReplyMayArrive() const;
  void ArmTimer();
  void OnTimeout(TimePoint due);
  void Release();

  Environment& environment_;
  const FreshnessGateTiming timing_;
  const std::function<bool()> confirmed_;
  const std::function<void()> send_heartbeat_;
  std::optional<TimePoint> last_sent_;
  /// When the first heartbeat was sent since the last proof, or since the node last stood still.
  std::optional<TimePoint> unanswered_since_;
  std::vector<std::function<void()>> waiting_;
  TimePoint waiting_since_;
  ScopedTimer timer_;
};

}  // namespace millstair
