#include "ctl/control_api.h"

#include <catch2/catch.hpp>
#include <deque>
#include <sstream>

#include "ctl/commands.h"
#include "fmt/format.h"
#include "resources/resource_codec.h"

namespace millstair {
namespace {

constexpr const char* kMachine =
    R"({"kind":"Machine","name":"m","version":7,"spec":{"zone":"a","address":"127.0.0.1"}})";

struct SentCall {
  std::string server;
  HttpRequest request;
};

/// Returns scripted replies in order.
class FakeCaller : public BlockingCaller {
 public:
  using BlockingCaller::Call;
  BlockingReply Call(const std::string& address, const HttpRequest& request, Duration,
                     const BodyCallback&) override {
    sent.push_back({address, request});
    if (replies.empty()) return Lost();
    BlockingReply reply = replies.front();
    replies.pop_front();
    return reply;
  }

  static BlockingReply Answer(int status, std::string body) {
    BlockingReply reply;
    reply.status = status;
    reply.body = std::move(body);
    return reply;
  }
  static BlockingReply Lost() {
    BlockingReply reply;
    reply.failure = CallFailure::kUnknown;
    reply.reason = "lost";
    return reply;
  }

  std::deque<BlockingReply> replies;
  std::vector<SentCall> sent;
};

std::string KeyOf(const SentCall& call) {
  return std::string(FindHeader(call.request.headers, "Idempotency-Key").value_or(""));
}

struct Fixture {
  Fixture() : api(caller, Options(), [](Duration) {}) {}

  static ControlApiOptions Options() {
    ControlApiOptions options;
    options.servers = {"127.0.0.1:1", "127.0.0.1:2"};
    options.timeout = std::chrono::seconds(1);
    return options;
  }

  /// Runs a command line; its output is in `out` and `err`.
  ExitCode Run(const std::vector<std::string>& line) {
    absl::StatusOr<CtlOptions> parsed = ParseCtlOptions(line);
    REQUIRE(parsed.ok());
    Duration now{0};
    CommandContext context{
        api, *parsed, out, err, [&](Duration time) { now += time; }, [&] { return now; }};
    return RunCommand(context);
  }

