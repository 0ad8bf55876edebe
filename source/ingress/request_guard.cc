#include "ingress/request_guard.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "common/event_log.h"

namespace millstair {
namespace {

/// Maximum number of requests with local observations, to bound memory; trusted ones, then those
/// with the fewest crashes, are dropped first.
constexpr size_t kMaxSeen = 256;
/// Maximum number of requests in one window of served requests, to bound memory; a new window
/// starts early when it is full.
constexpr size_t kMaxServed = 2048;
/// A request is not delayed for longer to learn whether its trial is granted. A grant that arrives
/// later is kept for the next attempt.
constexpr Duration kTrialWait = std::chrono::milliseconds(400);
/// Pause before a report that was not committed is repeated.
constexpr Duration kReportPause = std::chrono::seconds(1);

}  // namespace

RequestGuard::RequestGuard(Environment& environment, HttpCaller& http,
                           const BackendProtocol& protocol, HealthPath health_path,
                           StatsRegistry* stats)
    : environment_(environment),
      http_(http),
      protocol_(protocol),
      health_path_(std::move(health_path)),
      stats_(stats),
      digest_seed_(environment.Random()()),
      report_timer_(environment) {}

void RequestGuard::Update(const SuspectRequests& suspects) {
  if (suspects.empty() && known_.empty()) return;
  const auto forgotten = [&](const RequestFingerprint& request) {
    return !suspects.contains(request);
  };
  std::erase_if(known_, [&](const auto& entry) { return forgotten(entry.first); });
  std::erase_if(unused_trials_, forgotten);
  for (const auto& [request, record] : suspects) {
    const auto [known, added] = known_.try_emplace(request);
    if (!added && known->second.record == record) continue;
    if (record.crashed.size() > known->second.record.crashed.size()) {
      last_crash_at_ = environment_.Now();
      last_crash_revision_ = std::max(last_crash_revision_, record.changed_at);
    }
    known->second = {record, environment_.Now(), false};
    LogEvent(EventId::kSuspectKnown, "fingerprint={} place=\"{}\" crashes={} trials={} standing={}",
             request, record.place, record.crashed.size(), record.trials,
             SuspectStandingName(record.standing()));
    const auto seen = seen_.find(request);
    // Crashes in the cluster's record need no local copy.
    if (seen == seen_.end()) continue;
    for (const InstanceId& instance : record.crashed) seen->second.crashed.erase(instance);
    if (seen->second.crashed.empty() && seen->second.unverified.empty()) seen_.erase(seen);
  }
  DropOldSeen();
  RefreshIndexes();
}

void RequestGuard::OnRevision(Revision revision) {
  revision_ = revision;
  if (!seen_.empty()) DropCommitted();
}

void RequestGuard::DropCommitted() {
  const size_t before = seen_.size();
  for (auto entry = seen_.begin(); entry != seen_.end();) {
    Seen& seen = entry->second;
    if (seen.reported_at && *seen.reported_at <= revision_) {
      for (const InstanceId& instance : seen.reported) seen.crashed.erase(instance);
      seen.reported.clear();
      seen.reported_at.reset();
    }
    const bool nothing_left = seen.crashed.empty() && seen.unverified.empty();
    entry = nothing_left ? seen_.erase(entry) : std::next(entry);
  }
  if (seen_.size() != before) RefreshIndexes();
}

bool RequestGuard::MayBeSuspect(const std::string& place) const { return places_.contains(place); }

const RequestGuard::Seen* RequestGuard::FindSeen(const RequestFingerprint& request) const {
  const auto found = seen_.find(request);
  return found == seen_.end() ? nullptr : &found->second;
}

const RequestGuard::Known* RequestGuard::FindKnown(const RequestFingerprint& request) const {
  const auto found = known_.find(request);
  return found == known_.end() ? nullptr : &found->second;
}

size_t RequestGuard::CrashesOf(const Seen* seen, const Known* known) {
  std::set<InstanceId> crashed;
  if (seen != nullptr) crashed = seen->crashed;
  if (known != nullptr) crashed.insert(known->record.crashed.begin(), known->record.crashed.end());
  return crashed.size();
}

SeenCrashes RequestGuard::CrashesSeen(const RequestFingerprint& request) const {
  const Seen* seen = FindSeen(request);
  if (seen == nullptr) return {};
  return {seen->crashed.size() + seen->unverified.size(), seen->changed_at};
}

GuardDecision RequestGuard::Judge(const RequestFingerprint& request,
                                  const std::function<bool()>& has_spare_backends) const {
  const Seen* seen = FindSeen(request);
  const Known* known = FindKnown(request);
  GuardDecision decision;
  if (seen == nullptr && known == nullptr) return decision;
  const size_t crashes = CrashesOf(seen, known);
  decision.count = known == nullptr ? CrashCount{crashes, 0, 0} : known->record.CountWith(crashes);
  decision.standing = StandingOf(decision.count);
  const size_t unverified = seen == nullptr ? 0 : seen->unverified.size();
  if (decision.standing == SuspectStanding::kWatched) {
    const bool may_hold = unverified > 0 && crashes + unverified >= kCrashesToHold;
    decision.verdict = may_hold ? GuardVerdict::kWait : GuardVerdict::kSend;
    return decision;
  }
  if (unused_trials_.contains(request)) {
    decision.verdict = GuardVerdict::kTrial;
    return decision;
  }
  decision.verdict = GuardVerdict::kRefuse;
  if (decision.standing == SuspectStanding::kBarred) {
    decision.retry_after = kBarredRetryAfter;
    return decision;
  }
  TimePoint since = known == nullptr ? seen->changed_at : known->received_at;
  if (seen != nullptr) since = std::max(since, seen->changed_at);
  const Duration pause = kClientTrialPauses[decision.count.trials];
  decision.retry_after = TimeLeft(since, pause);
  if (WaitsForTrial(request, decision, unverified > 0, has_spare_backends)) {
    decision.verdict = GuardVerdict::kWait;
    return decision;
  }
  if (decision.retry_after > Duration(0)) return decision;
  // The cluster grants trials only of requests that its own record holds.
  const bool cluster_holds = known != nullptr && known->record.standing() == decision.standing;
  if (cluster_holds && register_ != nullptr) decision.verdict = GuardVerdict::kTrial;
  decision.retry_after = kClientTrialPauses.front();
  return decision;
}

bool RequestGuard::WaitsForTrial(const RequestFingerprint& request, GuardDecision& decision,
                                 bool unverified,
                                 const std::function<bool()>& has_spare_backends) const {
  if (has_spare_backends == nullptr || unverified || decision.count.in_trials > 0) return false;
  if (decision.count.trials == 0) {
    const Duration sooner = TimeLeft(last_crash_at_, kSpareTrialPause);
    if (sooner < decision.retry_after && has_spare_backends()) decision.retry_after = sooner;
    const bool soon = Duration(0) < decision.retry_after && decision.retry_after == sooner;
    return soon || asking_.contains(request);
  }
  // The first trial has just begun at some node.
  const Known* known = FindKnown(request);
  if (decision.count.trials > 1 || known == nullptr) return false;
  const Duration left = TimeLeft(known->received_at, kSpareTrialPause);
  if (left == Duration(0) || !has_spare_backends()) return false;
  decision.retry_after = left;
  return true;
}

Duration RequestGuard::TimeLeft(TimePoint since, Duration pause) const {
  return std::max(since + pause - environment_.Now(), Duration(0));
}

void RequestGuard::BeginTrial(const RequestFingerprint& request,
                              std::function<void(bool granted)> done) {
  const Known* known = FindKnown(request);
  if (known == nullptr || register_ == nullptr) return done(false);
  if (unused_trials_.erase(request) > 0) return done(true);
  asking_.insert(request);
  // Empty once the caller has its answer.
  const auto waiting = std::make_shared<std::function<void(bool)>>(std::move(done));
  const auto answer = [this, request, waiting](bool granted) {
    const auto caller = std::exchange(*waiting, nullptr);
    if (!caller) return;
    asking_.erase(request);
    caller(granted);
  };
  register_->BeginTrial(request, known->record.changed_at,
                        alive_.Guard([this, request, waiting, answer](bool granted) {
                          const bool late = *waiting == nullptr;
                          LogEvent(EventId::kTrialAsked, "fingerprint={} granted={} late={}",
                                   request, granted, late);
                          if (late && granted) return ReturnTrial(request);
                          answer(granted);
                        }));
  environment_.Schedule(kTrialWait, alive_.Guard([answer] { answer(false); }));
}

void RequestGuard::ReturnTrial(const RequestFingerprint& request) {
  if (FindKnown(request) == nullptr) return;
  unused_trials_.insert(request);
  LogEvent(EventId::kTrialReturned, "fingerprint={}", request);
}

void RequestGuard::OnLost(const GuardedRequest& request, const BackendInstance& instance) {
  Seen& seen = seen_[request.fingerprint];
  seen.place = request.place;
  seen.unverified.insert(instance.id);
  seen.trusted = request.trusted;
  if (request.on_trial) seen.on_trial.insert(instance.id);
  seen.changed_at = environment_.Now();
  places_.insert(request.place);
  const auto [check, added] = checks_.try_emplace(instance.id);
  check->second.requests.insert(request.fingerprint);
  if (!added) return;
  check->second.check = std::make_unique<LivenessCheck>(
      environment_, http_, protocol_, instance, health_path_(instance.service),
      [this, id = instance.id](LivenessVerdict verdict) { OnChecked(id, verdict); });
  check->second.check->Start();
}

void RequestGuard::OnChecked(const InstanceId& instance, LivenessVerdict verdict) {
  auto checked = checks_.extract(instance);
  LogEvent(EventId::kLifeChecked, "instance={} verdict={} requests={}", instance,
           LivenessVerdictName(verdict), checked.mapped().requests.size());
  std::vector<RequestFingerprint> reports;
  for (const RequestFingerprint& request : checked.mapped().requests) {
    const auto found = seen_.find(request);
    // The request was answered in the meantime.
    if (found == seen_.end() || found->second.unverified.erase(instance) == 0) continue;
    Seen& seen = found->second;
    const bool was_trial = seen.on_trial.erase(instance) > 0;
    // A silent back end may have crashed, so only one that responds gives the trial back.
    if (was_trial && verdict == LivenessVerdict::kAlive) ReturnTrial(request);
    if (verdict == LivenessVerdict::kEnded) {
      seen.crashed.insert(instance);
      seen.changed_at = environment_.Now();
      last_crash_at_ = environment_.Now();
      last_crash_revision_ = std::max(last_crash_revision_, revision_);
      LogEvent(EventId::kCrashNoted, "fingerprint={} place=\"{}\" instance={} crashes={}", request,
               seen.place, instance, CrashesOf(&seen, FindKnown(request)));
      if (stats_ != nullptr) {
        stats_
            ->NewCounter({"millstair_crashes_noted_total",
                          "Back ends that ended, once for each request that ran there."})
            .Add();
      }
      if (WantsReport(seen)) reports.push_back(request);
    }
    if (seen.crashed.empty() && seen.unverified.empty()) seen_.erase(found);
  }
  Report(reports);
  DropOldSeen();
  RefreshIndexes();
}

bool RequestGuard::WantsReport(const Seen& seen) const {
  if (seen.trusted) return false;
  return (seen.given_up || seen.crashed.size() >= kCrashesToHold) && seen.reported != seen.crashed;
}

void RequestGuard::Report(const std::vector<RequestFingerprint>& requests) {
  if (requests.empty() || register_ == nullptr) return;
  std::vector<CrashReport> reports;
  for (const RequestFingerprint& request : requests) {
    Seen& seen = seen_.at(request);
    seen.reported = seen.crashed;
    seen.reported_at.reset();
    reports.push_back({request, seen.place, {seen.crashed.begin(), seen.crashed.end()}});
  }
  register_->Report(std::move(reports),
                    alive_.Guard([this, requests](std::optional<Revision> committed_at) {
                      OnReported(requests, committed_at);
                    }));
}

void RequestGuard::OnReported(const std::vector<RequestFingerprint>& requests,
                              std::optional<Revision> at) {
  for (const RequestFingerprint& request : requests) {
    const auto found = seen_.find(request);
    if (found == seen_.end()) continue;
    found->second.reported_at = at;
    if (!at) found->second.reported.clear();
  }
  if (!at) return ReportSoon();
  // If the record was cleared before it reached this node, Update never sees it.
  DropCommitted();
}

void RequestGuard::ReportSoon() {
  report_timer_.Arm(kReportPause, [this] {
    std::vector<RequestFingerprint> waiting;
    for (const auto& [request, seen] : seen_) {
      if (WantsReport(seen)) waiting.push_back(request);
    }
    Report(waiting);
  });
}

void RequestGuard::OnServed(const RequestFingerprint& request) {
  if (seen_.erase(request) > 0) RefreshIndexes();
  const auto known = known_.find(request);
  if (known == known_.end() || known->second.clearing || register_ == nullptr) return;
  known->second.clearing = true;
  const size_t crashes = known->second.record.crashed.size();
  LogEvent(EventId::kSuspectServed, "fingerprint={} crashes={} trials={}", request, crashes,
           known->second.record.trials);
  register_->Clear(request, crashes, alive_.Guard([this, request](bool committed) {
    const auto found = known_.find(request);
    if (found != known_.end() && !committed) found->second.clearing = false;
  }));
}

void RequestGuard::RecordServed(uint64_t digest) {
  RotateServedIfDue();
  served_.insert(digest);
}

bool RequestGuard::ServedRecently(uint64_t digest) {
  RotateServedIfDue();
  return served_.contains(digest) || served_before_.contains(digest);
}

void RequestGuard::RotateServedIfDue() {
  const Duration passed = environment_.Now() - span_started_at_;
  if (passed < kServedSpan && served_.size() < kMaxServed) return;
  served_before_.clear();
  if (passed < 2 * kServedSpan) std::swap(served_, served_before_);
  served_.clear();
  span_started_at_ = environment_.Now();
}

void RequestGuard::OnGivenUp(const RequestFingerprint& request) {
  const auto found = seen_.find(request);
  if (found == seen_.end()) return;
  found->second.given_up = true;
  if (!found->second.crashed.empty() && WantsReport(found->second)) Report({request});
}

void RequestGuard::DropOldSeen() {
  const TimePoint now = environment_.Now();
  std::erase_if(seen_, [&](const auto& entry) {
    const Seen& seen = entry.second;
    const Duration retention =
        seen.crashed.size() >= kCrashesToHold ? kHeldRetention : kWatchedRetention;
    return seen.unverified.empty() && now - seen.changed_at > retention;
  });
  while (seen_.size() > kMaxSeen) {
    seen_.erase(std::min_element(seen_.begin(), seen_.end(), [](const auto& a, const auto& b) {
      return std::tuple(!a.second.trusted, a.second.crashed.size(), a.second.changed_at) <
             std::tuple(!b.second.trusted, b.second.crashed.size(), b.second.changed_at);
    }));
  }
}

void RequestGuard::RefreshIndexes() {
  places_.clear();
  ended_.clear();
  for (const auto& [request, seen] : seen_) {
    places_.insert(seen.place);
    ended_.insert(seen.crashed.begin(), seen.crashed.end());
  }
  for (const auto& [request, known] : known_) {
    places_.insert(known.record.place);
    ended_.insert(known.record.crashed.begin(), known.record.crashed.end());
  }
}

}  // namespace millstair
