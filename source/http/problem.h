/// Error responses of the system itself: RFC 9457 problem JSON with `Millstair-Outcome` and, where
/// a later retry may succeed, `Retry-After`.
#pragma once

#include <optional>
#include <string>

#include "common/time.h"
#include "http/exchange.h"
#include "http/outcome.h"

namespace millstair {

struct Problem {
  /// HTTP status, 400 to 599.
  int status = 500;
  /// Short text, the same for all problems of a kind.
  std::string title;
  /// Description of this occurrence.
  std::string detail;
  Outcome outcome = Outcome::kUnknown;
  /// When the caller may retry; rounded up to full seconds, at least one.
  std::optional<Duration> retry_after;
};

/// The body: {"type","title","status","detail","outcome"}.
std::string ProblemJson(const Problem& problem);
/// Status line and headers, without Content-Length.
HttpResponseHead ProblemHead(const Problem& problem);
/// Sends the complete response. Must be called before SendHead.
void RespondProblem(ResponseWriter& writer, const Problem& problem);
/// The refusal of a request, before it runs, for lack of memory.
Problem MemoryShortProblem();
/// Sends a complete response to a request that has changed nothing; 503 if the memory for responses
/// does not take it.
void RespondIfRoom(ResponseWriter& writer, HttpResponseHead head, std::string body);

}  // namespace millstair
