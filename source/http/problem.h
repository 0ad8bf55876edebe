/// Error answers of the system itself: RFC 9457 problem JSON with `Millstair-Outcome` and, where
/// coming back later helps, `Retry-After`.
#pragma once

#include <optional>
#include <string>

#include "common/time.h"
#include "http/exchange.h"
#include "http/outcome.h"

namespace millstair {

struct Problem {
  /// HTTP status, 400..599.
  int status = 500;
  /// Short text that is the same for all problems of a kind.
  std::string title;
  /// What happened in this case.
  std::string detail;
  Outcome outcome = Outcome::kUnknown;
  /// When the caller should come back; rounded up to whole seconds, at least one.
  std::optional<Duration> retry_after;
};

/// The body: {"type","title","status","detail","outcome"}.
std::string ProblemJson(const Problem& problem);
/// Status line and headers, without Content-Length.
HttpResponseHead ProblemHead(const Problem& problem);
/// Sends the whole answer; for use before any head was sent.
void RespondProblem(ResponseWriter& writer, const Problem& problem);

}  // namespace millstair
