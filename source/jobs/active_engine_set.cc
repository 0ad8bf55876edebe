#include "jobs/active_engine_set.h"

#include <algorithm>
#include <cstdint>

#include "common/event_log.h"
#include "common/rendezvous.h"

namespace millstair {
namespace {

/// Added engines get time to load weights and start runs before more are added.
constexpr Duration kGrowInterval = std::chrono::milliseconds(500);
constexpr size_t kGrowDivisor = 4;
/// Part of the ranking hash: a change of the text reorders the engines.
const NodeId kRankingKey("engine roster");

struct Ranked {
  uint64_t rank = 0;
  const BackendInstance* engine = nullptr;
  friend bool operator<(const Ranked& a, const Ranked& b) { return a.rank < b.rank; }
};

}  // namespace

void ActiveEngineSet::Refresh(const ServiceName& service) {
  Chosen& chosen = services_[service];
  const std::vector<const BackendInstance*> live = directory_.Live(service);
  chosen.engines.clear();
  if (live.size() <= chosen.wanted) {
    for (const BackendInstance* engine : live) chosen.engines.push_back(engine->id);
    return;
  }
  std::vector<Ranked> ranked;
  ranked.reserve(live.size());
  for (const BackendInstance* engine : live) {
    if (is_lost_(engine->id)) {
      chosen.engines.push_back(engine->id);
    } else {
      ranked.push_back({RendezvousWeight(engine->id.value(), kRankingKey), engine});
    }
  }
  const size_t taken = std::min(chosen.wanted, ranked.size());
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(taken);
  std::nth_element(ranked.begin(), end, ranked.end());
  for (auto entry = ranked.begin(); entry != end; ++entry) {
    chosen.engines.push_back(entry->engine->id);
  }
  std::sort(chosen.engines.begin(), chosen.engines.end());
}

bool ActiveEngineSet::Grow(const ServiceName& service) {
  Chosen& chosen = services_[service];
  const TimePoint now = environment_.Now();
  const size_t live = directory_.Live(service).size();
  if (chosen.engines.size() >= live || now - chosen.grown_at < kGrowInterval) return false;
  chosen.grown_at = now;
  chosen.wanted += chosen.wanted / kGrowDivisor;
  Refresh(service);
  LogEvent(EventId::kEnginesTakenIn, "service={} engines={} live={}", service,
           chosen.engines.size(), live);
  return true;
}

std::vector<const BackendInstance*> ActiveEngineSet::Engines(const ServiceName& service) const {
  std::vector<const BackendInstance*> engines;
  const auto found = services_.find(service);
  if (found == services_.end()) return engines;
  engines.reserve(found->second.engines.size());
  for (const InstanceId& id : found->second.engines) {
    const BackendInstance* engine = directory_.FindLive(id);
    if (engine != nullptr) engines.push_back(engine);
  }
  return engines;
}

}  // namespace millstair
