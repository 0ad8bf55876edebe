/// The part of JobScheduler that delays items under which engines crashed. Items are sound: a crash
/// interrupts every run at the engine, whatever caused it. So an item is never withheld for good,
/// and the crashes under it are not reported to the cluster's record of suspect requests. But one
/// content must not take down all engines within their restart time either.

#include <algorithm>
#include <array>

#include "common/event_log.h"
#include "ingress/request_guard.h"
#include "jobs/job_scheduler.h"
#include "quarantine/request_fingerprint.h"

namespace millstair {
namespace {

/// Pause after the last crash under an item's content, by the number of crashes since an engine
/// completed it or got further with it; the last entry holds for all higher numbers. The fourth run
/// begins after the engines of the first two have restarted (3 s), so that at most three are down
/// under one content. No pause is longer than an item may be kept from idle engines (5 s).
constexpr std::array<Duration, 5> kCrashPauses = {Duration(0), Duration(0),
                                                  std::chrono::milliseconds(500),
                                                  std::chrono::seconds(3), std::chrono::seconds(4)};
/// How often a delayed item is checked again: another item of the same content may get further,
/// which ends the pause of both.
constexpr Duration kRecheckInterval = std::chrono::milliseconds(250);
/// Keeps the fingerprints of items apart from those of clients' requests.
constexpr char kItemMethod[] = "ITEM";

Duration CrashPause(size_t crashes) {
  return kCrashPauses[std::min(crashes, kCrashPauses.size() - 1)];
}

}  // namespace

const RequestFingerprint& JobScheduler::FingerprintOf(Work& work, const JobRecord& record) {
  if (!work.fingerprint) {
    const JobItem& item = record.spec.items[work.index];
    work.fingerprint = millstair::FingerprintOf(
        {kItemMethod, record.spec.host, item.path, record.spec.tenant, item.body});
  }
  return *work.fingerprint;
}

bool JobScheduler::MaySend(Work& work, const JobRecord& record) {
  const RequestGuard& guard = ingress_.guard();
  if (guard.idle()) return true;
  const std::string& item = record.spec.items[work.index].path;
  if (!guard.MayBeSuspect(PlaceOf(record.spec.host, item))) return true;
  const SeenCrashes seen = guard.CrashesSeen(FingerprintOf(work, record));
  const TimePoint now = environment_.Now();
  const TimePoint due = seen.last_at + CrashPause(seen.crashes);
  if (seen.crashes == 0 || now >= due) return true;
  work.not_before = std::min(due, now + kRecheckInterval);
  ++work.history.withheld;
  LogEvent(EventId::kRequestWithheld, "job={} item={} fingerprint={} crashes={} left_ms={}",
           work.job, record.spec.items[work.index].id, *work.fingerprint, seen.crashes,
           std::chrono::duration_cast<std::chrono::milliseconds>(due - now).count());
  return false;
}

void JobScheduler::ReportRunEnd(Work& work, const JobRecord& record, const BackendInstance& engine,
                                ItemRunEnd end) {
  RequestGuard& guard = ingress_.guard();
  const uint64_t events = work.progress.events;
  const bool further = work.lost_after_events && events > *work.lost_after_events;
  const bool complete = end == ItemRunEnd::kComplete;
  const std::string place = PlaceOf(record.spec.host, record.spec.items[work.index].path);
  if ((further || complete) && guard.MayBeSuspect(place)) {
    guard.OnServed(FingerprintOf(work, record));
  }
  if (end != ItemRunEnd::kBroken) return;
  work.lost_after_events = events;
  guard.OnLost({.fingerprint = FingerprintOf(work, record), .place = place, .trusted = true},
               engine);
}

}  // namespace millstair
