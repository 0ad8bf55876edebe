#include "rollout/length_estimator.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace millstair {
namespace {

constexpr size_t kMaxPrompts = 16384;
/// Smoothing factor for the length of a prompt.
constexpr double kPromptSmoothing = 0.5;
/// Smoothing factor for the mean over all prompts.
constexpr double kMeanSmoothing = 0.01;
/// Once a sample has exceeded its estimate: expected remainder as a fraction of the tokens left up
/// to its limit.
constexpr double kOverrunShare = 0.5;

uint64_t HashOf(const std::string& prompt) { return XXH64(prompt.data(), prompt.size(), 0); }

}  // namespace

void LengthEstimator::RecordLength(const std::string& prompt, uint32_t max_tokens,
                                   uint32_t tokens) {
  if (max_tokens == 0) return;
  const double share = static_cast<double>(tokens) / max_tokens;
  mean_share_ += kMeanSmoothing * (share - mean_share_);
  const uint64_t hash = HashOf(prompt);
  const auto [known, added] = lengths_.try_emplace(hash);
  if (added) {
    known->second.tokens = tokens;
  } else {
    known->second.tokens += kPromptSmoothing * (tokens - known->second.tokens);
    by_use_.erase(known->second.last_use);
  }
  known->second.last_use = ++uses_;
  by_use_[uses_] = hash;
  if (lengths_.size() > kMaxPrompts) EvictOldest();
}

void LengthEstimator::EvictOldest() {
  lengths_.erase(by_use_.begin()->second);
  by_use_.erase(by_use_.begin());
}

uint32_t LengthEstimator::Expected(const std::string& prompt, uint32_t max_tokens) const {
  const auto known = lengths_.find(HashOf(prompt));
  const double tokens = known == lengths_.end() ? mean_share_ * max_tokens : known->second.tokens;
  const auto rounded = static_cast<uint32_t>(std::lround(tokens));
  return std::clamp(rounded, 1U, std::max(max_tokens, 1U));
}

uint32_t LengthEstimator::Remaining(uint32_t expected, uint32_t max_tokens, uint32_t done) {
  if (done >= max_tokens) return 0;
  if (done < expected) return expected - done;
  const auto rest = static_cast<uint32_t>(std::lround(kOverrunShare * (max_tokens - done)));
  return std::max(rest, 1U);
}

}  // namespace millstair
