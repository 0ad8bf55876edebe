#include "ingress/backend_directory.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "common/event_log.h"
#include "common/random.h"

namespace millstair {
namespace {

/// Candidates compared in one pick; with more, all nodes would pick the same one.
constexpr size_t kCandidates = 4;
/// Bounds the work of one pick in a large service. With six slots each, this many back ends run
/// about 140 requests of one node at a time.
constexpr size_t kMaxHealthyCandidates = 24;
constexpr double kSmoothing = 0.2;
/// Assumed until the first response.
constexpr double kDefaultAnswerSeconds = 0.05;
/// Cost factor of a back end in another zone.
constexpr double kOtherZoneFactor = 1.15;
constexpr Duration kFullPause = std::chrono::milliseconds(30);
/// Covers two heartbeats, sent every 1 to 2 s, and their propagation to this node, after which a
/// cold back end is known to be cold.
constexpr Duration kAssumedColdPeriod = std::chrono::seconds(4);
/// Silent requests in a row that eject a back end.
constexpr uint32_t kSilencesToEject = 2;
/// A request that waited for this multiple of the silence threshold (at least six times the usual
/// latency and three times the target) ejects its back end alone. A route without hedges loses a
/// request with each silence.
constexpr int kStrongSilenceFactor = 3;
/// A connection that is refused fails within a round trip; one that fails later has timed out.
constexpr Duration kMinConnectTimeout = std::chrono::milliseconds(200);
/// How often the directory checks for a pause of this node while requests are in progress.
constexpr Duration kPauseCheckInterval = std::chrono::milliseconds(50);
/// A timer that is later than this shows that this node was paused; a busy node is less late.
constexpr Duration kMaxTimerDelay = std::chrono::milliseconds(100);
/// Under overload, each gateway gets a response from each back end at least this often.
constexpr Duration kOverloadPeriod = std::chrono::seconds(1);
/// A gateway may see only one request in four seconds, so this outlasts two of them.
constexpr Duration kDoubtPeriod = std::chrono::seconds(10);
/// Cost factor of a doubted back end. An attempt that is hedged after silence takes the target plus
/// the usual latency, which is more than this multiple of the usual latency on fast routes.
constexpr double kDoubtFactor = 4;
constexpr uint32_t kNoColdBound = std::numeric_limits<uint32_t>::max();

}  // namespace

BackendDirectory::BackendDirectory(Environment& environment, Zone own_zone, StatsRegistry* stats)
    : environment_(environment),
      own_zone_(std::move(own_zone)),
      preference_seed_(environment.Random()()),
      pause_check_(environment),
      silent_backends_(stats == nullptr
                           ? nullptr
                           : &stats->NewGauge({"millstair_backends_silent",
                                               "Back ends that were ejected as silent and have not "
                                               "responded since."})),
      silent_attempts_(stats == nullptr ? nullptr
                                        : &stats->NewCounter(
                                              {"millstair_backend_silences_total",
                                               "Attempts at back ends that counted as silence."})) {
}

void BackendDirectory::Update(const Configuration& configuration) {
  std::vector<InstanceId> deleted;
  for (const auto& [id, backend] : backends_) {
    if (!configuration.instances.contains(id)) deleted.push_back(id);
  }
  for (const InstanceId& id : deleted) Forget(id);
  for (const auto& [id, record] : configuration.instances) ApplyRecord(record);
  ApplyEvacuations(configuration.evacuated_zones);
}

void BackendDirectory::Apply(const Configuration& configuration,
                             const ConfigurationDelta& changes) {
  for (const InstanceId& id : changes.deleted_instances) Forget(id);
  for (const BackendInstance& record : changes.changed_instances) ApplyRecord(record);
  const bool evacuations =
      !changes.changed_evacuations.empty() || !changes.ended_evacuations.empty();
  if (evacuations) ApplyEvacuations(configuration.evacuated_zones);
}

void BackendDirectory::ApplyEvacuations(const std::map<Zone, EvacuatedZone>& evacuated) {
  std::set<Zone> changed;
  for (const auto& [zone, order] : evacuated) {
    if (!evacuated_.insert(zone).second) continue;
    LogEvent(EventId::kZoneEvacuated, "zone={} since={}", zone, order.since);
    changed.insert(zone);
  }
  std::erase_if(evacuated_, [&](const Zone& zone) {
    if (evacuated.contains(zone)) return false;
    LogEvent(EventId::kZoneEvacuationEnded, "zone={}", zone);
    changed.insert(zone);
    return true;
  });
  for (const Zone& zone : changed) RefreshZoneCandidates(zone);
}

void BackendDirectory::RefreshZoneCandidates(const Zone& zone) {
  const bool returns = !evacuated_.contains(zone);
  std::set<std::string> addresses;
  for (auto& [id, backend] : backends_) {
    if (backend.record.zone != zone || !backend.attached) continue;
    if (returns) AssumeCold(backend);
    addresses.insert(backend.record.address);
  }
  for (const std::string& address : addresses) RefreshCandidates(address);
}

void BackendDirectory::SetColdPolicy(ColdPolicy policy) {
  if (policy == cold_) return;
  cold_ = std::move(policy);
  // The rate changed. New buckets start full, so they are replaced only if the policy changed.
  for (auto& [id, backend] : backends_) backend.cold_tokens.reset();
}

void BackendDirectory::AssumeCold(Backend& backend) {
  backend.cold_until = std::max(backend.cold_until, environment_.Now() + kAssumedColdPeriod);
}

uint32_t BackendDirectory::ColdAllowance(const InstanceId& instance) {
  const auto found = backends_.find(instance);
  return found == backends_.end() ? 0 : ColdAllowance(found->second);
}

uint32_t BackendDirectory::ColdAllowance(Backend& backend) {
  const TimePoint now = environment_.Now();
  if (now >= backend.cold_until) {
    backend.cold_tokens.reset();
    return kNoColdBound;
  }
  const auto rate = cold_.service_rates.find(backend.record.service);
  if (rate == cold_.service_rates.end()) return kNoColdBound;
  if (!cold_assignment_check_(backend.record.id)) return 0;
  if (!backend.cold_tokens) {
    const ColdShare share = ColdShareOf(rate->second, cold_.bound);
    backend.cold_tokens.emplace(share.per_second, share.burst, now);
  }
  return backend.cold_tokens->Available(now);
}

void BackendDirectory::ApplyRecord(const BackendInstance& record) {
  const bool gone = record.state == MemberState::kGone;
  if (gone && !backends_.contains(record.id)) return;
  Backend& backend = backends_[record.id];
  if (backend.record == record && !backend.forgotten) return;
  Detach(backend);
  const bool cold_news = record.cold_left > Duration(0) && record.cold_at != backend.record.cold_at;
  if (cold_news) backend.cold_until = environment_.Now() + record.cold_left;
  backend.record = record;
  backend.forgotten = false;
  if (gone) EndSilence(backend);
  if (!gone && !backend.superseded) Attach(backend);
}

void BackendDirectory::Forget(const InstanceId& instance) {
  const auto found = backends_.find(instance);
  if (found == backends_.end()) return;
  Detach(found->second);
  EndSilence(found->second);
  found->second.forgotten = true;
  EraseIfIdle(instance);
}

void BackendDirectory::EraseIfIdle(const InstanceId& instance) {
  const auto found = backends_.find(instance);
  if (found->second.forgotten && found->second.running == 0) backends_.erase(found);
}

void BackendDirectory::Detach(Backend& backend) {
  RemoveCandidate(backend);
  if (!std::exchange(backend.attached, false)) return;
  const auto found = at_address_.find(backend.record.address);
  std::erase(found->second, &backend);
  if (found->second.empty()) {
    at_address_.erase(found);
  } else {
    RefreshCandidates(backend.record.address);
  }
}

void BackendDirectory::Attach(Backend& backend) {
  backend.attached = true;
  at_address_[backend.record.address].push_back(&backend);
  RefreshCandidates(backend.record.address);
}

void BackendDirectory::RefreshCandidates(const std::string& address) {
  const std::vector<Backend*>& all = at_address_.at(address);
  const auto newest =
      std::max_element(all.begin(), all.end(), [](const Backend* a, const Backend* b) {
        return std::pair(a->record.registered_at, b->record.id) <
               std::pair(b->record.registered_at, a->record.id);
      });
  for (Backend* backend : all) {
    if (backend == *newest && MayGetWork(*backend)) {
      AddCandidate(*backend);
    } else {
      RemoveCandidate(*backend);
    }
  }
}

void BackendDirectory::AddCandidate(Backend& backend) {
  if (backend.candidate_for == backend.record.service) return;
  RemoveCandidate(backend);
  backend.candidate_for = backend.record.service;
  backend.preference = PreferenceOf(backend.record);
  ServiceBackends& listed = services_[backend.record.service];
  const auto by_id = [](const Backend* a, const Backend* b) { return a->record.id < b->record.id; };
  listed.by_id.insert(std::lower_bound(listed.by_id.begin(), listed.by_id.end(), &backend, by_id),
                      &backend);
  const auto preferred = [](const Backend* a, const Backend* b) {
    return a->preference < b->preference;
  };
  listed.by_preference.insert(std::lower_bound(listed.by_preference.begin(),
                                               listed.by_preference.end(), &backend, preferred),
                              &backend);
}

uint64_t BackendDirectory::PreferenceOf(const BackendInstance& record) const {
  const std::string& id = record.id.value();
  const uint64_t hash = XXH3_64bits_withSeed(id.data(), id.size(), preference_seed_);
  constexpr uint64_t kOtherZone = uint64_t{1} << 63;
  return record.zone == own_zone_ ? hash & ~kOtherZone : hash | kOtherZone;
}

void BackendDirectory::RemoveCandidate(Backend& backend) {
  if (!backend.candidate_for) return;
  const auto found = services_.find(*backend.candidate_for);
  std::erase(found->second.by_id, &backend);
  std::erase(found->second.by_preference, &backend);
  if (found->second.by_id.empty()) services_.erase(found);
  backend.candidate_for.reset();
}

bool BackendDirectory::MayGetWork(const Backend& backend) const {
  return backend.record.state == MemberState::kLive && !backend.superseded &&
         !evacuated_.contains(backend.record.zone);
}

double BackendDirectory::Cost(const Backend& backend) const {
  const double seconds =
      backend.answer_seconds > 0 ? backend.answer_seconds : kDefaultAnswerSeconds;
  const double slots = std::max(1U, backend.record.slots);
  const TimePoint now = environment_.Now();
  double cost = seconds * (1 + backend.running / slots);
  if (now < backend.doubted_until) cost *= kDoubtFactor;
  if (backend.record.zone == own_zone_) return cost;
  if (now < other_zones_doubted_until_) cost *= kDoubtFactor;
  return cost * kOtherZoneFactor;
}

std::optional<BackendInstance> BackendDirectory::Pick(const ServiceName& service,
                                                      const std::set<InstanceId>& excluded) {
  std::vector<BackendCandidate> candidates = Candidates(service, excluded);
  if (candidates.empty()) return std::nullopt;
  return CheapestOf(std::move(candidates));
}

std::vector<BackendCandidate> BackendDirectory::Candidates(const ServiceName& service,
                                                           const std::set<InstanceId>& excluded) {
  std::vector<BackendCandidate> healthy;
  const auto found = services_.find(service);
  if (found == services_.end()) return healthy;
  const TimePoint now = environment_.Now();
  std::vector<BackendCandidate> full;
  Backend* least_recently_ejected = nullptr;
  for (Backend* backend : found->second.by_preference) {
    if (healthy.size() >= kMaxHealthyCandidates) break;
    if (excluded.contains(backend->record.id) || ColdAllowance(*backend) == 0) continue;
    if (backend->ejection.Ejected(now) || IsProbed(*backend)) {
      const bool earlier = least_recently_ejected == nullptr ||
                           backend->ejection.latest() < least_recently_ejected->ejection.latest();
      if (earlier) least_recently_ejected = backend;
      continue;
    }
    (now < backend->full_until ? full : healthy).push_back({&backend->record, Cost(*backend)});
  }
  if (!healthy.empty()) return healthy;
  if (!full.empty() || least_recently_ejected == nullptr) return full;
  return {{&least_recently_ejected->record, Cost(*least_recently_ejected)}};
}

const BackendInstance& BackendDirectory::CheapestOf(std::vector<BackendCandidate> candidates) {
  const size_t compared = std::min(kCandidates, candidates.size());
  for (size_t i = 0; i < compared; ++i) {
    const size_t other = i + DrawBelow(environment_.Random(), candidates.size() - i);
    std::swap(candidates[i], candidates[other]);
  }
  candidates.resize(compared);
  return *std::min_element(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
            return a.cost < b.cost;
          })->record;
}

