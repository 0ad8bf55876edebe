/// Recorded traces of live calls: CSV with the heading
/// "at_ms,kind,host,path,prompt_tokens,max_tokens,priority".
#pragma once

#include <string>
#include <vector>

#include "common/findings.h"
#include "common/time.h"
#include "simulator/checks/history.h"

namespace millstair {

/// One call of a trace. Prompts are not recorded, only their length.
struct TraceCall {
  Duration at{0};
  checks::CallKind kind = checks::CallKind::kPage;
  std::string host;
  std::string path;
  uint32_t prompt_tokens = 0;
  uint32_t max_tokens = 0;
  int priority = 0;
  friend bool operator==(const TraceCall&, const TraceCall&) = default;
};

/// "completion", "page", "lookup" or "booking".
std::string_view CallKindName(checks::CallKind kind);

std::string WriteTrace(const std::vector<TraceCall>& calls);
/// Returns the calls sorted by time. Errors are added to `findings`.
std::vector<TraceCall> ReadTrace(const std::string& file, const std::string& text,
                                 Findings& findings);

}  // namespace millstair
