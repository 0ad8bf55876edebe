#include "emulator/model/generated_text.h"

#include <catch2/catch.hpp>
#include <set>

namespace millstair::testing {
namespace {

TEST_CASE("tokens depend on prompt, index and version") {
  std::set<std::string> words;
  for (const std::string prompt : {"a", "b"}) {
    for (uint32_t index = 0; index < 100; ++index) {
      for (uint64_t version = 1; version <= 50; ++version) {
        const std::string word = TokenText(prompt, index, WeightVersion(version));
        CHECK(word.size() == 8);
        CHECK(word.find_first_not_of("abcdefghijklmnopqrstuvwxyz") == std::string::npos);
        words.insert(word);
      }
    }
  }
  CHECK(words.size() >= 9998);
  CHECK(TokenText("a", 3, WeightVersion(2)) == TokenText(SeedOf("a"), 3, WeightVersion(2)));
}

TEST_CASE("lengths have a long tail") {
  int tail = 0;
  int middle = 0;
  constexpr int kPrompts = 20000;
  for (int i = 0; i < kPrompts; ++i) {
    const uint32_t length = GenerationLength("prompt " + std::to_string(i), 1000);
    REQUIRE(length >= 100);
    REQUIRE(length <= 1000);
    if (length >= 900) ++tail;
    if (length > 300 && length < 900) ++middle;
  }
  CHECK(tail > kPrompts * 0.025);
  CHECK(tail < kPrompts * 0.035);
  CHECK(middle > kPrompts * 0.06);
  CHECK(middle < kPrompts * 0.08);
  CHECK(GenerationLength("x", 0) == 0);
  CHECK(GenerationLength("x", 1) == 1);
}

TEST_CASE("mixed weights have a distinct version and digest") {
  CHECK(MixedVersion(WeightVersion(1), WeightVersion(2)).value() > 1ULL << 62);
  CHECK(MixedVersion(WeightVersion(1), WeightVersion(2)) !=
        MixedVersion(WeightVersion(2), WeightVersion(1)));
  CHECK(MixedDigest(WeightVersion(1), WeightVersion(2)) == WeightDigest("mixed-1-2"));
  CHECK(IsMixedDigest(MixedDigest(WeightVersion(1), WeightVersion(2))));
  CHECK_FALSE(IsMixedDigest(WeightDigest("sha-1")));
}

}  // namespace
}  // namespace millstair::testing
