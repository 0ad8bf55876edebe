#include "simulator/clients/callers.h"

#include <cmath>
#include <utility>

#include "boost/json.hpp"
#include "common/random.h"
#include "fmt/format.h"
#include "simulator/clients/completion_answer.h"

namespace millstair::simulator {
namespace {

using checks::CallAttempt;
using checks::CallEnd;
using checks::CallKind;

constexpr Duration kRequestTimeout = std::chrono::seconds(40);
constexpr Duration kResendDelay = std::chrono::seconds(1);
constexpr uint32_t kMaxBookingAttempts = 4;
/// Share of bookings sent through two gateways at once.
constexpr double kDuplicateShare = 0.05;
/// Share of callers that may disconnect before their response.
constexpr double kAbandonShare = 0.02;
constexpr Duration kAbandonDelay = std::chrono::milliseconds(300);
constexpr double kStreamingShare = 0.5;
/// Prompts begin with one of kPrefixCount shared prefixes of kPrefixWords words.
constexpr int kPrefixWords = 48;
constexpr uint64_t kPrefixCount = 12;
constexpr uint64_t kMinMaxTokens = 8;

std::string Slug(CallKind kind) {
  switch (kind) {
    case CallKind::kCompletion:
      return "completion";
    case CallKind::kPage:
      return "page";
    case CallKind::kLookup:
      return "lookup";
    case CallKind::kBooking:
      break;
  }
  return "booking";
}

/// Response body of a plain server to this request, limited to fields known to the caller.
std::string ExpectedBody(const HttpRequest& request) {
  return fmt::format("{}|{}|{}|{}|{}", request.method, request.target,
                     FindHeader(request.headers, "Idempotency-Key").value_or(""),
                     FindHeader(request.headers, "X-Request-Id").value_or(""), request.body.str());
}

/// The same fields of a received response; the raw body if it has another format.
std::string ComparableBody(const std::string& body) {
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(body, error);
  if (error || !value.is_object()) return body;
  std::string comparable;
  for (const char* field : {"method", "path", "key", "request", "body"}) {
    const boost::json::value* found = value.as_object().if_contains(field);
    if (found == nullptr || !found->is_string()) return body;
    if (!comparable.empty()) comparable += '|';
    comparable += found->as_string().c_str();
  }
  return comparable;
}

void HandleAnswer(CallAttempt& call, const CompleteAnswer& answer, Duration now) {
  call.ended = now;
  call.first_byte = answer.first_byte;
  call.status = answer.status;
  call.outcome = ParseOutcome(answer.headers);
  switch (answer.end) {
    case AnswerEnd::kComplete:
      call.end = answer.status < 400 ? CallEnd::kComplete : CallEnd::kRefused;
      break;
    case AnswerEnd::kCut:
      call.end = CallEnd::kCut;
      break;
    case AnswerEnd::kNone:
    case AnswerEnd::kNotSent:
      call.end = CallEnd::kUnanswered;
      break;
  }
  if (call.end != CallEnd::kComplete) {
    call.body = answer.body;
    return;
  }
  if (call.kind == CallKind::kCompletion) {
    ReadCompletion(answer, call);
  } else {
    call.body = ComparableBody(answer.body);
  }
}

}  // namespace

Callers::Callers(RunContext& context, const DeploymentPlan& plan, const LiveLoad& load,
                 PromptRegistry& prompts)
    : context_(context),
      plan_(plan),
      load_(load),
      prompts_(prompts),
      random_(context.DrawSeed()),
      client_(context, context.network.AddHost("callers", plan.latencies.clients)) {}

void Callers::Start(Duration until) {
  until_ = until;
  ScheduleNext(CallKind::kCompletion, load_.completions);
  ScheduleNext(CallKind::kPage, load_.pages);
  ScheduleNext(CallKind::kLookup, load_.lookups);
  ScheduleNext(CallKind::kBooking, load_.bookings);
}

void Callers::ScheduleNext(CallKind kind, double rate) {
  if (rate <= 0) return;
  const double wait = -std::log(1.0 - DrawUnit(random_)) / rate;
  context_.scheduler.Schedule(FromSeconds(wait), [this, kind, rate] {
    if (context_.Now() >= until_) return;
    Arrive(kind);
    ScheduleNext(kind, rate);
  });
}

size_t Callers::DrawGateway() { return DrawBelow(random_, plan_.gateways.size()); }

std::string Callers::NextAttemptId(std::string_view kind) {
  return fmt::format("{}-{}", kind, next_attempt_++);
}

std::string Callers::NextPrompt() {
  std::string prompt;
  const uint64_t prefix = DrawBelow(random_, kPrefixCount);
  for (int i = 0; i < kPrefixWords; ++i) prompt += fmt::format("live{}w{} ", prefix, i);
  return prompt + fmt::format("question {}", next_attempt_);
}

void Callers::Arrive(CallKind kind) {
  switch (kind) {
    case CallKind::kCompletion:
      SendCompletion(NextPrompt());
      return;
    case CallKind::kPage:
    case CallKind::kLookup:
      SendPlain(kind);
      return;
    case CallKind::kBooking:
      break;
  }
  const Booking booking{fmt::format("b{}", next_attempt_), 0};
  const size_t gateway = DrawGateway();
  SendBooking(booking, gateway);
  if (!DrawChance(random_, kDuplicateShare)) return;
  // The duplicate is not resent.
  SendBooking({booking.id, kMaxBookingAttempts}, (gateway + 1) % plan_.gateways.size());
}

void Callers::SendCompletion(const std::string& prompt) {
  CallAttempt call;
  call.kind = CallKind::kCompletion;
  call.attempt_id = NextAttemptId("completion");
  call.prompt = prompt;
  call.max_tokens =
      static_cast<uint32_t>(kMinMaxTokens + DrawBelow(random_, load_.completion_max_tokens));
  prompts_.Add(prompt);
  HttpRequest request{"POST", "/v1/completions", {}, ""};
  request.headers = {{"Host", "text.example"},
                     {"Content-Type", "application/json"},
                     {"X-Request-Id", call.attempt_id}};
  request.body =
      boost::json::serialize(boost::json::object{{"model", plan_.model.value()},
                                                 {"prompt", prompt},
                                                 {"max_tokens", call.max_tokens},
                                                 {"stream", DrawChance(random_, kStreamingShare)}});
  Send(std::move(call), DrawGateway(), std::move(request), nullptr);
}

void Callers::SendPlain(CallKind kind) {
  CallAttempt call;
  call.kind = kind;
  call.attempt_id = NextAttemptId(Slug(kind));
  const std::string folder = kind == CallKind::kPage ? "/gallery/" : "/lookup/";
  HttpRequest request{"GET", folder + call.attempt_id, {}, ""};
  request.headers = {{"Host", "web.example"}, {"X-Request-Id", call.attempt_id}};
  call.expected_body = ExpectedBody(request);
  Send(std::move(call), DrawGateway(), std::move(request), nullptr);
}

void Callers::SendBooking(Booking booking, size_t gateway) {
  CallAttempt call;
  call.kind = CallKind::kBooking;
  call.attempt_id = NextAttemptId("booking");
  call.key = "key-" + booking.id;
  HttpRequest request{"POST", "/bookings/" + booking.id, {}, "confirm " + booking.id};
  request.headers = {{"Host", "web.example"},
                     {"Content-Type", "text/plain"},
                     {"Idempotency-Key", call.key},
                     {"X-Request-Id", call.attempt_id}};
  call.expected_body = ExpectedBody(request);
  ++booking.attempts;
  Send(std::move(call), gateway, std::move(request),
       [this, booking, gateway](const CallAttempt& ended, const CompleteAnswer& answer) {
         OnBookingEnded(booking, gateway, ended, answer);
       });
}

void Callers::OnBookingEnded(const Booking& booking, size_t gateway, const CallAttempt& call,
                             const CompleteAnswer& answer) {
  constexpr int kConflict = 409;
  const bool settled = call.end == CallEnd::kComplete || answer.status == kConflict;
  if (settled || booking.attempts >= kMaxBookingAttempts) return;
  context_.scheduler.Schedule(kResendDelay, [this, booking, gateway] {
    SendBooking(booking, (gateway + 1) % plan_.gateways.size());
  });
}

void Callers::Send(CallAttempt call, size_t gateway, HttpRequest request,
                   std::function<void(const CallAttempt&, const CompleteAnswer&)> ended) {
  call.sent = context_.Now();
  const size_t index = context_.history.calls.size();
  context_.history.calls.push_back(std::move(call));
  Connect(index, gateway, plan_.gateways.size() - 1, std::move(request), std::move(ended));
  if (!DrawChance(random_, kAbandonShare)) return;
  context_.scheduler.Schedule(kAbandonDelay, [this, index] {
    CallAttempt& recorded = context_.history.calls[index];
    if (recorded.ended) return;
    recorded.end = CallEnd::kAbandoned;
    recorded.ended = context_.Now();
    client_.Cancel(in_flight_[index]);
    in_flight_.erase(index);
  });
}

void Callers::Connect(size_t index, size_t gateway, size_t left, HttpRequest request,
                      std::function<void(const CallAttempt&, const CompleteAnswer&)> ended) {
  const NodePlan& target = plan_.gateways[gateway];
  context_.history.calls[index].gateway = target.node;
  HttpRequest copy = request;
  in_flight_[index] = client_.Send(
      target.http_address, std::move(copy), kRequestTimeout,
      [this, index, gateway, left, request = std::move(request),
       ended = std::move(ended)](const CompleteAnswer& answer) {
        if (answer.end == AnswerEnd::kNotSent && left > 0) {
          Connect(index, (gateway + 1) % plan_.gateways.size(), left - 1, request, ended);
          return;
        }
        in_flight_.erase(index);
        HandleAnswer(context_.history.calls[index], answer, context_.Now());
        const CallAttempt recorded = context_.history.calls[index];
        if (ended) ended(recorded, answer);
      });
}

}  // namespace millstair::simulator
