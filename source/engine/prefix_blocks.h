/// Chained hashes of prompt prefixes, built token by token.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "engine/engine_types.h"

namespace millstair {

constexpr bool IsTokenSeparator(char letter) {
  return letter == ' ' || letter == '\n' || letter == '\t' || letter == '\r';
}

/// Calls `visit(token)` for each whitespace-separated word of `text`.
template <class Visitor>
void ForEachToken(std::string_view text, Visitor visit) {
  size_t begin = 0;
  while (begin < text.size()) {
    if (IsTokenSeparator(text[begin])) {
      ++begin;
      continue;
    }
    size_t end = begin + 1;
    while (end < text.size() && !IsTokenSeparator(text[end])) ++end;
    visit(text.substr(begin, end - begin));
    begin = end;
  }
}

/// Number of tokens in `text`.
uint32_t CountTokens(std::string_view text);

/// Hashes tokens incrementally; completes a block after each kPrefixBlockTokens tokens.
class PrefixHasher {
 public:
  /// True if this token completed a block.
  bool Add(std::string_view token);
  void AddText(std::string_view text);

  const std::vector<BlockHash>& blocks() const { return blocks_; }
  /// Number of tokens added, including those of the incomplete block.
  uint32_t tokens() const { return tokens_; }

 private:
  std::vector<BlockHash> blocks_;
  /// Words of the incomplete block, each followed by a space.
  std::string partial_block_;
  uint32_t tokens_ = 0;
};

}  // namespace millstair
