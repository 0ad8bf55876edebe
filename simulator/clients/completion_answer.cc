#include "simulator/clients/completion_answer.h"

#include <string_view>

#include "simulator/checks/token_text.h"
#include "simulator/clients/span_json.h"

namespace millstair::simulator {
namespace {

/// Appends a span, merged with the last one if it continues it; each event has its own spans.
void AddSpan(std::vector<checks::ClaimedSpan>& spans, const checks::ClaimedSpan& span) {
  if (!spans.empty()) {
    checks::ClaimedSpan& last = spans.back();
    const bool same = last.version == span.version && last.digest == span.digest &&
                      last.engine_incarnation == span.engine_incarnation;
    if (same && last.first_token + last.token_count == span.first_token) {
      last.token_count += span.token_count;
      return;
    }
  }
  spans.push_back(span);
}

void ReadObject(std::string_view text, checks::CallAttempt& call) {
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse({text.data(), text.size()}, error);
  if (error || !value.is_object()) return;
  const boost::json::object& object = value.as_object();
  if (const auto* choices = object.if_contains("choices");
      choices != nullptr && choices->is_array() && !choices->as_array().empty()) {
    const boost::json::value& choice = choices->as_array()[0];
    if (choice.is_object()) {
      for (std::string& token : checks::SplitTokens(TextIn(choice.as_object(), "text"))) {
        call.tokens.push_back(std::move(token));
      }
    }
  }
  const boost::json::value* own = object.if_contains("millstair");
  if (own == nullptr || !own->is_object()) return;
  for (const checks::ClaimedSpan& span : ReadSpans(own->as_object().if_contains("spans"))) {
    AddSpan(call.spans, span);
  }
}

/// Reads server-sent events; returns whether the end marker was received.
bool ReadEvents(std::string_view body, checks::CallAttempt& call) {
  constexpr std::string_view kData = "data: ";
  bool done = false;
  size_t begin = 0;
  while (begin < body.size()) {
    const size_t end = std::min(body.find('\n', begin), body.size());
    std::string_view line = body.substr(begin, end - begin);
    begin = end + 1;
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (!line.starts_with(kData)) continue;
    line.remove_prefix(kData.size());
    if (line == "[DONE]") {
      done = true;
    } else {
      ReadObject(line, call);
    }
  }
  return done;
}

}  // namespace

void ReadCompletion(const CompleteAnswer& answer, checks::CallAttempt& call) {
  const auto type = FindHeader(answer.headers, "Content-Type");
  if (!type || !type->starts_with("text/event-stream")) {
    ReadObject(answer.body, call);
    return;
  }
  if (!ReadEvents(answer.body, call)) call.end = checks::CallEnd::kCut;
}

}  // namespace millstair::simulator
