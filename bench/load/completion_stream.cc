#include "bench/load/completion_stream.h"

#include "simulator/checks/token_text.h"

namespace millstair {
namespace {

namespace json = boost::json;
using checks::ClaimedSpan;

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kDone = "[DONE]";

uint64_t Number(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_number()) return 0;
  json::error_code error;
  const auto number = value->to_number<uint64_t>(error);
  return error ? 0 : number;
}

std::string Text(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

bool AreAdjacent(const ClaimedSpan& last, const ClaimedSpan& next) {
  return last.version == next.version && last.digest == next.digest &&
         last.engine_incarnation == next.engine_incarnation &&
         last.first_token + last.token_count == next.first_token;
}

/// Appends one event or body; true if its finish reason is "stop".
bool AppendPart(const json::object& part, CompletionAnswer& answer) {
  const json::value* choices = part.if_contains("choices");
  if (choices == nullptr || !choices->is_array() || choices->get_array().empty() ||
      !choices->get_array()[0].is_object()) {
    return false;
  }
  const json::object& choice = choices->get_array()[0].get_object();
  for (std::string& token : checks::SplitTokens(Text(choice, "text"))) {
    answer.tokens.push_back(std::move(token));
  }
  const json::value* own = part.if_contains("millstair");
  if (own != nullptr && own->is_object()) {
    const json::value* spans = own->get_object().if_contains("spans");
    if (spans != nullptr && spans->is_array()) AppendSpans(spans->get_array(), answer.spans);
  }
  return Text(choice, "finish_reason") == "stop";
}

}  // namespace

void AppendSpans(const json::array& array, std::vector<ClaimedSpan>& spans) {
  for (const json::value& item : array) {
    if (!item.is_object()) continue;
    const json::object& object = item.get_object();
    const ClaimedSpan span{WeightVersion(Number(object, "version")),
                           WeightDigest(Text(object, "digest")),
                           Incarnation(Number(object, "engine_incarnation")),
                           static_cast<uint32_t>(Number(object, "first_token")),
                           static_cast<uint32_t>(Number(object, "token_count"))};
    if (!spans.empty() && AreAdjacent(spans.back(), span)) {
      spans.back().token_count += span.token_count;
    } else {
      spans.push_back(span);
    }
  }
}

CompletionAnswer ReadCompletionStream(std::string_view body) {
  CompletionAnswer answer;
  bool stopped = false;
  while (!body.empty()) {
    const size_t end = body.find("\n\n");
    std::string_view event = body.substr(0, end);
    body = end == std::string_view::npos ? std::string_view() : body.substr(end + 2);
    if (!event.starts_with(kDataPrefix)) continue;
    event.remove_prefix(kDataPrefix.size());
    if (event == kDone) {
      answer.finished = stopped;
      continue;
    }
    json::error_code error;
    const json::value value = json::parse({event.data(), event.size()}, error);
    if (!error && value.is_object()) stopped = AppendPart(value.get_object(), answer) || stopped;
  }
  return answer;
}

CompletionAnswer ReadCompletionBody(std::string_view body) {
  CompletionAnswer answer;
  json::error_code error;
  const json::value value = json::parse({body.data(), body.size()}, error);
  if (!error && value.is_object()) answer.finished = AppendPart(value.get_object(), answer);
  return answer;
}

}  // namespace millstair
