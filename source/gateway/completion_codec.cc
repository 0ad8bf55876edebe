#include "gateway/completion_codec.h"

#include <boost/json.hpp>

#include "absl/strings/str_join.h"
#include "engine/prefix_blocks.h"
#include "fmt/format.h"
#include "http/json_body.h"

namespace millstair {
namespace {

namespace json = boost::json;

constexpr uint32_t kDefaultMaxTokens = 256;
constexpr uint32_t kMaxTokensLimit = 131072;

/// Reads the fields of a request and collects the errors found in them.
class Reader {
 public:
  explicit Reader(const json::object& object) : object_(object) {}

  std::string String(const char* field) {
    const json::value* value = object_.if_contains(field);
    if (value == nullptr || !value->is_string()) {
      Fault(field, "a string");
      return "";
    }
    return std::string(value->as_string());
  }

  uint32_t MaxTokens() {
    const json::value* value = object_.if_contains("max_tokens");
    if (value == nullptr || value->is_null()) return kDefaultMaxTokens;
    if (!value->is_int64() || value->as_int64() < 1 || value->as_int64() > kMaxTokensLimit) {
      Fault("max_tokens", fmt::format("a number from 1 to {}", kMaxTokensLimit));
      return 0;
    }
    return static_cast<uint32_t>(value->as_int64());
  }

  bool Stream() {
    const json::value* value = object_.if_contains("stream");
    if (value == nullptr || value->is_null()) return false;
    if (value->is_bool()) return value->as_bool();
    Fault("stream", "true or false");
    return false;
  }

  /// Contents of the messages, joined by spaces.
  std::string Messages() {
    const json::value* value = object_.if_contains("messages");
    if (value == nullptr || !value->is_array() || value->as_array().empty()) {
      Fault("messages", "a list of {\"role\", \"content\"}");
      return "";
    }
    std::vector<std::string> contents;
    for (const json::value& message : value->as_array()) {
      const json::value* content =
          message.is_object() ? message.as_object().if_contains("content") : nullptr;
      if (content == nullptr || !content->is_string()) {
        Fault("messages", "a string \"content\" in each");
        return "";
      }
      contents.emplace_back(content->as_string());
    }
    return absl::StrJoin(contents, " ");
  }

  absl::Status status() const {
    if (faults_.empty()) return absl::OkStatus();
    return absl::InvalidArgumentError(absl::StrJoin(faults_, "; "));
  }

 private:
  void Fault(std::string_view field, std::string_view expected) {
    faults_.push_back(fmt::format("{}: expected {}", field, expected));
  }

  const json::object& object_;
  std::vector<std::string> faults_;
};

json::array SpansJson(const std::vector<VersionSpan>& spans) {
  json::array array;
  for (const VersionSpan& span : spans) {
    array.push_back({{"version", span.version.value()},
                     {"digest", span.digest.value()},
                     {"engine_incarnation", span.engine_incarnation.value()},
                     {"first_token", span.first_token},
                     {"token_count", span.token_count}});
  }
  return array;
}

json::object Choice(const CompletionRequest& request, const CompletionPart& part, bool event) {
  json::object choice{{"index", 0}};
  if (request.chat) {
    choice[event ? "delta" : "message"] = {{"role", "assistant"}, {"content", part.text}};
  } else {
    choice["text"] = part.text;
  }
  choice["finish_reason"] = part.finished ? json::value("stop") : json::value(nullptr);
  return choice;
}

json::object Body(const CompletionRequest& request, const std::string& id,
                  const CompletionPart& part, bool event) {
  const char* chat_object = event ? "chat.completion.chunk" : "chat.completion";
  json::object body{{"id", id},
                    {"object", request.chat ? chat_object : "text_completion"},
                    {"model", request.model.value()}};
  body["choices"] = json::array{Choice(request, part, event)};
  body["millstair"] = {{"spans", SpansJson(part.spans)}};
  return body;
}

}  // namespace

absl::StatusOr<CompletionRequest> ParseCompletion(std::string_view body, bool chat) {
  boost::system::error_code error;
  const json::value value = ParseJsonBody(body, error);
  if (error) return absl::InvalidArgumentError("not JSON: " + error.message());
  if (!value.is_object()) return absl::InvalidArgumentError("expected a JSON object");
  Reader reader(value.as_object());
  CompletionRequest request;
  request.chat = chat;
  request.model = ModelName(reader.String("model"));
  request.prompt = chat ? reader.Messages() : reader.String("prompt");
  request.max_tokens = reader.MaxTokens();
  request.stream = reader.Stream();
  if (absl::Status status = reader.status(); !status.ok()) return status;
  return request;
}

std::string CompletionEvent(const CompletionRequest& request, const std::string& id,
                            const CompletionPart& part) {
  return "data: " + json::serialize(Body(request, id, part, true)) + "\n\n";
}

std::string CompletionAnswer(const CompletionRequest& request, const std::string& id,
                             const CompletionPart& complete, uint32_t tokens) {
  json::object body = Body(request, id, complete, false);
  const uint32_t prompt_tokens = CountTokens(request.prompt);
  body["usage"] = {{"prompt_tokens", prompt_tokens},
                   {"completion_tokens", tokens},
                   {"total_tokens", prompt_tokens + tokens}};
  return json::serialize(body);
}

}  // namespace millstair
