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
constexpr uint32_t kNoColdBound = std::numeric_limits<uint32_t>::max();

}  // namespace

BackendDirectory::BackendDirectory(Environment& environment, Zone own_zone)
    : environment_(environment),
      own_zone_(std::move(own_zone)),
      preference_seed_(environment.Random()()) {}

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
  if (!gone && !backend.superseded) Attach(backend);
}

void BackendDirectory::Forget(const InstanceId& instance) {
  const auto found = backends_.find(instance);
  if (found == backends_.end()) return;
  Detach(found->second);
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
  const double cost = seconds * (1 + backend.running / slots);
  return backend.record.zone == own_zone_ ? cost : cost * kOtherZoneFactor;
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
  std::vector<BackendCandidate> fallback;
  const auto found = services_.find(service);
  if (found == services_.end()) return healthy;
  const TimePoint now = environment_.Now();
  for (Backend* backend : found->second.by_preference) {
    if (healthy.size() >= kMaxHealthyCandidates) break;
    if (excluded.contains(backend->record.id) || ColdAllowance(*backend) == 0) continue;
    const bool passed_over = backend->ejection.Ejected(now) || now < backend->full_until;
    (passed_over ? fallback : healthy).push_back({&backend->record, Cost(*backend)});
  }
  return healthy.empty() ? fallback : healthy;
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
  ++found->second.running;
  found->second.latest_begin = environment_.Now();
  if (found->second.cold_tokens) found->second.cold_tokens->Take(environment_.Now());
}

void BackendDirectory::End(const InstanceId& instance, BackendEnd end, Duration elapsed) {
  const auto found = backends_.find(instance);
  if (found == backends_.end()) return;
  Backend& backend = found->second;
  if (backend.running > 0) --backend.running;
  RecordEnd(backend, end, elapsed);
  EraseIfIdle(instance);
}

void BackendDirectory::RecordEnd(Backend& backend, BackendEnd end, Duration elapsed) {
  const TimePoint now = environment_.Now();
  switch (end) {
    case BackendEnd::kAnswered: {
      backend.ejection.RecordSuccess();
      const double seconds = ToSeconds(elapsed);
      const double previous = backend.answer_seconds > 0 ? backend.answer_seconds : seconds;
      backend.answer_seconds = previous + kSmoothing * (seconds - previous);
      return;
    }
    case BackendEnd::kRefused:
      backend.full_until = now + kFullPause;
      return;
    case BackendEnd::kFailed:
      return backend.ejection.RecordFailure(now, false);
    case BackendEnd::kUnreachable:
      AssumeCold(backend);
      return backend.ejection.RecordFailure(now, true);
    case BackendEnd::kWrongInstance:
      return MarkSuperseded(backend);
    case BackendEnd::kCancelled:
      return;
  }
}

void BackendDirectory::OnSuperseded(const InstanceId& instance) {
  const auto found = backends_.find(instance);
  if (found != backends_.end()) MarkSuperseded(found->second);
}

void BackendDirectory::MarkSuperseded(Backend& backend) {
  if (std::exchange(backend.superseded, true)) return;
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
