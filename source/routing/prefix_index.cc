#include "routing/prefix_index.h"

#include <algorithm>
#include <cmath>

namespace millstair {
namespace {

/// Trust factor of one missing event; fourteen of them halve the trust.
constexpr double kTrustAfterMissingEvent = 0.95;
/// Trust factor of an unknown number of missing events.
constexpr double kTrustAfterGap = 0.5;
/// Time without a batch after which trust has halved.
constexpr double kHalfLifeSeconds = 10;
constexpr uint64_t kMaxMissingCounted = 200;

uint64_t MissingEvents(uint64_t newest, const CacheEvents& events) {
  uint64_t expected = newest + 1;
  uint64_t missing = 0;
  for (const CacheEvent& event : events.events) {
    if (event.sequence < expected) continue;
    missing += event.sequence - expected;
    expected = event.sequence + 1;
  }
  if (events.newest + 1 > expected) missing += events.newest + 1 - expected;
  return std::min(missing, kMaxMissingCounted);
}

}  // namespace

CacheEventsEffect PrefixIndex::Apply(EngineSlot slot, uint64_t after, bool resync,
                                     const CacheEvents& events, TimePoint now) {
  if (slot >= engines_.size()) engines_.resize(slot + 1);
  if (engines_[slot].known && events.incarnation < engines_[slot].incarnation) {
    return CacheEventsEffect::kRepeated;
  }
  if (resync || !engines_[slot].known || events.incarnation != engines_[slot].incarnation) {
    Forget(slot);
  }
  EngineBlocks& engine = engines_[slot];
  const bool fresh = !engine.known;
  engine.known = true;
  engine.incarnation = events.incarnation;
  if (resync) {
    for (const CacheEvent& event : events.events) {
      if (event.stored) Store(slot, engine, event.block);
    }
    engine.newest = events.newest;
    engine.trust = 1;
    engine.read_at = now;
    return CacheEventsEffect::kApplied;
  }
  if (fresh) {
    engine.newest = after;
    engine.trust = after == 0 ? 1 : kTrustAfterGap;
  }
  if (events.newest <= engine.newest) {
    engine.read_at = now;
    return CacheEventsEffect::kRepeated;
  }
  const bool gap = events.gap || after > engine.newest;
  const uint64_t missing = gap ? 0 : MissingEvents(engine.newest, events);
  for (const CacheEvent& event : events.events) {
    if (event.sequence <= engine.newest) continue;
    if (event.stored) {
      Store(slot, engine, event.block);
    } else {
      Drop(slot, engine, event.block);
    }
  }
  engine.trust *= std::pow(kTrustAfterMissingEvent, static_cast<double>(missing));
  if (gap) engine.trust *= kTrustAfterGap;
  engine.newest = events.newest;
  engine.read_at = now;
  return gap || missing > 0 ? CacheEventsEffect::kGap : CacheEventsEffect::kApplied;
}

void PrefixIndex::Forget(EngineSlot slot) {
  if (slot >= engines_.size()) return;
  EngineBlocks& engine = engines_[slot];
  const absl::flat_hash_set<BlockHash> blocks = std::move(engine.blocks);
  engine = EngineBlocks();
  for (const BlockHash block : blocks) Drop(slot, engine, block);
}

double PrefixIndex::Trust(EngineSlot slot, TimePoint now) const {
  const EngineBlocks* engine = Find(slot);
  if (engine == nullptr) return 0;
  const double lag = ToSeconds(now - engine->read_at);
  return engine->trust * kHalfLifeSeconds / (kHalfLifeSeconds + std::max(0.0, lag));
}

bool PrefixIndex::NeedsResync(EngineSlot slot) const {
  const EngineBlocks* engine = Find(slot);
  return engine == nullptr || engine->trust < kResyncBelow;
}

uint64_t PrefixIndex::NewestEvent(EngineSlot slot) const {
  const EngineBlocks* engine = Find(slot);
  return engine == nullptr ? 0 : engine->newest;
}

uint32_t PrefixIndex::LeadingHeld(EngineSlot slot, const std::vector<BlockHash>& blocks) const {
  const EngineBlocks* engine = Find(slot);
  if (engine == nullptr) return 0;
  if (blocks.empty() || !engine->blocks.contains(blocks.front())) return 0;
  // Hashes are chained, so a block is useful only with all before it; engines evict from the end.
  size_t held = 1;
  size_t beyond = blocks.size() + 1;
  while (beyond - held > 1) {
    const size_t middle = held + (beyond - held) / 2;
    if (engine->blocks.contains(blocks[middle - 1])) {
      held = middle;
    } else {
      beyond = middle;
    }
  }
  return static_cast<uint32_t>(held);
}

const std::vector<EngineSlot>* PrefixIndex::BestHolders(
    const std::vector<BlockHash>& blocks) const {
  for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
    const auto found = holders_.find(*block);
    if (found != holders_.end()) return &found->second;
  }
  return nullptr;
}

void PrefixIndex::Store(EngineSlot slot, EngineBlocks& engine, BlockHash block) {
  if (!engine.blocks.insert(block).second) return;
  holders_[block].push_back(slot);
}

void PrefixIndex::Drop(EngineSlot slot, EngineBlocks& engine, BlockHash block) {
  engine.blocks.erase(block);
  const auto found = holders_.find(block);
  if (found == holders_.end()) return;
  std::erase(found->second, slot);
  if (found->second.empty()) holders_.erase(found);
}

const PrefixIndex::EngineBlocks* PrefixIndex::Find(EngineSlot slot) const {
  if (slot >= engines_.size() || !engines_[slot].known) return nullptr;
  return &engines_[slot];
}

}  // namespace millstair
