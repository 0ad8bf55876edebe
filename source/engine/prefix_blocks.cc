#include "engine/prefix_blocks.h"

#include "xxhash.h"

namespace millstair {

uint32_t CountTokens(std::string_view text) {
  uint32_t count = 0;
  ForEachToken(text, [&count](std::string_view) { ++count; });
  return count;
}

bool PrefixHasher::Add(std::string_view token) {
  partial_block_.append(token);
  partial_block_.push_back(' ');
  ++tokens_;
  if (tokens_ % kPrefixBlockTokens != 0) return false;
  const BlockHash previous = blocks_.empty() ? 0 : blocks_.back();
  blocks_.push_back(XXH3_64bits_withSeed(partial_block_.data(), partial_block_.size(), previous));
  partial_block_.clear();
  return true;
}

void PrefixHasher::AddText(std::string_view text) {
  ForEachToken(text, [this](std::string_view token) { Add(token); });
}

std::vector<BlockHash> PrefixBlocks(const std::string& prompt) {
  PrefixHasher hasher;
  hasher.AddText(prompt);
  return hasher.blocks();
}

}  // namespace millstair
