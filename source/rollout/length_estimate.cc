#include "rollout/length_estimate.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace millstair {
namespace {

constexpr size_t kMaxKnownPrompts = 16384;
/// Weight of a new length of the same prompt.
constexpr double kPromptGain = 0.5;
/// Weight of a new length in the mean over all prompts.
constexpr double kMeanGain = 0.01;
/// What is left of a sample that outran its estimate, as a share of its limit's remainder.
constexpr double kOverrunShare = 0.5;

uint64_t HashOf(const std::string& prompt) { return XXH64(prompt.data(), prompt.size(), 0); }

}  // namespace

void LengthEstimate::Learn(const std::string& prompt, uint32_t max_tokens, uint32_t tokens) {
  if (max_tokens == 0) return;
  const double share = static_cast<double>(tokens) / max_tokens;
  mean_share_ += kMeanGain * (share - mean_share_);
  const uint64_t hash = HashOf(prompt);
  const auto [known, added] = known_.try_emplace(hash);
  if (added) {
    known->second.tokens = tokens;
  } else {
    known->second.tokens += kPromptGain * (tokens - known->second.tokens);
    by_use_.erase(known->second.used);
  }
  known->second.used = ++uses_;
  by_use_[uses_] = hash;
  if (known_.size() > kMaxKnownPrompts) ForgetOldest();
}

void LengthEstimate::ForgetOldest() {
  known_.erase(by_use_.begin()->second);
  by_use_.erase(by_use_.begin());
}

uint32_t LengthEstimate::Expected(const std::string& prompt, uint32_t max_tokens) const {
  const auto known = known_.find(HashOf(prompt));
  const double tokens = known == known_.end() ? mean_share_ * max_tokens : known->second.tokens;
  const auto rounded = static_cast<uint32_t>(std::lround(tokens));
  return std::clamp(rounded, 1U, std::max(max_tokens, 1U));
}

uint32_t LengthEstimate::Remaining(uint32_t expected, uint32_t max_tokens, uint32_t done) {
  if (done >= max_tokens) return 0;
  if (done < expected) return expected - done;
  const auto rest = static_cast<uint32_t>(std::lround(kOverrunShare * (max_tokens - done)));
  return std::max(rest, 1U);
}

}  // namespace millstair
