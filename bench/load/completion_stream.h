/// Parses responses of /v1/completions: server-sent events or one JSON body.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "boost/json.hpp"
#include "simulator/checks/history.h"

namespace millstair {

struct CompletionAnswer {
  std::vector<std::string> tokens;
  std::vector<checks::ClaimedSpan> spans;
  /// The finish reason was "stop" and, in a stream, `[DONE]` followed.
  bool finished = false;
};

CompletionAnswer ReadCompletionStream(std::string_view body);
CompletionAnswer ReadCompletionBody(std::string_view body);

/// Appends the spans of a JSON array; merges adjacent spans of the same incarnation and weights.
void AppendSpans(const boost::json::array& array, std::vector<checks::ClaimedSpan>& spans);

}  // namespace millstair
