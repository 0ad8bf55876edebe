#include "ingress/stream_flow.h"

#include <catch2/catch.hpp>
#include <optional>

#include "fmt/format.h"
#include "test/ingress/fake_backends.h"
#include "test/ingress/flow_fixture.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using Kind = FakeAnswer::Kind;

class Fixture : public FlowFixture {
 public:
  Fixture() : FlowFixture("engines") {
    route.kind = RouteKind::kStream;
    route.timeout = milliseconds(1000);
  }

  std::optional<StreamEnd> Run(Duration span = milliseconds(3000)) {
    std::optional<StreamEnd> end;
    flow = std::make_unique<StreamFlow>(
        context, route, ForwardRequest{{"POST", "/s/", {}, ""}, "h", "id", std::nullopt, {}}, sink,
        [&](StreamEnd result) { end = std::move(result); });
    flow->Start();
    scheduler.RunFor(span);
    return end;
  }

  std::unique_ptr<StreamFlow> flow;
};

/// Responds with events; the first call is truncated inside the second event.
FakeBackends::Script BreaksOnce(bool& broken) {
  return [&broken](const HttpRequest& request) {
    if (!std::exchange(broken, true)) {
      return FakeAnswer{Kind::kTruncatedBody, 200, {{"signature", "first"}}, {"1||one\n\n2||tw"}};
    }
    const bool resumes = FindHeader(request.headers, "resume") == "1";
    return FakeAnswer{Kind::kAnswer,
                      200,
                      {{"signature", "second"}},
                      {resumes ? "2||two\n\n" : "1||one\n\n2||two\n\n"}};
  };
}

TEST_CASE("Complete events are passed on as they arrive") {
  Fixture fixture;
  fixture.Add("e:1", [](const HttpRequest&) {
    return FakeAnswer{Kind::kAnswer, 200, {}, {"1||o", "ne\n\n2||t", "wo\n\n"}};
  });
  const auto end = fixture.Run();
  REQUIRE(end);
  CHECK(end->forward.outcome == ForwardOutcome::kAnswered);
  CHECK(end->begun);
  CHECK(fixture.sink.text == "1||one\n\n2||two\n\n");
}

TEST_CASE("An interrupted stream is resumed elsewhere after its last event, with its first head") {
  Fixture fixture;
  fixture.route.resumable = true;
  bool broken = false;
  fixture.Add("e:1", BreaksOnce(broken));
  fixture.Add("e:2", BreaksOnce(broken));
  const auto end = fixture.Run();
  REQUIRE(end);
  CHECK(end->forward.outcome == ForwardOutcome::kAnswered);
  CHECK(fixture.sink.text == "1||one\n\n2||two\n\n");
  CHECK(fixture.sink.heads == 1);
  CHECK(FindHeader(fixture.sink.head.headers, "signature") == "first");
}

TEST_CASE("An interrupted stream that is not resumable fails and is not run again") {
  Fixture fixture;
  bool broken = false;
  fixture.Add("e:1", BreaksOnce(broken));
  fixture.Add("e:2", BreaksOnce(broken));
  const auto end = fixture.Run();
  REQUIRE(end);
  CHECK(end->forward.outcome == ForwardOutcome::kFailed);
  CHECK(end->begun);
  CHECK(fixture.sink.text == "1||one\n\n");
  CHECK(fixture.backends.SentRequests() == 1);
}

TEST_CASE("A run that restarts at the first event never causes duplicate events") {
  Fixture fixture;
  fixture.route.resumable = true;
  fixture.route.attempts = 2;
  bool broken = false;
  const auto script = [&broken](const HttpRequest&) {
    const bool first = !std::exchange(broken, true);
    return FakeAnswer{first ? Kind::kTruncatedBody : Kind::kAnswer, 200, {}, {"1||one\n\n"}};
  };
  fixture.Add("e:1", script);
  fixture.Add("e:2", script);
  const auto end = fixture.Run();
  REQUIRE(end);
  CHECK(end->forward.outcome == ForwardOutcome::kFailed);
  CHECK(fixture.sink.text == "1||one\n\n");
}

