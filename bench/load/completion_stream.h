/// Reads the answers of /v1/completions: server-sent events or one JSON body.
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
  /// The last part said "stop" and, in a stream, `[DONE]` followed.
  bool finished = false;
};

CompletionAnswer ReadCompletionStream(std::string_view body);
CompletionAnswer ReadCompletionBody(std::string_view body);

/// Spans of a JSON array; adjoining ones of the same weights are joined.
void AppendSpans(const boost::json::array& array, std::vector<checks::ClaimedSpan>& spans);

}  // namespace millstair