std::vector<const BackendInstance*> BackendDirectory::Live(const ServiceName& service) const {
  std::vector<const BackendInstance*> live;
  const auto found = services_.find(service);
  if (found == services_.end()) return live;
  live.reserve(found->second.by_id.size());
  for (const Backend* backend : found->second.by_id) live.push_back(&backend->record);
  return live;
}

bool BackendDirectory::HasHealthy(
    const ServiceName& service, size_t count,
    const std::function<bool(const BackendInstance&)>& excluded) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return count == 0;
  const TimePoint now = environment_.Now();
  size_t healthy = 0;
  for (const Backend* backend : found->second.by_id) {
    if (healthy >= count) break;
    if (!excluded(backend->record) && !backend->ejection.Ejected(now)) ++healthy;
  }
  return healthy >= count;
}

const BackendInstance* BackendDirectory::FindLive(const InstanceId& instance) const {
  const auto found = backends_.find(instance);
  if (found == backends_.end() || !MayGetWork(found->second)) return nullptr;
  return &found->second.record;
}

bool BackendDirectory::Ejected(const InstanceId& instance) const {
  const auto found = backends_.find(instance);
  return found != backends_.end() && found->second.ejection.Ejected(environment_.Now());
}

void BackendDirectory::Begin(const InstanceId& instance) {
  const auto found = backends_.find(instance);
  if (found == backends_.end()) return;
  Backend& backend = found->second;
  const TimePoint now = environment_.Now();
  ++backend.running;
  if (running_++ == 0) StartPauseChecks();
  backend.latest_begin = now;
  if (backend.unproven && !backend.probe_sent_at) backend.probe_sent_at = now;
  if (backend.cold_tokens) backend.cold_tokens->Take(now);
}

