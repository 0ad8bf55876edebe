#include <atomic>
#include <catch2/catch.hpp>

#include "bench/load/completion_stream.h"
#include "bench/load/latency_histogram.h"
#include "bench/load/live_call.h"
#include "bench/load/open_loop.h"
#include "bench/load/trace.h"
#include "emulator/model/generated_text.h"
#include "fmt/format.h"
#include "simulator/checks/call_checks.h"

namespace millstair {
namespace {

using checks::CallEnd;
using checks::CallKind;

/// Fake caller that returns a fixed reply and saves the last request.
class FixedCaller : public BlockingCaller {
 public:
  BlockingReply Call(const std::string&, const HttpRequest& request, Duration,
                     const BodyCallback& on_body) override {
    last = request;
    if (!reply.body.empty()) on_body(reply.body);
    return reply;
  }
  BlockingReply reply;
  HttpRequest last;
};

std::string SpanJson(uint32_t first, uint32_t count) {
  return fmt::format(
      R"({{"version":3,"digest":"d3","engine_incarnation":7,"first_token":{},"token_count":{}}})",
      first, count);
}

std::string Event(const std::string& text, const std::string& span, bool last) {
  return fmt::format(
      "data: {{\"choices\":[{{\"index\":0,\"text\":\"{}\",\"finish_reason\":{}}}],"
      "\"millstair\":{{\"spans\":[{}]}}}}\n\n",
      text, last ? "\"stop\"" : "null", span);
}

/// Complete response stream for `prompt` in two events; `[DONE]` follows if `done`.
std::string StreamFor(const std::string& prompt, uint32_t max_tokens, bool done) {
  const uint32_t length = GenerationLength(prompt, max_tokens);
  std::string rest;
  for (uint32_t i = 1; i < length; ++i) rest += " " + TokenText(prompt, i, WeightVersion(3));
  return Event(TokenText(prompt, 0, WeightVersion(3)), SpanJson(0, 1), false) +
         Event(rest, SpanJson(1, length - 1), true) + (done ? "data: [DONE]\n\n" : "");
}

checks::CallAttempt Send(FixedCaller& caller, const LiveCall& call) {
  const RunClock clock;
  return SendCall(caller, {"g1", "127.0.0.1:1"}, call, clock);
}

checks::CheckResult CheckOne(const checks::CallAttempt& record) {
  checks::History history;
  history.calls.push_back(record);
  return checks::CheckCompleteOwnAnswer(history, EngineOracle());
}

TEST_CASE("a complete stream is checked token by token") {
  FixedCaller caller;
  LiveCall call;
  call.kind = CallKind::kCompletion;
  call.prompt = "a prompt of five words";
  call.max_tokens = 64;
  caller.reply.status = 200;
  caller.reply.body = StreamFor(call.prompt, 64, true);
  const checks::CallAttempt record = Send(caller, call);
  REQUIRE(record.end == CallEnd::kComplete);
  REQUIRE(record.spans.size() == 1);
  REQUIRE(CheckOne(record).broken == 0);
  REQUIRE(CheckOne(record).tried == 1);

  SECTION("the response to another prompt is a violation") {
    caller.reply.body = StreamFor("someone else asked this", 64, true);
    REQUIRE(CheckOne(Send(caller, call)).broken == 1);
  }
  SECTION("a stream without its end marker is truncated") {
    caller.reply.body = StreamFor(call.prompt, 64, false);
    REQUIRE(Send(caller, call).end == CallEnd::kCut);
  }
}

TEST_CASE("a plain response must echo its own request") {
  FixedCaller caller;
  LiveCall call;
  call.kind = CallKind::kBooking;
  call.attempt_id = "t1";
  call.path = "/book/1";
  call.body = "b";
  call.key = "k1";
  caller.reply.status = 200;
  caller.reply.body = R"({"path":"/book/1","request":"t1","body":"b"})";
  REQUIRE(CheckOne(Send(caller, call)).broken == 0);
  REQUIRE(FindHeader(caller.last.headers, "Idempotency-Key") == "k1");
  caller.reply.body = R"({"path":"/book/1","request":"t2","body":"b"})";
  REQUIRE(CheckOne(Send(caller, call)).broken == 1);
}

TEST_CASE("outcome and end of a call are taken from the response") {
  FixedCaller caller;
  LiveCall call;
  call.path = "/p";
  caller.reply.status = 503;
  caller.reply.headers = {{"millstair-outcome", "not-run"}};
  checks::CallAttempt record = Send(caller, call);
  REQUIRE(record.end == CallEnd::kRefused);
  REQUIRE(record.outcome == checks::ClaimedOutcome::kNotRun);
  caller.reply = BlockingReply{};
  caller.reply.failure = CallFailure::kUnknown;
  record = Send(caller, call);
  REQUIRE(record.end == CallEnd::kUnanswered);
  REQUIRE(record.outcome == checks::ClaimedOutcome::kNone);
}

TEST_CASE("traces round-trip, and errors name their line") {
  const std::vector<TraceCall> calls = {
      {std::chrono::milliseconds(5), CallKind::kCompletion, "", "", 64, 32, 2},
      {std::chrono::milliseconds(9), CallKind::kBooking, "h", "/book", 0, 0, 3}};
  Findings findings;
  REQUIRE(ReadTrace("t", WriteTrace(calls), findings) == calls);
  REQUIRE(findings.empty());
  ReadTrace("t", WriteTrace({}) + "x,page,h,/p,0,0,0\n1,dance,h,/p,0,0,0\n1,page\n", findings);
  REQUIRE(findings.items().size() == 3);
  REQUIRE(findings.items()[1].ToString() == "t:3: kind 'dance' is unknown");
}

TEST_CASE("quantiles are accurate to one bin") {
  LatencyHistogram histogram;
  for (int i = 1; i <= 1000; ++i) histogram.Add(std::chrono::milliseconds(i));
  REQUIRE(ToSeconds(histogram.Quantile(0.5)) == Approx(0.5).epsilon(0.03));
  REQUIRE(ToSeconds(histogram.Quantile(0.99)) == Approx(0.99).epsilon(0.03));
  REQUIRE(histogram.Quantile(1.0) == std::chrono::seconds(1));
}

TEST_CASE("the open loop makes each call once, not before its due time") {
  const RunClock clock;
  const std::vector<Duration> due = PoissonArrivals(2000, Duration(0), FromSeconds(0.1), 3);
  REQUIRE(due.size() > 100);
  std::vector<std::atomic<int>> done(due.size());
  std::atomic<int> early{0};
  RunOpenLoop(
      clock, due, 4,
      [&](size_t index) {
        ++done[index];
        if (clock.Now() < due[index]) ++early;
      },
      [] { return false; });
  for (const std::atomic<int>& count : done) REQUIRE(count == 1);
  REQUIRE(early == 0);
}

}  // namespace
}  // namespace millstair
