/// Learns how long the samples of a prompt get, so that long ones start early.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace millstair {

/// Smoothed lengths of the prompts seen lately, and a smoothed share of the limit for all others.
class LengthEstimator {
 public:
  /// A sample of `prompt` had `tokens` of at most `max_tokens` tokens.
  void RecordLength(const std::string& prompt, uint32_t max_tokens, uint32_t tokens);
  /// Expected tokens, 1..max_tokens.
  uint32_t Expected(const std::string& prompt, uint32_t max_tokens) const;
  /// Expected tokens of a sample that has `done` already: longer than that by the mean remainder.
  static uint32_t Remaining(uint32_t expected, uint32_t max_tokens, uint32_t done);

 private:
  struct PromptLength {
    double tokens = 0;
    uint64_t last_use = 0;
  };
  void EvictOldest();

  std::map<uint64_t, PromptLength> lengths_;
  /// Prompts by the time of their last use.
  std::map<uint64_t, uint64_t> by_use_;
  uint64_t uses_ = 0;
  double mean_share_ = 0.3;
};

}  // namespace millstair
