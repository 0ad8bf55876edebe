/// Compares received tokens with what an honest engine generates.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "simulator/checks/history.h"
#include "simulator/checks/stream_checks.h"

namespace millstair::checks {

/// Splits text into tokens (words).
std::vector<std::string> SplitTokens(const std::string& text);

/// First difference between `tokens` and the generation for `prompt` under the versions that
/// `spans` claim; none if they agree and the generation is whole.
std::optional<std::string> FindDifference(const TextOracle& oracle, const std::string& prompt,
                                          uint32_t max_tokens,
                                          const std::vector<std::string>& tokens,
                                          const std::vector<ClaimedSpan>& spans);

/// First fault in the order of `spans` over `token_count` tokens; none if they cover all once.
std::optional<std::string> FindSpanFault(const std::vector<ClaimedSpan>& spans,
                                         uint32_t token_count);

}  // namespace millstair::checks
