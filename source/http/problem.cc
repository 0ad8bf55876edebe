#include "http/problem.h"

#include <algorithm>

#include "fmt/format.h"

namespace millstair {
namespace {

constexpr int kUnavailable = 503;
/// Until callers that do not read are disconnected, or others have read.
constexpr Duration kMemoryRetryAfter = std::chrono::seconds(1);

std::string JsonString(std::string_view text) {
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      quoted += fmt::format("\\u{:04x}", static_cast<unsigned char>(c));
    } else {
      quoted += c;
    }
  }
  quoted += '"';
  return quoted;
}

std::string RetryAfterSeconds(Duration delay) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(delay).count();
  return std::to_string(std::max<int64_t>(1, seconds));
}

}  // namespace

std::string ProblemJson(const Problem& problem) {
  return fmt::format(
      R"({{"type":"about:blank","title":{},"status":{},"detail":{},"outcome":"{}"}})",
      JsonString(problem.title), problem.status, JsonString(problem.detail),
      OutcomeName(problem.outcome));
}

HttpResponseHead ProblemHead(const Problem& problem) {
  HttpResponseHead head;
  head.status = problem.status;
  head.headers.push_back({"Content-Type", "application/problem+json"});
  head.headers.push_back({std::string(kOutcomeHeader), std::string(OutcomeName(problem.outcome))});
  if (problem.retry_after.has_value()) {
    head.headers.push_back({"Retry-After", RetryAfterSeconds(*problem.retry_after)});
  }
  return head;
}

void RespondProblem(ResponseWriter& writer, const Problem& problem) {
  Respond(writer, ProblemHead(problem), ProblemJson(problem));
}

Problem MemoryShortProblem() {
  return {kUnavailable, "request refused", "memory-short", Outcome::kNotRun, kMemoryRetryAfter};
}

void RespondIfRoom(ResponseWriter& writer, HttpResponseHead head, std::string body) {
  if (writer.HasRoomFor(body.size())) return Respond(writer, std::move(head), std::move(body));
  RespondProblem(writer, MemoryShortProblem());
}

}  // namespace millstair
