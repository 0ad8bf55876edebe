#include "emulator/model/generated_text.h"

#include <algorithm>
#include <cmath>

#include "fmt/format.h"
#include "xxhash.h"

namespace millstair {
namespace {

constexpr size_t kWordLetters = 8;
constexpr uint64_t kLetters = 26;
constexpr uint64_t kIndexStep = 0x9E3779B97F4A7C15ULL;
constexpr uint64_t kVersionStep = 0xD1B54A32D192ED03ULL;
constexpr uint64_t kLengthSalt = 0xA0761D6478BD642FULL;
constexpr uint64_t kMixedBit = 1ULL << 63;
constexpr std::string_view kMixedPrefix = "mixed-";

/// Finalizer of SplitMix64.
constexpr uint64_t Scramble(uint64_t value) {
  value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
  value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
  return value ^ (value >> 31);
}

double UnitOf(uint64_t hash) {
  return static_cast<double>(hash >> 11) / static_cast<double>(1ULL << 53);
}

/// Fraction of max_tokens that a generation uses.
double LengthShare(uint64_t hash) {
  const double kind = UnitOf(hash);
  const double position = UnitOf(Scramble(hash + kIndexStep));
  if (kind < 0.90) return 0.10 + 0.20 * position;
  if (kind < 0.97) return 0.30 + 0.30 * position;
  return 0.90 + 0.10 * position;
}

}  // namespace

PromptSeed SeedOf(std::string_view prompt) {
  return PromptSeed{XXH3_64bits(prompt.data(), prompt.size())};
}

std::string TokenText(PromptSeed seed, uint32_t index, WeightVersion version) {
  const uint64_t weights = Scramble(seed.value ^ (version.value() * kVersionStep));
  uint64_t bits = Scramble(weights + (index + 1) * kIndexStep);
  std::string word(kWordLetters, 'a');
  for (char& letter : word) {
    letter = static_cast<char>('a' + (((bits & 0xFF) * kLetters) >> 8));
    bits >>= 8;
  }
  return word;
}

std::string TokenText(std::string_view prompt, uint32_t index, WeightVersion version) {
  return TokenText(SeedOf(prompt), index, version);
}

uint32_t GenerationLength(PromptSeed seed, uint32_t max_tokens) {
  if (max_tokens == 0) return 0;
  const double share = LengthShare(Scramble(seed.value ^ kLengthSalt));
  const auto length = static_cast<uint32_t>(std::lround(share * max_tokens));
  return std::clamp(length, 1U, max_tokens);
}

uint32_t GenerationLength(std::string_view prompt, uint32_t max_tokens) {
  return GenerationLength(SeedOf(prompt), max_tokens);
}

WeightVersion MixedVersion(WeightVersion old_version, WeightVersion new_version) {
  return WeightVersion(kMixedBit |
                       Scramble(old_version.value() * kVersionStep + new_version.value()));
}

WeightDigest MixedDigest(WeightVersion old_version, WeightVersion new_version) {
  return WeightDigest(
      fmt::format("{}{}-{}", kMixedPrefix, old_version.value(), new_version.value()));
}

bool IsMixedDigest(const WeightDigest& digest) { return digest.value().starts_with(kMixedPrefix); }

}  // namespace millstair
