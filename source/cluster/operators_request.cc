#include "cluster/operators_request.h"

#include <algorithm>
#include <charconv>

namespace millstair {
namespace {

constexpr int kHexBase = 16;

absl::StatusOr<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded.push_back(text[i]);
      continue;
    }
    unsigned value = 0;
    if (i + 2 >= text.size()) return absl::InvalidArgumentError("invalid percent encoding");
    const char* digits = text.data() + i + 1;
    const auto [end, error] = std::from_chars(digits, digits + 2, value, kHexBase);
    if (error != std::errc() || end != digits + 2) {
      return absl::InvalidArgumentError("invalid percent encoding");
    }
    decoded.push_back(static_cast<char>(value));
    i += 2;
  }
  return decoded;
}

/// Non-empty parts of `text` between separators.
std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    const size_t end = std::min(text.find(separator), text.size());
    if (end > 0) parts.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return parts;
}

}  // namespace

absl::StatusOr<OperatorsTarget> ParseTarget(const std::string& target) {
  OperatorsTarget result;
  const std::string_view text = target;
  const size_t mark = std::min(text.find('?'), text.size());
  for (const std::string_view part : Split(text.substr(0, mark), '/')) {
    auto decoded = PercentDecode(part);
    if (!decoded.ok()) return decoded.status();
    result.path.push_back(*std::move(decoded));
  }
  if (mark == text.size()) return result;
  for (const std::string_view field : Split(text.substr(mark + 1), '&')) {
    const size_t equals = std::min(field.find('='), field.size());
    auto decoded = PercentDecode(field.substr(std::min(equals + 1, field.size())));
    if (!decoded.ok()) return decoded.status();
    result.query[std::string(field.substr(0, equals))] = *std::move(decoded);
  }
  return result;
}

std::optional<uint64_t> ParseNumber(std::string_view text) {
  uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || text.empty()) return std::nullopt;
  return value;
}

absl::StatusOr<std::optional<SessionStamp>> ParseSessionStamp(const HttpHeaders& headers) {
  const auto header = FindHeader(headers, "Idempotency-Key");
  if (!header) return std::nullopt;
  const size_t slash = header->rfind('/');
  const auto sequence =
      slash == std::string_view::npos ? std::nullopt : ParseNumber(header->substr(slash + 1));
  if (!sequence || *sequence == 0 || slash == 0) {
    return absl::InvalidArgumentError("Idempotency-Key is not <session>/<sequence>");
  }
  return SessionStamp{ClientId(std::string(header->substr(0, slash))), ClientSequence(*sequence)};
}

absl::StatusOr<std::optional<Revision>> ParseExpected(const HttpHeaders& headers) {
  if (const auto none_match = FindHeader(headers, "If-None-Match")) {
    if (*none_match != "*") return absl::InvalidArgumentError("If-None-Match supports only *");
    return Revision();
  }
  const auto match = FindHeader(headers, "If-Match");
  if (!match) return std::nullopt;
  constexpr size_t kQuotes = 2;
  const bool quoted = match->size() > kQuotes && match->front() == '"' && match->back() == '"';
  const auto version =
      quoted ? ParseNumber(match->substr(1, match->size() - kQuotes)) : std::nullopt;
  if (!version) return absl::InvalidArgumentError("If-Match is not a quoted version");
  return Revision(*version);
}

}  // namespace millstair
