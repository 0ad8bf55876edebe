/// Reads of a relay that wait until a remote replica has confirmed the configuration. Reads
/// requested within a short time share a heartbeat, and one heartbeat for reads is in progress at a
/// time.
#pragma once

#include <functional>
#include <vector>

#include "absl/status/status.h"
#include "common/environment.h"
#include "common/scoped_timer.h"

namespace millstair {

/// Lives on the node's serial executor.
class ConfirmedReads {
 public:
  using Callback = std::function<void(absl::Status)>;

  /// `send_heartbeat` sends a heartbeat now, to which OnConfirmed is the reply.
  ConfirmedReads(Environment& environment, std::function<void()> send_heartbeat);

  /// Calls `done` with OK once the configuration is confirmed as of a moment after this call, with
  /// Unavailable if that takes too long, or with Aborted by AbortAll.
  void Request(Callback done);
  /// The configuration is confirmed as of `sent_at`, and all listeners have been notified.
  void OnConfirmed(TimePoint sent_at);
  void AbortAll();
  size_t pending() const { return reads_.size(); }

 private:
  struct Read {
    TimePoint requested_at;
    Callback done;
  };

  void Send();
  /// The heartbeat in progress was answered or given up: sends one for the reads requested since.
  void Continue();
  void FailExpired();
  /// Removes and returns the reads that were requested up to `until`, in order.
  std::vector<Read> Take(TimePoint until);

  Environment& environment_;
  const std::function<void()> send_heartbeat_;
  /// In the order of requests.
  std::vector<Read> reads_;
  bool in_progress_ = false;
  ScopedTimer send_timer_;
  /// While a heartbeat is in progress.
  ScopedTimer timeout_timer_;
};

}  // namespace millstair
