/// Which prefix blocks each engine holds in its KV cache, as told by numbered cache events that
/// come late and with gaps.
#pragma once

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "common/ids.h"
#include "common/time.h"
#include "engine/engine_types.h"

namespace millstair {

/// Position of an engine in the router's table.
using EngineSlot = uint32_t;

/// What became of a batch of cache events.
enum class CacheEventsEffect : uint8_t {
  kApplied = 1,
  kRepeated = 2,  ///< nothing new in it
  kGap = 3,       ///< applied, but events before it are missing
};

/// Blocks of all engines that the router knows. Lives on the node's executor.
class PrefixIndex {
 public:
  /// Below this trust an engine's blocks are to be read anew.
  static constexpr double kResyncBelow = 0.7;

  /// Takes over `events` that were read after event `after`; a resync replaces all blocks held.
  CacheEventsEffect Apply(EngineSlot slot, uint64_t after, bool resync, const CacheEvents& events,
                          TimePoint now);
  /// Forgets the engine's blocks: it restarted, changed its weights or left.
  void Forget(EngineSlot slot);

  /// How far the blocks of `slot` can be believed, 0..1: falls with each missing event and with the
  /// time since the last reading; a resync restores it.
  double Trust(EngineSlot slot, TimePoint now) const;
  /// The engine's blocks should be read with a resync.
  bool NeedsResync(EngineSlot slot) const;
  /// Number up to which events of `slot` are known.
  uint64_t NewestEvent(EngineSlot slot) const;

  /// Number of leading ones of `blocks` that `slot` holds, by bisection: exact if what it holds of
  /// them has no hole.
  uint32_t LeadingHeld(EngineSlot slot, const std::vector<BlockHash>& blocks) const;
  /// Engines that hold the deepest block of `blocks` that anyone holds; null if no one holds any.
  const std::vector<EngineSlot>* BestHolders(const std::vector<BlockHash>& blocks) const;

 private:
  struct EngineBlocks {
    Incarnation incarnation;
    absl::flat_hash_set<BlockHash> blocks;
    uint64_t newest = 0;
    /// Trust right after the last reading.
    double trust = 0;
    TimePoint read_at;
    bool known = false;
  };

  void Store(EngineSlot slot, EngineBlocks& engine, BlockHash block);
  void Drop(EngineSlot slot, EngineBlocks& engine, BlockHash block);
  const EngineBlocks* Find(EngineSlot slot) const;

  std::vector<EngineBlocks> engines_;
  /// Holders of each block, without order.
  absl::flat_hash_map<BlockHash, std::vector<EngineSlot>> holders_;
};

}  // namespace millstair
