/// Estimates the length of samples by prompt, so that long ones are started early.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace millstair {

/// Smoothed sample lengths of recent prompts, and a smoothed fraction of the limit for all others.
class LengthEstimator {
 public:
  /// Records that a sample of `prompt` had `tokens` of at most `max_tokens` tokens.
  void RecordLength(const std::string& prompt, uint32_t max_tokens, uint32_t tokens);
  /// Expected tokens, from 1 to max_tokens.
  uint32_t Expected(const std::string& prompt, uint32_t max_tokens) const;
  /// Expected tokens still to come of a sample that has `done` tokens. Positive below the limit,
  /// also once the sample has exceeded its estimate.
  static uint32_t Remaining(uint32_t expected, uint32_t max_tokens, uint32_t done);

 private:
  struct PromptLength {
    double tokens = 0;
    uint64_t last_use = 0;
  };
  void EvictOldest();

  std::map<uint64_t, PromptLength> lengths_;
  /// Prompt hashes by last use, for eviction of the least recently used.
  std::map<uint64_t, uint64_t> by_use_;
  uint64_t uses_ = 0;
  double mean_share_ = 0.3;
};

}  // namespace millstair
