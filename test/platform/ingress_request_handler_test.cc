#include "platform/ingress_request_handler.h"

#include <catch2/catch.hpp>

#include "test/common/log_pipe.h"
#include "test/platform/ingress_handler_fixture.h"

namespace millstair::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A request is forwarded with the tenant of its key and without the key") {
  IngressHandlerFixture fixture;
  fixture.Start();
  CHECK(fixture.Page("key-1") == 200);
  REQUIRE(fixture.backends.calls.size() == 1);
  const HttpHeaders& sent = fixture.backends.calls[0]->request.headers;
  CHECK(FindHeader(sent, "Tenant") == "t1");
  CHECK_FALSE(FindHeader(sent, "Key").has_value());
}

TEST_CASE("Destroying a node cancels its running requests") {
  IngressHandlerFixture fixture;
  fixture.Start();
  fixture.backends.Serve("b:1", [](const HttpRequest&) {
    FakeAnswer no_response;
    no_response.kind = FakeAnswer::Kind::kNoResponse;
    return no_response;
  });
  CHECK(fixture.Page("key-1") == 0);
  fixture.calls.reset();
  fixture.node.reset();
  REQUIRE(fixture.backends.calls.size() == 1);
  CHECK(fixture.backends.calls[0]->cancelled);
}

// Guards against requests on kept connections that the end of a stop cuts off.
TEST_CASE("A node that stops takes a request only if it ends before the stop does") {
  IngressHandlerFixture fixture;
  fixture.Start();
  // The limit of the route is 800 ms.
  fixture.node->SetLeaving(fixture.environment.Now() + seconds(2));
  CHECK(fixture.Page("key-1") == 200);
  fixture.scheduler.RunFor(milliseconds(1300));
  CHECK(fixture.Page("key-1") == 503);
  CHECK(fixture.backends.calls.size() == 1);
}

// Guards against calls about jobs that come late in a planned stop and are cut at its end.
TEST_CASE("A node that stops takes a call about a job only if it is answered before the end") {
  IngressHandlerFixture fixture;
  fixture.Start();
  int commands = 0;
  fixture.control.job_leader = [&commands](const GroupCommand&) {
    ++commands;
    GroupCommandReply refused;
    refused.status = absl::StatusCode::kInternal;
    return refused;
  };
  fixture.node->SetLeaving(fixture.environment.Now() + seconds(3));
  fixture.Request("GET", "/v1/lots/a?since_rev=0", "key-1");
  CHECK(commands == 1);
  fixture.scheduler.RunFor(seconds(2));
  CHECK(fixture.Request("POST", "/j/x", "key-1", "{}").status == 503);
  CHECK(fixture.Request("GET", "/v1/lots/a?since_rev=0", "key-1").status == 503);
  CHECK(fixture.Request("GET", "/v1/items/a?id=b", "key-1").status == 503);
  CHECK(fixture.Request("DELETE", "/v1/lots/a", "key-1").status == 503);
  CHECK(commands == 1);
}

TEST_CASE("Without a valid key only public routes are served") {
  IngressHandlerFixture fixture;
  fixture.Start();
  for (const char* key : {"", "key-9"}) {
    CHECK(fixture.Page(key) == 401);
    CHECK(fixture.Request("POST", "/j/x", key, "{}").status == 401);
    CHECK(fixture.Request("GET", "/v1/lots/a?since_rev=0", key).status == 401);
    CHECK(fixture.Request("GET", "/v1/items/a?id=b", key).status == 401);
    CHECK(fixture.Request("DELETE", "/v1/lots/a", key).status == 401);
    CHECK(fixture.Request("POST", "/open/x", key).status == 200);
    CHECK(fixture.Request("POST", "/nowhere/x", key).status == 404);
  }
  CHECK(fixture.backends.calls.size() == 2);
}

