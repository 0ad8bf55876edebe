/// The replicated sums of usage: what gateways reported, by window, until the platform has taken
/// it.
///
/// Invariants. A report counts once, however often it is sent (its number is remembered for each
/// life of a gateway, in whatever order their clocks put these lives). The sum of a closed window
/// never changes, so that every holder of the duty sends the same. A window that was accepted is
/// never given out again.
///
/// Off the truth by at most what gateways that died had not had committed: a gateway reports
/// within half a second of a request, so that its loss costs the requests of that time.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "metering/usage_types.h"

namespace millstair {

struct UsageLimits {
  /// Windows kept that the platform has not taken: nearly three hours of 5 s. The oldest go first.
  size_t max_windows = 2000;
  /// Lives of gateways whose last report is remembered; the one that reported longest ago goes
  /// first. 400 gateways that start anew ten times a day.
  size_t max_incarnations = 4096;
};

/// Part of the replicated state: bounded, deterministic.
class UsageLedger {
 public:
  struct Reporter {
    NodeId gateway;
    Incarnation incarnation;
    friend auto operator<=>(const Reporter&, const Reporter&) = default;  // NOLINT
  };
  /// The last report of one life of a gateway that counted.
  struct LastReport {
    uint64_t sequence = 0;
    /// Grows with each report of any gateway.
    uint64_t order = 0;
    friend bool operator==(const LastReport&, const LastReport&) = default;
  };
  /// As a snapshot holds it.
  struct State {
    std::map<UsageWindow, TenantCounts> windows;
    std::map<Reporter, LastReport> reported;
    UsageWindow closed_through;
    uint64_t order = 0;
    uint64_t late_requests = 0;
    friend bool operator==(const State&, const State&) = default;
  };

  explicit UsageLedger(UsageLimits limits = {}) : limits_(limits) {}

  /// Counts a report, once. What it says of windows that are closed is dropped and counted as late.
  void Add(const UsageReport& report);
  /// Fixes the sums of all windows up to `through`, those without a request among them, from the
  /// first window on of which anything was reported.
  void Close(UsageWindow through);
  /// The platform has taken the sum of a closed window.
  void Accept(UsageWindow window);

  /// Windows that are open, and closed ones that the platform has not taken.
  const std::map<UsageWindow, TenantCounts>& windows() const { return state_.windows; }
  /// 0 before any window was closed.
  UsageWindow closed_through() const { return state_.closed_through; }
  /// The first window that is not closed; none before anything was reported.
  std::optional<UsageWindow> FirstOpen() const;
  /// The oldest closed window that the platform has not taken.
  std::optional<UsageWindow> OldestUnreported() const;
  /// Requests that were reported after their window was closed.
  uint64_t late_requests() const { return state_.late_requests; }

  const State& state() const { return state_; }
  void Restore(State state) { state_ = std::move(state); }

 private:
  /// Whether the report is a new one of its life; notes it.
  bool RecordReport(const UsageReport& report);
  void ForgetOldestIncarnation();

  UsageLimits limits_;
  State state_;
};

}  // namespace millstair
