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

/// Calls `visit(token)` for each word of `text`; words are separated by white space.
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

/// Takes tokens one by one and closes a block after each kPrefixBlockTokens.
class PrefixHasher {
 public:
  /// True if this token closed a block.
  bool Add(std::string_view token);
  void AddText(std::string_view text);

  const std::vector<BlockHash>& blocks() const { return blocks_; }
  /// Tokens taken, with those of the open block.
  uint32_t tokens() const { return tokens_; }

 private:
  std::vector<BlockHash> blocks_;
  /// Words of the open block, each followed by a space.
  std::string partial_block_;
  uint32_t tokens_ = 0;
};

}  // namespace millstair