  FakeCaller caller;
  ControlApi api;
  std::ostringstream out;
  std::ostringstream err;
};

TEST_CASE("a change without a response is resent with the same key to the next server") {
  Fixture fixture;
  fixture.caller.replies = {FakeCaller::Answer(200, R"({"session":"s1"})"), FakeCaller::Lost(),
                            FakeCaller::Answer(503, R"({"detail":"no leader"})"),
                            FakeCaller::Answer(200, R"({"revision":9})"),
                            FakeCaller::Answer(200, R"({"revision":10})")};
  const ResourceKey key{ResourceKind::kMachine, "m"};
  const auto first = fixture.api.Delete(key, Revision(7));
  REQUIRE(first.ok());
  REQUIRE(first->revision == Revision(9));
  REQUIRE(fixture.api.Delete(key, std::nullopt).ok());
  const std::vector<SentCall>& sent = fixture.caller.sent;
  REQUIRE(sent.size() == 5);
  REQUIRE(KeyOf(sent[1]) == "s1/1");
  REQUIRE(KeyOf(sent[2]) == "s1/1");
  REQUIRE(KeyOf(sent[3]) == "s1/1");
  REQUIRE(KeyOf(sent[4]) == "s1/2");
  REQUIRE(sent[1].server != sent[2].server);
  REQUIRE(FindHeader(sent[1].request.headers, "If-Match") == "\"7\"");
}

TEST_CASE("a conflict returns the stored resource") {
  Fixture fixture;
  fixture.caller.replies = {
      FakeCaller::Answer(200, R"({"session":"s1"})"),
      FakeCaller::Answer(412, fmt::format(R"({{"conflicting":[{}]}})", kMachine))};
  REQUIRE(fixture.Run({"delete", "Machine", "m", "--revision", "3"}) == ExitCode::kConflict);
  REQUIRE(fixture.err.str().find("version: 7") != std::string::npos);
}

TEST_CASE("each kind of failure has its own exit code") {
  Fixture fixture;
  SECTION("not found") {
    fixture.caller.replies = {FakeCaller::Answer(404, R"({"detail":"no such Machine"})")};
    REQUIRE(fixture.Run({"get", "Machine", "x"}) == ExitCode::kNotFound);
    REQUIRE(fixture.err.str() == "no such Machine\n");
  }
  SECTION("nobody answers") {
    REQUIRE(fixture.Run({"status"}) == ExitCode::kUnanswered);
    REQUIRE(fixture.caller.sent.size() >= 2);
  }
  SECTION("session expired") {
    fixture.caller.replies = {FakeCaller::Answer(200, R"({"session":"s1"})"),
                              FakeCaller::Answer(410, R"({"detail":"expired"})")};
    REQUIRE(fixture.Run({"delete", "Machine", "x"}) == ExitCode::kRefused);
  }
  SECTION("session expired, and an earlier send may have run") {
    BlockingReply expired = FakeCaller::Answer(410, R"({"detail":"expired"})");
    expired.headers = {{"Millstair-Outcome", "unknown"}};
    fixture.caller.replies = {FakeCaller::Answer(200, R"({"session":"s1"})"), expired};
    REQUIRE(fixture.Run({"delete", "Machine", "x"}) == ExitCode::kUnanswered);
  }
  SECTION("invalid") {
    fixture.caller.replies = {FakeCaller::Answer(400, R"({"detail":"bad"})")};
    REQUIRE(fixture.Run({"get", "Machine"}) == ExitCode::kInvalid);
  }
  SECTION("unknown kind") { REQUIRE(fixture.Run({"get", "Fleet"}) == ExitCode::kUsage); }
}

TEST_CASE("wait lists the nodes that have not applied the revision") {
  Fixture fixture;
  const std::string behind = R"({"lagging":[{"node":"g2","revision":4,"reason":"no heartbeat"}]})";
  SECTION("until none is left") {
    fixture.caller.replies = {FakeCaller::Answer(200, behind),
                              FakeCaller::Answer(200, R"({"lagging":[]})")};
    REQUIRE(fixture.Run({"wait", "--revision", "5"}) == ExitCode::kOk);
    REQUIRE(fixture.caller.sent[0].request.target == "/v1/revisions/5/lagging");
  }
  SECTION("or the time is over") {
    for (int i = 0; i < 10; ++i) {
      fixture.caller.replies.push_back(FakeCaller::Answer(200, behind));
    }
    REQUIRE(fixture.Run({"wait", "--revision", "5", "--timeout", "1s"}) == ExitCode::kLagging);
    REQUIRE(fixture.err.str().find("g2") != std::string::npos);
    REQUIRE(fixture.err.str().find("no heartbeat") != std::string::npos);
  }
}

TEST_CASE("drain expects the stored version and retries after a conflict") {
  Fixture fixture;
  fixture.caller.replies = {
      FakeCaller::Answer(200, kMachine), FakeCaller::Answer(200, R"({"session":"s1"})"),
      FakeCaller::Answer(412, fmt::format(R"({{"conflicting":[{}]}})", kMachine)),
      FakeCaller::Answer(200, kMachine), FakeCaller::Answer(200, R"({"revision":12})")};
  REQUIRE(fixture.Run({"drain", "Machine/m"}) == ExitCode::kOk);
  const HttpRequest& last = fixture.caller.sent.back().request;
  REQUIRE(last.target == "/v1/apply");
  REQUIRE(last.body.str().find(R"("drain":true)") != std::string::npos);
  REQUIRE(last.body.str().find(R"("expected":7)") != std::string::npos);
  REQUIRE(KeyOf(fixture.caller.sent.back()) == "s1/2");
}

TEST_CASE("servers must be IP addresses with ports") {
  REQUIRE(ParseCtlOptions({"status", "-s", "127.0.0.1:1", "-s", "[::1]:2"})->servers.size() == 2);
  REQUIRE_FALSE(ParseCtlOptions({"status", "-s", "localhost:1"}).ok());
  REQUIRE_FALSE(ParseCtlOptions({"status", "--timeout", "3"}).ok());
  REQUIRE_FALSE(ParseCtlOptions({"start"}).ok());
  REQUIRE_FALSE(ParseCtlOptions({"status", "-o", "xml"}).ok());
  REQUIRE(ParseCtlOptions({"--help"})->help);
}

}  // namespace
}  // namespace millstair
