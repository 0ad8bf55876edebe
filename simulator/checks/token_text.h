/// Compares received tokens with the output of a correct engine.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "simulator/checks/history.h"
#include "simulator/checks/stream_checks.h"

namespace millstair::checks {

/// Splits text into tokens at spaces.
std::vector<std::string> SplitTokens(const std::string& text);

/// First difference between `tokens` and the expected output for `prompt` under the versions that
/// `spans` report; nullopt if the tokens are correct and complete.
std::optional<std::string> FindDifference(const TextOracle& oracle, const std::string& prompt,
                                          uint32_t max_tokens,
                                          const std::vector<std::string>& tokens,
                                          const std::vector<ClaimedSpan>& spans);

/// First gap, overlap or empty span; nullopt if `spans` cover `token_count` tokens exactly once.
std::optional<std::string> FindSpanFault(const std::vector<ClaimedSpan>& spans,
                                         uint32_t token_count);

}  // namespace millstair::checks
