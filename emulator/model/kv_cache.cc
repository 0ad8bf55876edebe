#include "emulator/model/kv_cache.h"

#include <utility>

namespace millstair {

KvCache::KvCache(uint32_t total_blocks, Listener listener)
    : listener_(std::move(listener)), blocks_(total_blocks) {
  free_.reserve(total_blocks);
  for (BlockIndex index = total_blocks; index > 0; --index) free_.push_back(index - 1);
}

std::optional<BlockIndex> KvCache::Allocate() {
  if (free_.empty()) {
    if (evictable_ == 0) return std::nullopt;
    EvictOldest();
  }
  const BlockIndex index = free_.back();
  free_.pop_back();
  blocks_[index].ref_count = 1;
  return index;
}

std::optional<BlockIndex> KvCache::Share(BlockHash hash) {
  const auto found = by_hash_.find(hash);
  if (found == by_hash_.end()) return std::nullopt;
  Block& block = blocks_[found->second];
  if (block.ref_count++ == 0) Unlink(found->second);
  return found->second;
}

BlockIndex KvCache::Publish(BlockIndex index, BlockHash hash) {
  if (const std::optional<BlockIndex> other = Share(hash)) {
    Release(index);
    return *other;
  }
  blocks_[index].hash = hash;
  blocks_[index].cached = true;
  by_hash_[hash] = index;
  listener_(true, hash);
  return index;
}

void KvCache::Release(BlockIndex index) {
  Block& block = blocks_[index];
  if (--block.ref_count > 0) return;
  if (block.cached) {
    PushRecent(index);
  } else {
    free_.push_back(index);
  }
}

void KvCache::DiscardContents() {
  for (BlockIndex index = 0; index < blocks_.size(); ++index) {
    Block& block = blocks_[index];
    if (!block.cached) continue;
    listener_(false, block.hash);
    block.cached = false;
    if (block.ref_count > 0) continue;
    Unlink(index);
    free_.push_back(index);
  }
  by_hash_.clear();
}

uint32_t KvCache::LeadingHits(const std::vector<BlockHash>& hashes) const {
  uint32_t hits = 0;
  while (hits < hashes.size() && Contains(hashes[hits])) ++hits;
  return hits;
}

std::vector<BlockHash> KvCache::Contents() const {
  std::vector<BlockHash> hashes;
  hashes.reserve(by_hash_.size());
  for (const Block& block : blocks_) {
    if (block.cached) hashes.push_back(block.hash);
  }
  return hashes;
}

void KvCache::PushRecent(BlockIndex index) {
  Block& block = blocks_[index];
  block.previous = newest_;
  block.next = kNoBlock;
  (newest_ == kNoBlock ? oldest_ : blocks_[newest_].next) = index;
  newest_ = index;
  ++evictable_;
}

void KvCache::Unlink(BlockIndex index) {
  const Block& block = blocks_[index];
  (block.previous == kNoBlock ? oldest_ : blocks_[block.previous].next) = block.next;
  (block.next == kNoBlock ? newest_ : blocks_[block.next].previous) = block.previous;
  --evictable_;
}

void KvCache::EvictOldest() {
  const BlockIndex index = oldest_;
  Unlink(index);
  Block& block = blocks_[index];
  by_hash_.erase(block.hash);
  block.cached = false;
  ++evicted_;
  free_.push_back(index);
  listener_(false, block.hash);
}

}  // namespace millstair