TEST_CASE("A refused stream is retried, and reported as not run if all back ends refuse it") {
  Fixture fixture;
  fixture.Add("e:1", [](const HttpRequest&) {
    return FakeAnswer{Kind::kAnswer, 503, {{"refused", "1"}}, {}};
  });
  auto end = fixture.Run();
  REQUIRE(end);
  CHECK(end->forward.outcome == ForwardOutcome::kNotRun);
  CHECK_FALSE(end->begun);
  fixture.Add("e:2", [](const HttpRequest&) {
    return FakeAnswer{Kind::kAnswer, 200, {}, {"1||one\n\n"}};
  });
  end = fixture.Run();
  REQUIRE(end);
  CHECK(end->forward.outcome == ForwardOutcome::kAnswered);
}

TEST_CASE("A response that is not an event stream is passed on complete") {
  Fixture fixture;
  fixture.Add("e:1", [](const HttpRequest&) {
    return FakeAnswer{Kind::kAnswer, 422, {}, {"not", " so"}};
  });
  const auto end = fixture.Run();
  REQUIRE(end);
  CHECK_FALSE(end->begun);
  CHECK(end->forward.head.status == 422);
  CHECK(end->forward.body == "not so");
}

TEST_CASE("A stream ends at its time limit and is cancelled at its back end") {
  Fixture fixture;
  fixture.Add("e:1", [](const HttpRequest&) {
    FakeAnswer answer{Kind::kAnswer, 200, {}, {"1||one\n\n", "2||two\n\n"}};
    answer.gap = milliseconds(1500);
    return answer;
  });
  const auto end = fixture.Run();
  REQUIRE(end);
  CHECK(end->forward.outcome == ForwardOutcome::kTimedOut);
  CHECK(fixture.sink.text == "1||one\n\n");
  CHECK(fixture.backends.calls[0]->cancelled);
}

// A stream waits for its deadline at a silent back end, and the next one must not go there again.
TEST_CASE("A stream without a byte ejects its back end, and one that has begun does not") {
  const bool begins = GENERATE(false, true);
  Fixture fixture;
  fixture.route.target = milliseconds(150);
  fixture.route.attempts = 1;
  const auto script = [begins](const HttpRequest&) {
    FakeAnswer answer{Kind::kAnswer, 200, {}, {"1||one\n\n", "2||two\n\n"}};
    if (!begins) answer.kind = Kind::kNoResponse;
    answer.gap = milliseconds(5000);
    return answer;
  };
  fixture.Add("e:1", script);
  fixture.Add("e:2", script);
  const auto end = fixture.Run(milliseconds(1001));
  REQUIRE(end);
  CHECK(end->forward.outcome == ForwardOutcome::kTimedOut);
  CHECK(end->begun == begins);
  CHECK(fixture.directory.Ejected(end->forward.instance) == !begins);
}

// A back end that is busy with long streams must not be ejected because the next one has to wait.
TEST_CASE("A back end that sends events of another stream is not silent") {
  Fixture fixture;
  fixture.route.target = milliseconds(150);
  fixture.route.attempts = 1;
  fixture.Add("e:1", [&](const HttpRequest&) {
    const bool first = fixture.backends.calls.size() == 1;
    FakeAnswer answer{first ? Kind::kAnswer : Kind::kNoResponse, 200, {}, {}};
    for (int i = 1; i <= 30; ++i) answer.pieces.push_back(fmt::format("{}||x\n\n", i));
    answer.gap = milliseconds(100);
    return answer;
  });
  fixture.route.timeout = milliseconds(5000);
  StreamRecorder other_sink;
  StreamFlow other(fixture.context, fixture.route,
                   ForwardRequest{{"POST", "/s/", {}, ""}, "h", "other", std::nullopt, {}},
                   other_sink, [](const StreamEnd&) {});
  other.Start();
  fixture.scheduler.RunFor(milliseconds(50));
  fixture.route.timeout = milliseconds(1000);
  fixture.Run(milliseconds(20));
  REQUIRE(fixture.backends.CountAt("e:1") == 2);
  // Ejecting the first one is possible only with an alternative.
  fixture.Add("e:2", [](const HttpRequest&) { return FakeAnswer{}; });
  fixture.scheduler.RunFor(milliseconds(1000));
  CHECK(fixture.sink.heads == 0);
  CHECK_FALSE(fixture.directory.Ejected(InstanceId("e:1")));
}

