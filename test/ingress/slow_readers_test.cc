#include <catch2/catch.hpp>
#include <optional>

#include "http/request_memory.h"
#include "ingress/forward_flow.h"
#include "ingress/stream_flow.h"
#include "test/ingress/fake_backends.h"
#include "test/ingress/flow_fixture.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = FakeAnswer::Kind;

constexpr size_t kMiB = 1024 * 1024;

/// A gateway with a bound of 4 MiB for what it holds: large responses are read up to 3 MiB.
class Fixture : public FlowFixture {
 public:
  Fixture() : FlowFixture("pages") {
    HeldBytesOptions options;
    options.bound = 4 * kMiB;
    options.now = [this] { return environment.Now(); };
    held = std::make_shared<HeldBytes>(options);
    memory.emplace(environment, held);
    context.memory = &*memory;
    route.timeout = milliseconds(2000);
    route.target = milliseconds(150);
  }

  void Forward(HttpBody body = "body") {
    ForwardRequest request = Request();
    request.http.body = std::move(body);
    forward = std::make_unique<ForwardFlow>(context, route, std::move(request),
                                            [this](ForwardResult end) { result = std::move(end); });
    forward->Start();
  }
  void Stream() {
    route.kind = RouteKind::kStream;
    stream = std::make_unique<StreamFlow>(context, route, Request(), sink,
                                          [this](StreamEnd end) { stream_end = std::move(end); });
    stream->Start();
  }
  void RunFor(Duration span) { scheduler.RunFor(span); }

  static ForwardRequest Request() {
    return {{"POST", "/p/", {}, "body"}, "h", "id", std::nullopt, {}};
  }

  std::shared_ptr<HeldBytes> held;
  std::optional<ResponseMemory> memory;
  std::unique_ptr<ForwardFlow> forward;
  std::unique_ptr<StreamFlow> stream;
  std::optional<ForwardResult> result;
  std::optional<StreamEnd> stream_end;
};

FakeAnswer Large() {
  return {Kind::kAnswer,
          200,
          {{"Content-Length", std::to_string(2 * kMiB)}},
          {std::string(kMiB, 'a'), std::string(kMiB, 'b')}};
}

FakeAnswer Events() {
  return {Kind::kAnswer, 200, {}, {"1||one\n\n", "2||two\n\n", "3||three\n\n"}};
}

// Guards against a response that fails because memory is short for a moment.
TEST_CASE("A response that does not fit is paused, and delivered once it fits") {
  Fixture fixture;
  fixture.Add("b:1", [](const HttpRequest&) { return Large(); });
  fixture.Add("b:2", [](const HttpRequest&) { return Large(); });
  std::optional<HeldBytes::Hold> others;
  others.emplace(fixture.held, 2 * kMiB);
  fixture.Forward();
  fixture.RunFor(milliseconds(1000));
  CHECK_FALSE(fixture.result);
  // A hedge would wait for the same memory.
  CHECK(fixture.backends.SentRequests() == 1);
  CHECK(fixture.backends.calls.back()->paused);
  others.reset();
  fixture.RunFor(milliseconds(100));
  REQUIRE(fixture.result);
  CHECK(fixture.result->outcome == ForwardOutcome::kAnswered);
  CHECK(fixture.result->body.size() == 2 * kMiB);
  fixture.forward.reset();
  CHECK(fixture.held->total() == 0);
}

TEST_CASE("A request whose response waits for memory still ends at its time limit") {
  Fixture fixture;
  fixture.Add("b:1", [](const HttpRequest&) { return Large(); });
  const HeldBytes::Hold others(fixture.held, 2 * kMiB);
  fixture.Forward();
  fixture.RunFor(milliseconds(2100));
  REQUIRE(fixture.result);
  CHECK(fixture.result->outcome == ForwardOutcome::kTimedOut);
  fixture.forward.reset();
  CHECK(fixture.held->total() == 2 * kMiB);
}

// Guards against requests that are not part of the sum.
TEST_CASE("The body of a request is counted while the request is in progress") {
  Fixture fixture;
  fixture.Add("b:1", [](const HttpRequest&) { return FakeAnswer{Kind::kNoResponse}; });
  const auto memory = std::make_shared<RequestMemory>(RequestMemoryOptions{.bound = kMiB});
  auto claim = std::make_shared<RequestMemory::Claim>(memory);
  claim->Request(4, [] {});
  fixture.Forward(HttpBody("body", std::move(claim)));
  fixture.RunFor(milliseconds(10));
  CHECK(memory->total() == 4);
  fixture.forward.reset();
  // The stand-in's record of its calls holds a copy.
  fixture.backends.calls.clear();
  CHECK(memory->total() == 0);
}