void BackendDirectory::End(const InstanceId& instance, BackendEnd end, Duration elapsed) {
  const auto found = backends_.find(instance);
  if (found == backends_.end()) return;
  Backend& backend = found->second;
  EndRunning(backend);
  RecordProbeEnd(backend, environment_.Now() - elapsed);
  RecordEnd(backend, end, elapsed);
  EraseIfIdle(instance);
}

void BackendDirectory::EndRunning(Backend& backend) {
  if (backend.running == 0) return;
  --backend.running;
  --running_;
}

void BackendDirectory::StartPauseChecks() {
  if (pause_check_.armed()) return;
  pause_checked_at_ = environment_.Now();
  ArmPauseCheck();
}

void BackendDirectory::ArmPauseCheck() {
  pause_check_.Arm(kPauseCheckInterval, [this] {
    CheckForPause();
    if (running_ > 0) ArmPauseCheck();
  });
}

void BackendDirectory::CheckForPause() {
  const TimePoint now = environment_.Now();
  // The latest check is older than the interval only if the timer is late.
  if (now - pause_checked_at_ > kPauseCheckInterval + kMaxTimerDelay) paused_until_ = now;
  pause_checked_at_ = now;
}

bool BackendDirectory::PausedSince(TimePoint at) {
  CheckForPause();
  return at < paused_until_;
}

