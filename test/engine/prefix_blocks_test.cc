#include "engine/prefix_blocks.h"

#include <catch2/catch.hpp>

namespace millstair {
namespace {

std::string Words(uint32_t count, const std::string& stem) {
  std::string text;
  for (uint32_t i = 0; i < count; ++i) text += (i == 0 ? "" : " ") + stem + std::to_string(i);
  return text;
}

TEST_CASE("only complete blocks have hashes") {
  CHECK(PrefixBlocks("").empty());
  CHECK(PrefixBlocks(Words(15, "a")).empty());
  CHECK(PrefixBlocks(Words(16, "a")).size() == 1);
  CHECK(PrefixBlocks(Words(33, "a")).size() == 2);
  CHECK(CountTokens(" a  b\nc ") == 3);
}

TEST_CASE("prompts share the hashes of their common prefix and none after it") {
  const std::string common = Words(32, "a");
  const std::vector<BlockHash> one = PrefixBlocks(common + " " + Words(32, "b"));
  const std::vector<BlockHash> two = PrefixBlocks(common + " x " + Words(31, "b"));
  CHECK(one[0] == two[0]);
  CHECK(one[1] == two[1]);
  CHECK(one[2] != two[2]);
  CHECK(one[3] != two[3]);
  // The same tokens after another prefix hash differently.
  const std::vector<BlockHash> moved = PrefixBlocks(Words(16, "c") + " " + Words(16, "a"));
  CHECK(moved[1] != one[0]);
}

TEST_CASE("spacing does not matter, but word boundaries do") {
  CHECK(PrefixBlocks("  " + Words(16, "a") + "\n") == PrefixBlocks(Words(16, "a")));
  std::string glued = Words(17, "a");
  glued.erase(glued.find(' '), 1);
  CHECK(PrefixBlocks(glued) != PrefixBlocks(Words(16, "a")));
}

TEST_CASE("incremental hashing gives the same result as hashing the complete text") {
  PrefixHasher hasher;
  hasher.AddText(Words(20, "a"));
  bool closed = false;
  for (int i = 20; i < 32; ++i) closed = hasher.Add("a" + std::to_string(i));
  CHECK(closed);
  CHECK(hasher.tokens() == 32);
  CHECK(hasher.blocks() == PrefixBlocks(Words(32, "a")));
}

}  // namespace
}  // namespace millstair