TEST_CASE("A removed key is rejected once the configuration is applied") {
  IngressHandlerFixture fixture;
  fixture.Start();
  CHECK(fixture.Page("key-2") == 200);
  fixture.control.Replace(Document(2, R"("key-1")"));
  fixture.scheduler.RunFor(seconds(2));
  CHECK(fixture.Page("key-2") == 401);
  CHECK(fixture.Page("key-1") == 200);
}

TEST_CASE("A node with an unconfirmed configuration admits nobody by key") {
  IngressHandlerFixture fixture;
  fixture.control.isolated = true;
  fixture.Start();
  CHECK(fixture.Page("key-1") == 503);
  fixture.control.Push();
  const Answer answer = fixture.Request("POST", "/p/x", "key-1");
  CHECK(answer.status == 503);
  CHECK(FindHeader(answer.headers, "Retry-After").has_value());
  CHECK(fixture.Request("POST", "/open/x", "").status == 200);
  CHECK(fixture.backends.calls.size() == 1);
  fixture.control.isolated = false;
  fixture.scheduler.RunFor(seconds(3));
  CHECK(fixture.Page("key-1") == 200);
}

TEST_CASE("An isolated node admits known keys and rejects unknown ones as retryable") {
  IngressHandlerFixture fixture;
  fixture.Start();
  fixture.control.isolated = true;
  fixture.scheduler.RunFor(seconds(10));
  CHECK(fixture.Page("key-1") == 200);
  CHECK(fixture.Page("key-9") == 503);
  // The route may have been added since.
  CHECK(fixture.Request("POST", "/nowhere/x", "key-1").status == 503);
}

TEST_CASE("A request whose caller disconnects is found in the log with its back end") {
  IngressHandlerFixture fixture;
  fixture.Start();
  fixture.backends.Serve("b:1", [](const HttpRequest&) {
    FakeAnswer no_response;
    no_response.kind = FakeAnswer::Kind::kNoResponse;
    return no_response;
  });
  LogPipe pipe;
  const auto answer = fixture.Send("POST", "/p/x", "key-1");
  fixture.scheduler.RunFor(milliseconds(20));
  REQUIRE(answer->on_disconnect);
  answer->on_disconnect();
  const std::string text = pipe.Read();
  CHECK(text.find("name=RequestAbandoned request=id-1 ") != std::string::npos);
  CHECK(text.find("instance=b:1 routing=1 ") != std::string::npos);
}

TEST_CASE("A streaming route's response without events is found in the log") {
  IngressHandlerFixture fixture;
  std::string document = Document(7, R"("key-1")");
  const std::string kind = R"("kind":"safe")";
  fixture.control.Replace(
      document.replace(document.find(kind), kind.size(), R"("kind":"streaming")"));
  fixture.backends.Serve("b:1", [](const HttpRequest& request) {
    const auto id = FindHeader(request.headers, "Request-Id");
    return FakeAnswer{FakeAnswer::Kind::kAnswer,
                      404,
                      {{"Request-Id", std::string(id.value_or(""))}, {"Stamp", "s"}},
                      {"whole"}};
  });
  fixture.Start();
  LogPipe pipe;
  CHECK(fixture.Page("key-1") == 404);
  CHECK(pipe.Read().find("name=RequestAnswered request=id-1 status=404 ") != std::string::npos);
}

/// Records a stream; its buffer takes one piece at a time, until the test has it read.
class OnePieceWriter : public RecordingWriter {
 public:
  explicit OnePieceWriter(std::shared_ptr<Answer> answer) : RecordingWriter(std::move(answer)) {}
  void SendBody(std::string bytes) override {
    full = true;
    RecordingWriter::SendBody(std::move(bytes));
  }
  size_t WritableBytes() const override { return full ? 0 : 1; }
  void OnWritable(std::function<void()> callback) override { on_writable = std::move(callback); }
  void Read() {
    full = false;
    on_writable();
  }

  bool full = false;
  std::function<void()> on_writable;
};