void BackendDirectory::RecordProbeEnd(Backend& backend, TimePoint sent_at) {
  // An earlier request that ends is not the probe.
  const bool ended = backend.running == 0 || sent_at >= backend.probe_sent_at;
  if (ended) backend.probe_sent_at.reset();
}

void BackendDirectory::OnResponse(const InstanceId& instance) {
  const auto found = backends_.find(instance);
  if (found != backends_.end()) RecordResponse(found->second);
}

void BackendDirectory::OnUnanswered(const InstanceId& instance, TimePoint sent_at,
                                    Duration target) {
  const auto found = backends_.find(instance);
  if (found == backends_.end()) return;
  // A back end that was silent is hedged before the target. Such a short wait renews the doubt, but
  // is not counted towards an ejection.
  const Duration due = MayBeSilent(found->second) ? Duration(0) : target;
  // A back end that responded shortly before is more likely overloaded than out of reach; if all
  // gateways avoided it for a while, they would overload the others.
  if (found->second.silence.RespondedSince(sent_at - kOverloadPeriod)) return;
  if (IsSilent(found->second, sent_at, due)) Doubt(found->second, sent_at);
}

Duration BackendDirectory::HedgeDelay(const InstanceId& instance, Duration delay) const {
  const auto found = backends_.find(instance);
  if (found == backends_.end() || !MayBeSilent(found->second)) return delay;
  const auto overdue = SilenceThreshold(found->second.answer_seconds, Duration(0));
  return std::min(delay, overdue.value_or(delay));
}