// Guards against bodies that fill the memory of the responses whose end alone would free them.
TEST_CASE("A request with a body above the bound gets its response") {
  Fixture fixture;
  fixture.Add("b:1", [](const HttpRequest&) { return Large(); });
  fixture.Forward(std::string(5 * kMiB, 'x'));
  fixture.RunFor(milliseconds(100));
  REQUIRE(fixture.result);
  CHECK(fixture.result->outcome == ForwardOutcome::kAnswered);
}

// Guards against back ends that look slow, and are avoided, because this gateway paused them.
TEST_CASE("A pause does not count as latency of the back end") {
  Fixture fixture;
  fixture.Add("b:1", [](const HttpRequest&) { return Large(); });
  std::optional<HeldBytes::Hold> others;
  others.emplace(fixture.held, 2 * kMiB);
  fixture.Forward();
  fixture.RunFor(milliseconds(1500));
  others.reset();
  fixture.RunFor(milliseconds(100));
  REQUIRE(fixture.result);
  // Slower than b:1 without its pause, faster than with it.
  fixture.Add("b:2", [](const HttpRequest&) { return Large(); });
  fixture.directory.Begin(InstanceId("b:2"));
  fixture.directory.End(InstanceId("b:2"), BackendEnd::kAnswered, milliseconds(400));
  const auto picked = fixture.directory.Pick(ServiceName("pages"), {});
  REQUIRE(picked);
  CHECK(picked->id == InstanceId("b:1"));
}

// Guards against a gateway that reads a stream faster than its caller.
TEST_CASE("A paused stream is not read, and delivers everything once it goes on") {
  Fixture fixture;
  fixture.Add("b:1", [](const HttpRequest&) { return Events(); });
  fixture.Stream();
  fixture.RunFor(milliseconds(7));
  CHECK(fixture.sink.text == "1||one\n\n");
  fixture.stream->SetPaused(true);
  fixture.RunFor(milliseconds(500));
  CHECK(fixture.sink.text == "1||one\n\n");
  CHECK_FALSE(fixture.stream_end);
  fixture.stream->SetPaused(false);
  fixture.RunFor(milliseconds(50));
  CHECK(fixture.sink.text == "1||one\n\n2||two\n\n3||three\n\n");
  REQUIRE(fixture.stream_end);
  CHECK(fixture.stream_end->forward.outcome == ForwardOutcome::kAnswered);
}

// Guards against a pause that is lost when the stream goes on elsewhere.
TEST_CASE("A pause also applies to the back end that the stream is resumed at") {
  Fixture fixture;
  fixture.route.resumable = true;
  bool broken = false;
  const auto script = [&broken](const HttpRequest&) {
    const bool first = !std::exchange(broken, true);
    return FakeAnswer{Kind::kAnswer, 200, {}, {first ? "1||one\n\nbad\n\n" : "2||two\n\n"}};
  };
  fixture.Add("b:1", script);
  fixture.Add("b:2", script);
  // The caller's buffer is full after the first event, and the second one is malformed.
  fixture.sink.on_events = [&fixture] { fixture.stream->SetPaused(true); };
  fixture.Stream();
  fixture.RunFor(milliseconds(500));
  CHECK(fixture.backends.SentRequests() == 2);
  CHECK(fixture.backends.calls.back()->paused);
  CHECK(fixture.sink.text == "1||one\n\n");
  fixture.stream->SetPaused(false);
  fixture.RunFor(milliseconds(50));
  CHECK(fixture.sink.text == "1||one\n\n2||two\n\n");
  fixture.stream->SetPaused(false);
  fixture.RunFor(milliseconds(50));
  REQUIRE(fixture.stream_end);
  CHECK(fixture.stream_end->forward.outcome == ForwardOutcome::kAnswered);
}

// Guards against plain responses and events without an end, which had no limit.
TEST_CASE("A streaming route bounds plain responses and single events") {
  for (const int status : {422, 200}) {
    INFO(status);
    Fixture fixture;
    fixture.Add("b:1", [status](const HttpRequest&) {
      FakeAnswer answer{Kind::kAnswer, status, {}, {}};
      answer.pieces.assign(33, std::string(kMiB, 'x'));
      answer.gap = milliseconds(1);
      return answer;
    });
    fixture.Stream();
    fixture.RunFor(milliseconds(1000));
    REQUIRE(fixture.stream_end);
    CHECK(fixture.stream_end->forward.outcome == ForwardOutcome::kFailed);
    CHECK(fixture.stream_end->forward.reason.find("exceeds 32 MiB") != std::string::npos);
    fixture.stream.reset();
    CHECK(fixture.held->total() == 0);
  }
}

}  // namespace
}  // namespace millstair
