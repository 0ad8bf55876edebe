/// Delays work that would use an unconfirmed configuration, for as long as a confirmation is likely
/// to arrive.
///
/// A node that keeps sending heartbeats without a confirmation is isolated, or the cluster has no
/// majority: it uses the configuration it holds, at once. A node that was paused (its process was
/// stopped, its machine suspended) or has just started has merely not sent a heartbeat. Pending
/// configuration changes and work wait in its sockets in any order, and a confirmation takes only a
/// round trip, so work waits for it.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "common/environment.h"
#include "common/scoped_timer.h"

namespace millstair {

struct FreshnessGateTiming {
  /// Without a reply for this long, a heartbeat counts as unanswered.
  Duration reply_timeout{0};
  /// A longer gap between two heartbeats means that the node was paused.
  Duration max_heartbeat_interval{0};
};

/// Lives on the node's serial executor.
class FreshnessGate {
 public:
  /// `confirmed` returns whether the configuration held is confirmed. `send_heartbeat` sends a
  /// heartbeat now and calls OnHeartbeatSent.
  FreshnessGate(Environment& environment, FreshnessGateTiming timing,
                std::function<bool()> confirmed, std::function<void()> send_heartbeat);

  /// Runs `work` at once if the configuration is confirmed or no confirmation is likely to arrive,
  /// otherwise as soon as either holds. Keeps the order of submission.
  void Submit(std::function<void()> work);
  void OnHeartbeatSent();
  /// The configuration is confirmed, and all listeners have been notified of the changes.
  void OnConfirmed();

 private:
  bool WasPaused() const;
  /// Whether a reply to a sent heartbeat may still arrive.
  bool ReplyMayArrive() const;
  void ArmTimer();
  void OnTimeout(TimePoint due);
  void Release();

  Environment& environment_;
  const FreshnessGateTiming timing_;
  const std::function<bool()> confirmed_;
  const std::function<void()> send_heartbeat_;
  std::optional<TimePoint> last_sent_;
  /// When the first heartbeat was sent since the last confirmation, or since the node was last
  /// paused.
  std::optional<TimePoint> unanswered_since_;
  std::vector<std::function<void()>> waiting_;
  TimePoint waiting_since_;
  ScopedTimer timer_;
};

}  // namespace millstair