void BackendDirectory::EndUnanswered(const InstanceId& instance, TimePoint sent_at,
                                     Duration target) {
  const auto found = backends_.find(instance);
  if (found == backends_.end()) return;
  Backend& backend = found->second;
  EndRunning(backend);
  RecordProbeEnd(backend, sent_at);
  if (IsSilent(backend, sent_at, target)) {
    const Duration threshold = *SilenceThreshold(backend.answer_seconds, target);
    const Duration elapsed = environment_.Now() - sent_at;
    RecordSilence(backend, sent_at, elapsed >= kStrongSilenceFactor * threshold);
  }
  EraseIfIdle(instance);
}

void BackendDirectory::RecordEnd(Backend& backend, BackendEnd end, Duration elapsed) {
  const TimePoint now = environment_.Now();
  switch (end) {
    case BackendEnd::kAnswered: {
      RecordResponse(backend);
      backend.ejection.RecordSuccess();
      const double seconds = ToSeconds(elapsed);
      const double previous = backend.answer_seconds > 0 ? backend.answer_seconds : seconds;
      backend.answer_seconds = previous + kSmoothing * (seconds - previous);
      return;
    }
    case BackendEnd::kRefused:
      RecordResponse(backend);
      backend.full_until = now + kFullPause;
      return;
    case BackendEnd::kFailed:
      return RecordFailure(backend, false);
    case BackendEnd::kUnreachable:
      return RecordUnreachable(backend, elapsed);
    case BackendEnd::kWrongInstance:
      return MarkSuperseded(backend);
    case BackendEnd::kCancelled:
      return;
  }
}

void BackendDirectory::RecordResponse(Backend& backend) {
  const TimePoint now = environment_.Now();
  backend.silence.RecordResponse(now);
  backend.unproven = false;
  backend.probe_sent_at.reset();
  backend.doubted_until = TimePoint();
  if (backend.record.zone != own_zone_) {
    other_zones_responded_at_ = now;
    other_zones_doubted_until_ = TimePoint();
  }
  const auto silent = silent_.find(backend.record.id);
  if (silent == silent_.end()) return;
  backend.ejection.Readmit();
  LogEvent(EventId::kBackendResponsive, "instance={} service={} zone={} silent_ms={}",
           backend.record.id, backend.record.service, backend.record.zone,
           ToMilliseconds(now - silent->second));
  EndSilence(backend);
}

void BackendDirectory::RecordFailure(Backend& backend, bool unreachable) {
  const TimePoint now = environment_.Now();
  backend.ejection.RecordFailure(now, unreachable);
  if (backend.ejection.Ejected(now)) backend.unproven = true;
}