// Guards against retries that multiply the load of back ends that refuse everything.
TEST_CASE("A stream is sent a bounded number of times") {
  const bool admission = GENERATE(false, true);
  Fixture fixture;
  fixture.route.timeout = milliseconds(5000);
  AdmissionControl control(fixture.environment, fixture.directory, nullptr);
  if (admission) fixture.context.admission = &control;
  fixture.Add("a:1", [](const HttpRequest&) {
    return FakeAnswer{Kind::kAnswer, 503, {{"refused", "1"}}, {""}};
  });
  const auto end = fixture.Run(milliseconds(6000));
  REQUIRE(end);
  CHECK(end->forward.outcome == ForwardOutcome::kNotRun);
  CHECK(end->forward.retry_after >= milliseconds(20));
  CHECK(fixture.backends.SentRequests() <= fixture.route.attempts + 4);
  if (!admission) CHECK(fixture.backends.SentRequests() == fixture.route.attempts + 4);
  fixture.flow.reset();
}

// Guards against streams that pass by the limit, and against queued ones that outlive their caller.
TEST_CASE(
    "With admission, a stream waits for the limit of its back end and leaves with its caller") {
  Fixture fixture;
  AdmissionControl control(fixture.environment, fixture.directory, nullptr);
  fixture.context.admission = &control;
  fixture.route.target = milliseconds(150);
  fixture.Add("a:1", [](const HttpRequest&) {
    return FakeAnswer{Kind::kAnswer, 200, {}, {"1||one\n\n"}};
  });
  SendRateLimit& limit = control.limits().Of(InstanceId("a:1"));
  control.limits().RecordRefused(InstanceId("a:1"));
  for (int i = 0; i < 10; ++i) limit.RecordInTime(fixture.environment.Now());
  CHECK_FALSE(fixture.Run(milliseconds(10)));
  CHECK(fixture.backends.SentRequests() == 0);
  CHECK(control.Of(ServiceName("engines")).queued() == 1);
  fixture.flow.reset();
  CHECK(control.Of(ServiceName("engines")).queued() == 0);
  const auto end = fixture.Run();
  REQUIRE(end);
  CHECK(end->forward.outcome == ForwardOutcome::kAnswered);
  fixture.flow.reset();
}

// Guards against streams that are cut because they can't be resumed at once.
TEST_CASE("With admission, a stream that has begun waits for its back ends until its deadline") {
  const bool restart = GENERATE(false, true);
  Fixture fixture;
  AdmissionControl control(fixture.environment, fixture.directory, nullptr);
  fixture.context.admission = &control;
  fixture.route.resumable = true;
  fixture.route.timeout = milliseconds(10000);
  fixture.route.target = milliseconds(150);
  bool broken = false;
  fixture.Add("e:1", [script = BreaksOnce(broken)](const HttpRequest& request) {
    FakeAnswer answer = script(request);
    // The first run is lost after 7 s, beyond half of the time limit.
    if (answer.kind == Kind::kTruncatedBody) answer.gap = milliseconds(7000);
    return answer;
  });
  std::optional<StreamEnd> end;
  fixture.flow = std::make_unique<StreamFlow>(
      fixture.context, fixture.route,
      ForwardRequest{{"POST", "/s/", {}, ""}, "h", "id", std::nullopt, {}}, fixture.sink,
      [&](StreamEnd result) { end = std::move(result); });
  fixture.flow->Start();
  fixture.scheduler.RunFor(milliseconds(6900));
  if (restart) {
    fixture.configuration.instances.clear();
    fixture.directory.Update(fixture.configuration);
  } else {
    SendRateLimit& limit = control.limits().Of(InstanceId("e:1"));
    control.limits().RecordRefused(InstanceId("e:1"));
    for (int i = 0; i < 4; ++i) limit.RecordInTime(fixture.environment.Now());
  }
  fixture.scheduler.RunFor(milliseconds(200));
  REQUIRE_FALSE(end);
  if (restart) fixture.Add("e:2", BreaksOnce(broken));
  fixture.scheduler.RunFor(milliseconds(2000));
  REQUIRE(end);
  CHECK(end->forward.outcome == ForwardOutcome::kAnswered);
  CHECK(fixture.sink.text == "1||one\n\n2||two\n\n");
  fixture.flow.reset();
}

}  // namespace
}  // namespace millstair
