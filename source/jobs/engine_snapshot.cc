#include "jobs/engine_snapshot.h"

#include <algorithm>

namespace millstair {
namespace {

/// Minimum time between two runs that probe an engine that failed lately.
constexpr Duration kProbeDelay = std::chrono::milliseconds(200);

}  // namespace

EngineSnapshot::EngineSnapshot(BackendDirectory& directory, const LoadScheduler& loads,
                               const EngineSpeedTracker& speeds, TimePoint now)
    : directory_(directory), loads_(loads), speeds_(speeds), now_(now) {}

const std::vector<size_t>& EngineSnapshot::EnginesOf(const ServiceName& service) {
  const auto [known, added] = by_service_.try_emplace(service);
  if (!added) return known->second;
  for (const BackendInstance* record : loads_.EnginesOf(service)) {
    SnapshotEngine engine;
    engine.record = record;
    engine.failed_lately = directory_.Ejected(record->id);
    if (engine.failed_lately && now_ - directory_.LatestBegin(record->id) < kProbeDelay) continue;
    engine.pace = speeds_.Forecast(record->id);
    engine.offer.seconds_per_event = speeds_.SecondsPerEvent(record->id);
    engine.offer.running = directory_.Running(record->id);
    engine.slots = UsableSlots(*record, engine.offer.running);
    engine.offer.slow = speeds_.IsSlow(record->id);
    known->second.push_back(engines_.size());
    engines_.push_back(engine);
  }
  return known->second;
}

uint32_t EngineSnapshot::UsableSlots(const BackendInstance& engine, uint32_t running) {
  const uint32_t slots = directory_.Ejected(engine.id) ? 1 : std::max(1U, engine.slots);
  const uint32_t free_slots = slots > running ? slots - running : 0;
  // A cold engine may be allowed fewer runs than it has free slots.
  const uint32_t allowed = std::min(free_slots, directory_.ColdAllowance(engine.id));
  return allowed < free_slots ? running + allowed : slots;
}

const std::vector<EngineCandidate>& EngineSnapshot::CandidatesFor(const ServiceName& service,
                                                                  const ModelName& model) {
  const auto [known, added] = candidates_.try_emplace(Key(service, model));
  if (!added) return known->second;
  std::vector<EngineCandidate> failed_lately;
  for (const size_t index : EnginesOf(service)) {
    const EngineLoadState* state = loads_.StateOf(engines_[index].record->id);
    // The version of an engine that the load scheduler does not know is unknown.
    if (state != nullptr && state->IsLoading(model)) continue;
    const WeightVersion version = state == nullptr ? WeightVersion() : state->HeldVersion(model);
    auto& candidates = engines_[index].failed_lately ? failed_lately : known->second;
    candidates.push_back({index, version});
  }
  if (known->second.empty()) known->second = std::move(failed_lately);
  return known->second;
}

SnapshotEngine* EngineSnapshot::Find(const InstanceId& instance) {
  const auto found = std::find_if(
      engines_.begin(), engines_.end(),
      [&instance](const SnapshotEngine& engine) { return engine.record->id == instance; });
  return found == engines_.end() ? nullptr : &*found;
}

void EngineSnapshot::OnRunStarted(const InstanceId& instance) {
  SnapshotEngine* engine = Find(instance);
  if (engine != nullptr) ++engine->offer.running;
}

void EngineSnapshot::OnRunEnded(const InstanceId& instance) {
  SnapshotEngine* engine = Find(instance);
  if (engine != nullptr && engine->offer.running > 0) --engine->offer.running;
}

}  // namespace millstair
