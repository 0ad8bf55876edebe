/// Which prefix blocks each engine holds in its KV cache, according to numbered cache events that
/// arrive late and with gaps.
#pragma once

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "common/ids.h"
#include "common/time.h"
#include "engine/engine_types.h"

namespace millstair {

/// Index of an engine in the router's table.
using EngineSlot = uint32_t;

/// Effect of a batch of cache events.
enum class CacheEventsEffect : uint8_t {
  kApplied = 1,
  kRepeated = 2,  ///< it held nothing new
  kGap = 3,       ///< applied, but earlier events are missing
};

/// Blocks of all engines that the router knows. Lives on the node's executor.
class PrefixIndex {
 public:
  /// Below this trust a resync of the engine's blocks is needed.
  static constexpr double kResyncBelow = 0.7;

  /// Applies `events` that follow event `after`; a resync replaces all blocks held.
  CacheEventsEffect Apply(EngineSlot slot, uint64_t after, bool resync, const CacheEvents& events,
                          TimePoint now);
  /// Forgets the engine's blocks: it restarted, changed its weights or left.
  void Forget(EngineSlot slot);

  /// Confidence, 0..1, in the recorded blocks of `slot`. Falls with each missing event and with the
  /// time since the last batch; a resync restores it.
  double Trust(EngineSlot slot, TimePoint now) const;
  /// Whether the engine's blocks should be read with a resync.
  bool NeedsResync(EngineSlot slot) const;
  /// Sequence number up to which events of `slot` are known.
  uint64_t NewestEvent(EngineSlot slot) const;

  /// Length of the prefix of `blocks` that `slot` holds, by bisection; exact if the held blocks
  /// have no gap.
  uint32_t LeadingHeld(EngineSlot slot, const std::vector<BlockHash>& blocks) const;
  /// Engines that hold the deepest block of `blocks` held by any; null if none is held.
  const std::vector<EngineSlot>* BestHolders(const std::vector<BlockHash>& blocks) const;

 private:
  struct EngineBlocks {
    Incarnation incarnation;
    absl::flat_hash_set<BlockHash> blocks;
    uint64_t newest = 0;
    /// Trust right after the last batch.
    double trust = 0;
    TimePoint read_at;
    bool known = false;
  };

  void Store(EngineSlot slot, EngineBlocks& engine, BlockHash block);
  void Drop(EngineSlot slot, EngineBlocks& engine, BlockHash block);
  const EngineBlocks* Find(EngineSlot slot) const;

  std::vector<EngineBlocks> engines_;
  /// Unordered holders of each block.
  absl::flat_hash_map<BlockHash, std::vector<EngineSlot>> holders_;
};

}  // namespace millstair
