/// Parses and writes the JSON and the paths of the trainers' API. All findings of a request are
/// reported together.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/configuration.h"
#include "common/findings.h"
#include "common/time.h"
#include "rollout/stream_commands.h"

namespace millstair {

/// Path segments, percent-decoded, and query parameters of a request target.
struct TrainerTarget {
  std::vector<std::string> segments;
  std::string query;
};
TrainerTarget ParseTarget(std::string_view target);

struct SamplesRequest {
  StreamOffset after;
  uint32_t max_samples = 64;
  Duration wait{0};
};
/// "after=C&max=N&wait=S".
SamplesRequest ParseSamplesRequest(const std::string& query, Findings& findings);

/// {"prompts":[{"text","max_tokens"}]}; max_tokens defaults to the stream's and is bounded by it.
PutStep ParseStep(const std::string& step, const std::string& body, const StreamSpec& stream,
                  Findings& findings);

/// {"digest","location"}.
PublishedVersion ParseVersion(const std::string& version, const std::string& body,
                              Findings& findings);

/// {"samples":[...],"next":C,"newest":V}.
std::string SamplesJson(const StreamResult& result);

}  // namespace millstair