void BackendDirectory::RecordUnreachable(Backend& backend, Duration elapsed) {
  AssumeCold(backend);
  const TimePoint sent_at = environment_.Now() - elapsed;
  const bool silent = elapsed >= kMinConnectTimeout && backend.attached &&
                      !backend.silence.RespondedSince(sent_at) && !PausedSince(sent_at);
  if (silent) return RecordSilence(backend, sent_at, true);
  RecordFailure(backend, true);
}

bool BackendDirectory::IsSilent(const Backend& backend, TimePoint sent_at, Duration target) {
  const auto threshold = SilenceThreshold(backend.answer_seconds, target);
  return threshold && environment_.Now() - sent_at >= *threshold && backend.attached &&
         !backend.silence.RespondedSince(sent_at) && !PausedSince(sent_at);
}

void BackendDirectory::RecordSilence(Backend& backend, TimePoint sent_at, bool strong) {
  const TimePoint now = environment_.Now();
  if (silent_attempts_ != nullptr) silent_attempts_->Add();
  Doubt(backend, sent_at);
  backend.silence.RecordSilence(sent_at, now);
  const bool in_a_row = backend.silence.count() >= kSilencesToEject;
  if (in_a_row || (strong && HasAlternative(backend))) EjectAsSilent(backend, sent_at);
}

void BackendDirectory::EjectAsSilent(Backend& backend, TimePoint sent_at) {
  const TimePoint now = environment_.Now();
  const bool already = backend.ejection.Ejected(now);
  backend.ejection.Eject(now);
  backend.unproven = true;
  silent_.try_emplace(backend.record.id, sent_at);
  if (silent_backends_ != nullptr) silent_backends_->Set(static_cast<double>(silent_.size()));
  if (already) return;
  LogEvent(EventId::kBackendSilent,
           "instance={} service={} zone={} silences={} silent_ms={} usual_ms={} pause_ms={}",
           backend.record.id, backend.record.service, backend.record.zone, backend.silence.count(),
           ToMilliseconds(now - silent_.at(backend.record.id)),
           ToMilliseconds(FromSeconds(backend.answer_seconds)),
           ToMilliseconds(backend.ejection.until() - now));
}

void BackendDirectory::Doubt(Backend& backend, TimePoint sent_at) {
  const TimePoint until = environment_.Now() + kDoubtPeriod;
  backend.doubted_until = until;
  // One silent back end elsewhere may mean that this node is cut off from all other zones, unless
  // one of them has responded since.
  const bool others_respond = other_zones_responded_at_ && *other_zones_responded_at_ >= sent_at;
  if (backend.record.zone != own_zone_ && !others_respond) other_zones_doubted_until_ = until;
}

bool BackendDirectory::HasAlternative(const Backend& backend) const {
  const auto found = services_.find(backend.record.service);
  if (found == services_.end()) return false;
  const TimePoint now = environment_.Now();
  return std::any_of(
      found->second.by_id.begin(), found->second.by_id.end(), [&](const Backend* other) {
        return other != &backend && !other->unproven && !other->ejection.Ejected(now);
      });
}

void BackendDirectory::EndSilence(const Backend& backend) {
  if (silent_.erase(backend.record.id) == 0) return;
  if (silent_backends_ != nullptr) silent_backends_->Set(static_cast<double>(silent_.size()));
}

void BackendDirectory::OnSuperseded(const InstanceId& instance) {
  const auto found = backends_.find(instance);
  if (found != backends_.end()) MarkSuperseded(found->second);
}

void BackendDirectory::MarkSuperseded(Backend& backend) {
  if (std::exchange(backend.superseded, true)) return;
  EndSilence(backend);
  Detach(backend);
}

uint32_t BackendDirectory::Running(const InstanceId& instance) const {
  const auto found = backends_.find(instance);
  return found == backends_.end() ? 0 : found->second.running;
}

TimePoint BackendDirectory::LatestBegin(const InstanceId& instance) const {
  const auto found = backends_.find(instance);
  return found == backends_.end() ? TimePoint() : found->second.latest_begin;
}

}  // namespace millstair
