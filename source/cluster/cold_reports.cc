#include "cluster/cold_reports.h"

namespace millstair {
namespace {

/// Covers varying delays of reports. The end of a new cold period is later by more than this.
constexpr Duration kTolerance = std::chrono::milliseconds(500);
/// From this number of entries on, expired ones are removed.
constexpr size_t kMaxEntriesBeforeCleanup = 1024;

}  // namespace

bool ColdReports::NeedsCommit(const InstanceId& instance, Duration cold_left, TimePoint now) {
  if (cold_left <= Duration(0)) return false;
  if (cold_until_.size() >= kMaxEntriesBeforeCleanup) ForgetExpired(now);
  const auto [known, first] = cold_until_.try_emplace(instance, now + cold_left);
  if (!first && now + cold_left <= known->second + kTolerance) return false;
  known->second = now + cold_left;
  return true;
}

void ColdReports::ForgetExpired(TimePoint now) {
  std::erase_if(cold_until_, [now](const auto& entry) { return entry.second < now; });
}

}  // namespace millstair
