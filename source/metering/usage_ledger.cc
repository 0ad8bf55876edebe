#include "metering/usage_ledger.h"

#include <algorithm>

namespace millstair {

void UsageLedger::Add(const UsageReport& report) {
  if (!RecordReport(report)) return;
  for (const UsageCount& count : report.counts) {
    if (count.window <= state_.closed_through) {
      state_.late_requests += count.requests;
      continue;
    }
    state_.windows[count.window][count.tenant] += count.requests;
  }
  while (state_.windows.size() > limits_.max_windows) state_.windows.erase(state_.windows.begin());
}

bool UsageLedger::RecordReport(const UsageReport& report) {
  // Incarnations are tracked separately: after a clock jump, a new one may seem older than the last
  // one and would otherwise count nothing.
  LastReport& last = state_.reported[{report.gateway, report.incarnation}];
  if (report.sequence <= last.sequence) return false;
  last = {report.sequence, ++state_.order};
  if (state_.reported.size() > limits_.max_incarnations) ForgetOldestIncarnation();
  return true;
}

void UsageLedger::ForgetOldestIncarnation() {
  const auto oldest = std::min_element(
      state_.reported.begin(), state_.reported.end(),
      [](const auto& a, const auto& b) { return a.second.order < b.second.order; });
  state_.reported.erase(oldest);
}

void UsageLedger::Close(UsageWindow through) {
  const auto first_open = FirstOpen();
  if (!first_open || through < *first_open) return;
  UsageWindow first = *first_open;
  // Windows without requests are reported as well; after a long outage of the whole cluster only
  // the latest ones are.
  const uint64_t max_windows = limits_.max_windows;
  if (through.value() - first.value() >= max_windows)
    first = UsageWindow(through.value() - max_windows + 1);
  for (UsageWindow window = first; window <= through; window = Next(window)) {
    state_.windows.try_emplace(window);
  }
  state_.closed_through = through;
  while (state_.windows.size() > limits_.max_windows) state_.windows.erase(state_.windows.begin());
}

std::optional<UsageWindow> UsageLedger::FirstOpen() const {
  if (state_.closed_through != UsageWindow()) return Next(state_.closed_through);
  if (state_.windows.empty()) return std::nullopt;
  return state_.windows.begin()->first;
}

void UsageLedger::Accept(UsageWindow window) {
  if (window <= state_.closed_through) state_.windows.erase(window);
}

std::optional<UsageWindow> UsageLedger::OldestUnreported() const {
  if (state_.windows.empty()) return std::nullopt;
  const UsageWindow oldest = state_.windows.begin()->first;
  return oldest <= state_.closed_through ? std::optional(oldest) : std::nullopt;
}

}  // namespace millstair
