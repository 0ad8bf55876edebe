#include "ingress/backend_directory.h"

#include <algorithm>

#include "common/random.h"

namespace millstair {
namespace {

/// Candidates looked at for one pick; more would make all nodes pick the same one.
constexpr size_t kCandidates = 4;
constexpr double kSmoothing = 0.2;
/// Assumed until an answer was seen.
constexpr double kFirstAnswerSeconds = 0.05;
/// What a back end of another zone costs beyond its time.
constexpr double kOtherZoneFactor = 1.15;
constexpr Duration kFullPause = std::chrono::milliseconds(30);

}  // namespace

BackendDirectory::BackendDirectory(Environment& environment, Zone own_zone)
    : environment_(environment), own_zone_(std::move(own_zone)) {}

void BackendDirectory::Update(const Configuration& configuration) {
  std::erase_if(backends_, [&](const auto& entry) {
    return entry.second.running == 0 && !configuration.instances.contains(entry.first);
  });
  for (const auto& [id, record] : configuration.instances) {
    if (record.state == MemberState::kGone && !backends_.contains(id)) continue;
    backends_[id].record = record;
  }
  RefreshServices();
}

void BackendDirectory::RefreshServices() {
  services_.clear();
  std::map<std::string, const Backend*> newest_at;
  for (const auto& [id, backend] : backends_) {
    if (backend.record.state == MemberState::kGone || backend.over) continue;
    const Backend*& newest = newest_at[backend.record.address];
    const bool later =
        newest == nullptr || newest->record.registered_at < backend.record.registered_at;
    if (later) newest = &backend;
  }
  for (const auto& [id, backend] : backends_) {
    if (!MayGetWork(backend) || newest_at[backend.record.address] != &backend) continue;
    services_[backend.record.service].push_back(id);
  }
}

bool BackendDirectory::MayGetWork(const Backend& backend) const {
  return backend.record.state == MemberState::kLive && !backend.over;
}

double BackendDirectory::Cost(const Backend& backend) const {
  const double seconds = backend.answer_seconds > 0 ? backend.answer_seconds : kFirstAnswerSeconds;
  const double slots = std::max(1U, backend.record.slots);
  const double cost = seconds * (1 + backend.running / slots);
  return backend.record.zone == own_zone_ ? cost : cost * kOtherZoneFactor;
}

std::optional<BackendInstance> BackendDirectory::Pick(const ServiceName& service,
                                                      const std::set<InstanceId>& excluded) {
  const auto found = services_.find(service);
  if (found == services_.end()) return std::nullopt;
  const TimePoint now = environment_.Now();
  std::vector<const Backend*> sound;
  std::vector<const Backend*> doubtful;
  for (const InstanceId& id : found->second) {
    if (excluded.contains(id)) continue;
    const Backend& backend = backends_.at(id);
    const bool passed_over = backend.ejection.Ejected(now) || now < backend.full_until;
    (passed_over ? doubtful : sound).push_back(&backend);
  }
  std::vector<const Backend*>& choice = sound.empty() ? doubtful : sound;
  if (choice.empty()) return std::nullopt;
  for (size_t i = 0; i < std::min(kCandidates, choice.size()); ++i) {
    const size_t other = i + DrawBelow(environment_.Random(), choice.size() - i);
    std::swap(choice[i], choice[other]);
  }
  choice.resize(std::min(kCandidates, choice.size()));
  const auto best =
      std::min_element(choice.begin(), choice.end(),
                       [this](const Backend* a, const Backend* b) { return Cost(*a) < Cost(*b); });
  return (*best)->record;
}

std::vector<const BackendInstance*> BackendDirectory::Live(const ServiceName& service) const {
  std::vector<const BackendInstance*> live;
  const auto found = services_.find(service);
  if (found == services_.end()) return live;
  for (const InstanceId& id : found->second) live.push_back(&backends_.at(id).record);
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
}

void BackendDirectory::End(const InstanceId& instance, BackendEnd end, Duration elapsed) {
  const auto found = backends_.find(instance);
  if (found == backends_.end()) return;
  Backend& backend = found->second;
  if (backend.running > 0) --backend.running;
  const TimePoint now = environment_.Now();
  switch (end) {
    case BackendEnd::kAnswered: {
      backend.ejection.NoteSuccess();
      const double seconds = ToSeconds(elapsed);
      const double previous = backend.answer_seconds > 0 ? backend.answer_seconds : seconds;
      backend.answer_seconds = previous + kSmoothing * (seconds - previous);
      return;
    }
    case BackendEnd::kRefused:
      backend.full_until = now + kFullPause;
      return;
    case BackendEnd::kFailed:
      return backend.ejection.NoteFailure(now, false);
    case BackendEnd::kUnreachable:
      return backend.ejection.NoteFailure(now, true);
    case BackendEnd::kWrongInstance:
      return NoteOver(instance);
    case BackendEnd::kCancelled:
      return;
  }
}

void BackendDirectory::NoteOver(const InstanceId& instance) {
  const auto found = backends_.find(instance);
  if (found == backends_.end() || found->second.over) return;
  found->second.over = true;
  RefreshServices();
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
