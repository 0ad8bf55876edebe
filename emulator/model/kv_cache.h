/// KV memory of an engine model: blocks of kPrefixBlockTokens tokens, shared by content; evicts the
/// least recently used unreferenced blocks first.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "engine/engine_types.h"

namespace millstair {

/// Index of a block in the memory.
using BlockIndex = uint32_t;

class KvCache {
 public:
  /// Called for each prefix block that enters (`stored`) or leaves the cache.
  using Listener = std::function<void(bool stored, BlockHash hash)>;

  KvCache(uint32_t total_blocks, Listener listener);

  /// Allocates a block without content, with one reference; evicts if needed. nullopt if all are
  /// referenced.
  std::optional<BlockIndex> Allocate();
  /// Whether `count` blocks can be allocated now.
  bool CanAllocate(uint32_t count) const { return count <= available(); }
  /// Adds a reference to the block with content `hash`. nullopt if it is not cached.
  std::optional<BlockIndex> Share(BlockHash hash);
  /// Sets the content of a referenced block. If another block already has it, the reference moves
  /// to that one. Returns the block to use from now on.
  BlockIndex Publish(BlockIndex index, BlockHash hash);
  /// Releases one reference. A cached block stays until it is evicted.
  void Release(BlockIndex index);
  /// Discards all contents after a weight change. Referenced blocks stay allocated, without
  /// content.
  void DiscardContents();

  bool Contains(BlockHash hash) const { return by_hash_.contains(hash); }
  /// Number of leading `hashes` that are cached.
  uint32_t LeadingHits(const std::vector<BlockHash>& hashes) const;
  /// All cached hashes, in block order.
  std::vector<BlockHash> Contents() const;

  uint32_t total() const { return static_cast<uint32_t>(blocks_.size()); }
  /// Number of unreferenced blocks: free or evictable.
  uint32_t available() const { return static_cast<uint32_t>(free_.size()) + evictable_; }
  uint64_t evicted() const { return evicted_; }

 private:
  static constexpr BlockIndex kNoBlock = UINT32_MAX;

  struct Block {
    BlockHash hash = 0;
    uint32_t ref_count = 0;
    bool cached = false;
    /// Neighbours in the list of unreferenced cached blocks, least recently used first.
    BlockIndex previous = kNoBlock;
    BlockIndex next = kNoBlock;
  };

  void PushRecent(BlockIndex index);
  void Unlink(BlockIndex index);
  void EvictOldest();

  Listener listener_;
  std::vector<Block> blocks_;
  std::vector<BlockIndex> free_;
  absl::flat_hash_map<BlockHash, BlockIndex> by_hash_;
  BlockIndex oldest_ = kNoBlock;
  BlockIndex newest_ = kNoBlock;
  uint32_t evictable_ = 0;
  uint64_t evicted_ = 0;
};

}  // namespace millstair