// Guards against a gateway that buffers a stream without bound for a caller that does not read.
TEST_CASE("A stream is read from its back end only as its caller reads it") {
  IngressHandlerFixture fixture;
  std::string document = Document(7, R"("key-1")");
  const std::string kind = R"("kind":"safe")";
  fixture.control.Replace(
      document.replace(document.find(kind), kind.size(), R"("kind":"streaming")"));
  fixture.backends.Serve("b:1", [](const HttpRequest& request) {
    const auto id = FindHeader(request.headers, "Request-Id");
    return FakeAnswer{FakeAnswer::Kind::kAnswer,
                      200,
                      {{"Request-Id", std::string(id.value_or(""))}, {"Stamp", "s"}},
                      {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}};
  });
  fixture.Start();
  const auto answer = std::make_shared<Answer>();
  const auto writer = std::make_shared<OnePieceWriter>(answer);
  fixture.calls->Handle(
      {"POST", "/p/x", {{"Host", "h"}, {"Request-Id", "id-1"}, {"Key", "key-1"}}, ""}, writer);
  fixture.scheduler.RunFor(std::chrono::milliseconds(200));
  CHECK(answer->body == "id: 1\ndata: a\n\n");
  writer->Read();
  fixture.scheduler.RunFor(std::chrono::milliseconds(50));
  CHECK(answer->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK_FALSE(answer->finished);
  writer->Read();
  fixture.scheduler.RunFor(std::chrono::milliseconds(50));
  CHECK(answer->finished);
}

constexpr const char* kJobBody = R"({"requests":[{"id":"a","path":"/j/1"}]})";

// Guards against a 504, after which the caller has to assume that the job may run.
TEST_CASE("A job that the leader rejects gets 503 with Retry-After") {
  IngressHandlerFixture fixture;
  fixture.control.job_leader = [](const GroupCommand& command) {
    CHECK(command.may_be_rejected);
    GroupCommandReply reply;
    reply.status = absl::StatusCode::kResourceExhausted;
    reply.not_run = true;
    reply.retry_after = milliseconds(4250);
    return reply;
  };
  fixture.Start();
  const Answer answer = fixture.Request("POST", "/j/x", "key-1", kJobBody);
  CHECK(answer.status == 503);
  CHECK(FindHeader(answer.headers, "Retry-After") == "4.250");
}

TEST_CASE("A job that another leader may still accept gets 504") {
  IngressHandlerFixture fixture;
  size_t copies = 0;
  fixture.control.job_leader = [&copies](const GroupCommand&) {
    ++copies;
    GroupCommandReply reply;
    reply.status = absl::StatusCode::kUnavailable;
    // The first reply does not say that its copy was not run.
    if (copies == 1) return reply;
    reply.status = absl::StatusCode::kResourceExhausted;
    reply.not_run = true;
    reply.retry_after = milliseconds(4250);
    return reply;
  };
  fixture.Start();
  const auto answer = fixture.Send("POST", "/j/x", "key-1", kJobBody);
  fixture.scheduler.RunFor(seconds(3));
  CHECK(copies == 2);
  CHECK(answer->status == 504);
  CHECK_FALSE(FindHeader(answer->headers, "Retry-After").has_value());
}

// Guards against answers about jobs that come faster than their callers read them.
TEST_CASE("Jobs are read at the same time as far as the memory takes their answers") {
  constexpr size_t kMiB = 1024 * 1024;
  IngressHandlerFixture fixture(4 * kMiB);
  fixture.Start();
  // Nobody replies. Three quarters of the bound are for large responses.
  std::vector<std::shared_ptr<Answer>> answers;
  for (int count = 0; count < 4; ++count) {
    answers.push_back(fixture.Send("GET", "/v1/lots/j?since_rev=0", "key-1"));
  }
  fixture.scheduler.RunFor(std::chrono::milliseconds(100));
  CHECK(fixture.held->total() == 3 * kMiB);
  CHECK(answers[2]->status == 0);
  CHECK(answers[3]->status == 503);
  CHECK(FindHeader(answers[3]->headers, "Retry-After").has_value());
  fixture.scheduler.RunFor(seconds(5));
  CHECK(fixture.held->total() == 0);
}

}  // namespace
}  // namespace millstair::platform
