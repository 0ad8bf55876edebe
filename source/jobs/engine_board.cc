#include "jobs/engine_board.h"

#include <algorithm>

namespace millstair {

EngineBoard::EngineBoard(const BackendDirectory& directory, const LoadScheduler& loads,
                         const EnginePace& pace)
    : directory_(directory), loads_(loads), pace_(pace) {}

const std::vector<size_t>& EngineBoard::EnginesOf(const ServiceName& service) {
  const auto [known, added] = by_service_.try_emplace(service);
  if (!added) return known->second;
  for (const BackendInstance* record : directory_.Live(service)) {
    if (directory_.Ejected(record->id)) continue;
    BoardEngine engine;
    engine.record = record;
    engine.places = std::max(1U, record->slots);
    engine.offer.seconds_per_event = pace_.SecondsPerEvent(record->id);
    engine.offer.running = directory_.Running(record->id);
    engine.offer.slow = pace_.IsSlow(record->id);
    known->second.push_back(engines_.size());
    engines_.push_back(engine);
  }
  return known->second;
}

const std::vector<ModelHolder>& EngineBoard::HoldersOf(const ServiceName& service,
                                                       const ModelName& model) {
  const auto [known, added] = holders_.try_emplace(Key(service, model));
  if (!added) return known->second;
  for (const size_t index : EnginesOf(service)) {
    const EngineLoadState* state = loads_.StateOf(engines_[index].record->id);
    // An engine that is not known to the load scheduler holds no version that is known.
    if (state != nullptr && state->Loads(model)) continue;
    const WeightVersion version = state == nullptr ? WeightVersion() : state->HeldVersion(model);
    known->second.push_back({index, version});
  }
  return known->second;
}

BoardEngine* EngineBoard::Find(const InstanceId& instance) {
  const auto found = std::find_if(
      engines_.begin(), engines_.end(),
      [&instance](const BoardEngine& engine) { return engine.record->id == instance; });
  return found == engines_.end() ? nullptr : &*found;
}

void EngineBoard::NoteBegun(const InstanceId& instance) {
  BoardEngine* engine = Find(instance);
  if (engine != nullptr) ++engine->offer.running;
}

void EngineBoard::NoteEnded(const InstanceId& instance) {
  BoardEngine* engine = Find(instance);
  if (engine != nullptr && engine->offer.running > 0) --engine->offer.running;
}

}  // namespace millstair
