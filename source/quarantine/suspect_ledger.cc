#include "quarantine/suspect_ledger.h"

#include <algorithm>
#include <tuple>

namespace millstair {
namespace {

Duration RetentionFor(SuspectStanding standing) {
  switch (standing) {
    case SuspectStanding::kWatched:
      return kWatchedRetention;
    case SuspectStanding::kHeld:
      return kHeldRetention;
    case SuspectStanding::kBarred:
      break;
  }
  return kBarredRetention;
}

}  // namespace

void SuspectLedger::Report(const CrashReport& report) {
  SuspectRequest& suspect = suspects_[report.request];
  suspect.request = report.request;
  suspect.place = report.place;
  bool added = false;
  for (const InstanceId& instance : report.crashed) {
    auto& crashed = suspect.crashed;
    const bool known = std::find(crashed.begin(), crashed.end(), instance) != crashed.end();
    if (known || crashed.size() >= kMaxRecordedCrashes) continue;
    crashed.push_back(instance);
    added = true;
  }
  if (added) Touch(suspect);
  if (suspect.crashed.empty()) suspects_.erase(report.request);
  BoundCount();
}

bool SuspectLedger::BeginTrial(const RequestFingerprint& request, Revision seen) {
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) return false;
  SuspectRequest& suspect = found->second;
  if (suspect.changed_at != seen || suspect.standing() != SuspectStanding::kHeld) return false;
  if (suspect.trials++ == 0) {
    suspect.crashes_before_trials = static_cast<uint32_t>(suspect.crashed.size());
  }
  Touch(suspect);
  return true;
}

void SuspectLedger::Clear(const RequestFingerprint& request, size_t crashes) {
  const auto found = suspects_.find(request);
  if (found == suspects_.end() || found->second.crashed.size() > crashes) return;
  Erase(found);
}

void SuspectLedger::Expire() {
  for (auto entry = suspects_.begin(); entry != suspects_.end();) {
    const auto next = std::next(entry);
    const SuspectRequest& suspect = entry->second;
    if (now_ - suspect.changed_time > RetentionFor(suspect.standing())) Erase(entry);
    entry = next;
  }
}

void SuspectLedger::Touch(SuspectRequest& suspect) {
  suspect.changed_at = revision_;
  suspect.changed_time = now_;
  touched_.insert(suspect.request);
}

void SuspectLedger::Erase(Entry entry) {
  touched_.insert(entry->first);
  suspects_.erase(entry);
}

void SuspectLedger::BoundCount() {
  while (suspects_.size() > kMaxSuspects) {
    Erase(std::min_element(suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
      return std::tuple(a.second.crashed.size(), a.second.changed_at) <
             std::tuple(b.second.crashed.size(), b.second.changed_at);
    }));
  }
}

}  // namespace millstair
