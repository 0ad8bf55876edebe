#include "bench/load/live_call.h"

#include "bench/load/completion_stream.h"
#include "boost/json.hpp"
#include "emulator/model/generated_text.h"
#include "fmt/format.h"
#include "http/outcome.h"

namespace millstair {
namespace {

namespace json = boost::json;
using checks::CallAttempt;
using checks::CallEnd;
using checks::CallKind;
using checks::ClaimedOutcome;

constexpr int kFirstErrorStatus = 300;
constexpr const char* kEcho = "echo of this request";

std::string CompletionBody(const LiveCall& call) {
  return json::serialize(json::object{{"model", call.model},
                                      {"prompt", call.prompt},
                                      {"max_tokens", call.max_tokens},
                                      {"stream", call.stream}});
}

HttpRequest MakeRequest(const LiveCall& call) {
  HttpRequest request;
  const bool completion = call.kind == CallKind::kCompletion;
  request.method = completion || !call.body.empty() ? "POST" : "GET";
  request.target = completion ? "/v1/completions" : call.path;
  request.body = completion ? CompletionBody(call) : call.body;
  if (!call.host.empty()) request.headers.push_back({"Host", call.host});
  request.headers.push_back({"X-Request-Id", call.attempt_id});
  if (!request.body.empty()) request.headers.push_back({"Content-Type", "application/json"});
  if (!call.key.empty()) request.headers.push_back({"Idempotency-Key", call.key});
  if (call.priority > 0) {
    request.headers.push_back({"Millstair-Priority", std::to_string(call.priority)});
  }
  const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(call.timeout);
  request.headers.push_back({"Millstair-Deadline-Ms", std::to_string(deadline.count())});
  return request;
}

ClaimedOutcome OutcomeClaimed(const BlockingReply& reply) {
  const auto value = FindHeader(reply.headers, kOutcomeHeader);
  if (!value) return ClaimedOutcome::kNone;
  if (*value == OutcomeName(Outcome::kRan)) return ClaimedOutcome::kRan;
  if (*value == OutcomeName(Outcome::kNotRun)) return ClaimedOutcome::kNotRun;
  return ClaimedOutcome::kUnknown;
}

CallEnd EndOf(const BlockingReply& reply) {
  if (reply.complete()) {
    return reply.status < kFirstErrorStatus ? CallEnd::kComplete : CallEnd::kRefused;
  }
  return *reply.failure == CallFailure::kCut ? CallEnd::kCut : CallEnd::kUnanswered;
}

bool HasField(const json::object& object, const char* key, const std::string& value) {
  const json::value* found = object.if_contains(key);
  return found != nullptr && found->is_string() &&
         std::string_view(found->get_string().data(), found->get_string().size()) == value;
}

/// Whether the response of the plain server echoes `call`.
bool IsEchoOf(const LiveCall& call, const std::string& body) {
  json::error_code error;
  const json::value page = json::parse(body, error);
  if (error || !page.is_object()) return false;
  const json::object& echo = page.get_object();
  return HasField(echo, "path", call.path) && HasField(echo, "request", call.attempt_id) &&
         HasField(echo, "body", call.body);
}

void ReadPlainAnswer(const LiveCall& call, const BlockingReply& reply, CallAttempt& record) {
  record.expected_body = kEcho;
  record.body = IsEchoOf(call, reply.body) ? kEcho : reply.body;
}

void ReadCompletion(const LiveCall& call, const BlockingReply& reply, CallAttempt& record) {
  CompletionAnswer answer =
      call.stream ? ReadCompletionStream(reply.body) : ReadCompletionBody(reply.body);
  record.tokens = std::move(answer.tokens);
  record.spans = std::move(answer.spans);
  if (record.end == CallEnd::kComplete && !answer.finished) {
    record.end = CallEnd::kCut;
  }
}

}  // namespace

CallAttempt SendCall(BlockingCaller& caller, const GatewayTarget& gateway, const LiveCall& call,
                     const RunClock& clock) {
  CallAttempt record;
  record.kind = call.kind;
  record.attempt_id = call.attempt_id;
  record.key = call.key;
  record.gateway = NodeId(gateway.node);
  record.prompt = call.prompt;
  record.max_tokens = call.max_tokens;
  record.sent = clock.Now();
  const auto on_body = [&](std::string_view) {
    if (!record.first_byte) record.first_byte = clock.Now();
    return true;
  };
  const BlockingReply reply =
      caller.Call(gateway.address, MakeRequest(call), call.timeout, on_body);
  record.ended = clock.Now();
  record.status = reply.status;
  record.outcome = OutcomeClaimed(reply);
  record.end = EndOf(reply);
  if (reply.status == 0 || reply.status >= kFirstErrorStatus) return record;
  if (call.kind == CallKind::kCompletion) {
    ReadCompletion(call, reply, record);
  } else {
    ReadPlainAnswer(call, reply, record);
  }
  return record;
}

checks::TextOracle EngineOracle() {
  return {[](const std::string& prompt, uint32_t token, WeightVersion version) {
            return TokenText(prompt, token, version);
          },
          [](const std::string& prompt, uint32_t max_tokens) {
            return GenerationLength(prompt, max_tokens);
          }};
}

}  // namespace millstair
