/// Replicated sums of usage reported by gateways, by window, until the platform has accepted them.
///
/// Invariants: A report counts once, however often it is sent; its number is stored per incarnation
/// of a gateway, regardless of how clocks order the incarnations. The sum of a closed window never
/// changes, so every lease holder sends the same sum. An accepted window is never returned again.
///
/// The error is bounded by the uncommitted counts of gateways that crashed: a gateway reports
/// within half a second of a request.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "metering/usage_types.h"

namespace millstair {

struct UsageLimits {
  /// Maximum number of windows that the platform has not accepted: nearly three hours of 5 s. The
  /// oldest are removed first.
  size_t max_windows = 2000;
  /// Maximum number of gateway incarnations whose last report is stored; the one that reported
  /// longest ago is removed first. Enough for 400 gateways that restart ten times a day.
  size_t max_incarnations = 4096;
};

/// Part of the replicated state: deterministic, with bounded memory.
class UsageLedger {
 public:
  struct Reporter {
    NodeId gateway;
    Incarnation incarnation;
    friend auto operator<=>(const Reporter&, const Reporter&) = default;  // NOLINT
  };
  /// The last counted report of one gateway incarnation.
  struct LastReport {
    uint64_t sequence = 0;
    /// Increases with each report of any gateway.
    uint64_t order = 0;
    friend bool operator==(const LastReport&, const LastReport&) = default;
  };
  /// State as stored in snapshots.
  struct State {
    std::map<UsageWindow, TenantCounts> windows;
    std::map<Reporter, LastReport> reported;
    UsageWindow closed_through;
    uint64_t order = 0;
    uint64_t late_requests = 0;
    friend bool operator==(const State&, const State&) = default;
  };

  explicit UsageLedger(UsageLimits limits = {}) : limits_(limits) {}

  /// Adds a report, once. Counts of closed windows are dropped and added to late_requests.
  void Add(const UsageReport& report);
  /// Closes all windows up to `through`, including those without requests, starting at the first
  /// window with a report.
  void Close(UsageWindow through);
  /// The platform has accepted the sum of a closed window.
  void Accept(UsageWindow window);

  /// Open windows, and closed ones that the platform has not accepted.
  const std::map<UsageWindow, TenantCounts>& windows() const { return state_.windows; }
  /// 0 if no window was closed yet.
  UsageWindow closed_through() const { return state_.closed_through; }
  /// The first open window; nullopt before the first report.
  std::optional<UsageWindow> FirstOpen() const;
  /// The oldest closed window that the platform has not accepted.
  std::optional<UsageWindow> OldestUnreported() const;
  /// Requests that were reported after their window had been closed.
  uint64_t late_requests() const { return state_.late_requests; }

  const State& state() const { return state_; }
  void Restore(State state) { state_ = std::move(state); }

 private:
  /// Whether the report is new for its incarnation; records it.
  bool RecordReport(const UsageReport& report);
  void ForgetOldestIncarnation();

  UsageLimits limits_;
  State state_;
};

}  // namespace millstair
