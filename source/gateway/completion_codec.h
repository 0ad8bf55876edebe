/// OpenAI-compatible JSON of completions: parses requests, formats stream events and responses.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "common/ids.h"
#include "engine/engine_types.h"

namespace millstair {

/// A completion request as sent by a caller.
struct CompletionRequest {
  ModelName model;
  std::string prompt;
  uint32_t max_tokens = 0;
  bool stream = false;
  /// Received on /v1/chat/completions.
  bool chat = false;
};

inline constexpr char kCompletionsPath[] = "/v1/completions";
inline constexpr char kChatCompletionsPath[] = "/v1/chat/completions";
/// Last event of a stream.
inline constexpr char kStreamEnd[] = "data: [DONE]\n\n";

/// Parses the body. InvalidArgument names every invalid field.
absl::StatusOr<CompletionRequest> ParseCompletion(std::string_view body, bool chat);

/// Consecutive tokens as sent to the caller.
struct CompletionPart {
  std::string text;
  std::vector<VersionSpan> spans;
  bool finished = false;
};

/// One server-sent event.
std::string CompletionEvent(const CompletionRequest& request, const std::string& id,
                            const CompletionPart& part);
/// Response body of a request that does not stream. `tokens` is the number of generated tokens.
std::string CompletionAnswer(const CompletionRequest& request, const std::string& id,
                             const CompletionPart& complete, uint32_t tokens);

}  // namespace millstair
