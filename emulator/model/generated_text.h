/// The text that engine models generate: a function of prompt, token index and weight version, so
/// that callers and checkers can verify a whole answer and the versions that it claims.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/ids.h"

namespace millstair {

/// Hash of a prompt, taken once per request; the token functions only need this.
struct PromptSeed {
  uint64_t value = 0;
  friend bool operator==(const PromptSeed&, const PromptSeed&) = default;
};

PromptSeed SeedOf(std::string_view prompt);

/// Token `index` (from 0) that weights of `version` generate for the prompt: one lower-case word
/// of eight letters. Two versions give different words except once in 2^24.
std::string TokenText(PromptSeed seed, uint32_t index, WeightVersion version);
std::string TokenText(std::string_view prompt, uint32_t index, WeightVersion version);

/// Tokens in the whole generation, 1..max_tokens (0 for max_tokens 0). Long-tailed: most use 10 to
/// 30 % of `max_tokens`, 7 % up to 60 %, and 3 % from 90 % to all of it.
uint32_t GenerationLength(PromptSeed seed, uint32_t max_tokens);
uint32_t GenerationLength(std::string_view prompt, uint32_t max_tokens);

/// Version whose tokens shards generate that hold different weights; equal to no published one.
WeightVersion MixedVersion(WeightVersion old_version, WeightVersion new_version);

/// Digest that a mixed engine puts on its chunks: "mixed-<old version>-<new version>".
WeightDigest MixedDigest(WeightVersion old_version, WeightVersion new_version);
bool IsMixedDigest(const WeightDigest& digest);

}  // namespace millstair
