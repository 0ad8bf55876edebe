#include "simulator/checks/token_text.h"

#include "fmt/format.h"

namespace millstair::checks {

std::vector<std::string> SplitTokens(const std::string& text) {
  std::vector<std::string> tokens;
  size_t begin = 0;
  while (begin < text.size()) {
    const size_t end = std::min(text.find(' ', begin), text.size());
    if (end > begin) tokens.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return tokens;
}

std::optional<std::string> FindSpanFault(const std::vector<ClaimedSpan>& spans,
                                         uint32_t token_count) {
  uint32_t next = 0;
  for (const ClaimedSpan& span : spans) {
    if (span.first_token != next) {
      return fmt::format("span begins at token {} instead of {}", span.first_token, next);
    }
    if (span.token_count == 0) return fmt::format("empty span at token {}", next);
    next += span.token_count;
  }
  if (next != token_count) return fmt::format("spans cover {} of {} tokens", next, token_count);
  return std::nullopt;
}

std::optional<std::string> FindDifference(const TextOracle& oracle, const std::string& prompt,
                                          uint32_t max_tokens,
                                          const std::vector<std::string>& tokens,
                                          const std::vector<ClaimedSpan>& spans) {
  const uint32_t due = oracle.generation_length(prompt, max_tokens);
  if (tokens.size() != due) return fmt::format("{} tokens instead of {}", tokens.size(), due);
  for (const ClaimedSpan& span : spans) {
    for (uint32_t i = span.first_token; i < span.first_token + span.token_count; ++i) {
      if (i >= tokens.size()) return fmt::format("span beyond token {}", tokens.size());
      if (tokens[i] == oracle.token_text(prompt, i, span.version)) continue;
      return fmt::format("token {} is '{}', which version {} does not generate", i, tokens[i],
                         span.version.value());
    }
  }
  return std::nullopt;
}

}  // namespace millstair::checks
