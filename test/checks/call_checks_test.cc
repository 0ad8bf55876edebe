#include "simulator/checks/call_checks.h"

#include <catch2/catch.hpp>

namespace millstair::checks {
namespace {

TextOracle MakeOracle() {
  return {[](const std::string& prompt, uint32_t token, WeightVersion version) {
            return prompt + std::to_string(token) + "v" + std::to_string(version.value());
          },
          [](const std::string&, uint32_t max_tokens) { return max_tokens; }};
}

CallAttempt MakePage(const std::string& id, const std::string& body) {
  CallAttempt call{.kind = CallKind::kPage, .attempt_id = id, .expected_body = "page " + id};
  call.end = CallEnd::kComplete;
  call.status = 200;
  call.body = body;
  return call;
}

CallAttempt MakeCompletion(std::vector<std::string> tokens) {
  CallAttempt call{
      .kind = CallKind::kCompletion, .attempt_id = "t", .prompt = "p", .max_tokens = 2};
  call.end = CallEnd::kComplete;
  call.status = 200;
  call.tokens = std::move(tokens);
  return call;
}

TEST_CASE("the response to another request is detected") {
  History history;
  history.calls = {MakePage("1", "page 1")};
  REQUIRE(CheckCompleteOwnAnswer(history, MakeOracle()).broken == 0);
  history.calls.push_back(MakePage("2", "page 1"));
  REQUIRE(CheckCompleteOwnAnswer(history, MakeOracle()).broken == 1);
}

TEST_CASE("a completion must be complete and from published weights") {
  History history;
  history.publishes = {{ModelName("m"), WeightVersion(4), WeightDigest("d")}};
  history.calls = {MakeCompletion({"p0v4", "p1v4"})};
  REQUIRE(CheckCompleteOwnAnswer(history, MakeOracle()).broken == 0);
  history.calls = {MakeCompletion({"p0v4"}), MakeCompletion({"p0v4", "p1v5"})};
  REQUIRE(CheckCompleteOwnAnswer(history, MakeOracle()).broken == 2);
}

TEST_CASE("an execution reported as not-run is detected at plain back ends and engines") {
  History history;
  CallAttempt call = MakePage("1", "");
  call.end = CallEnd::kRefused;
  call.status = 503;
  call.outcome = ClaimedOutcome::kNotRun;
  history.calls = {call};
  REQUIRE(CheckNotRunClaims(history).broken == 0);
  history.executions = {{EngineName("b"), "1", ""}};
  REQUIRE(CheckNotRunClaims(history).broken == 1);
  history.executions.clear();
  history.calls[0].prompt = "p";
  history.generated = {{EngineName("e"), Incarnation(1), "p", 0, 1}};
  REQUIRE(CheckNotRunClaims(history).broken == 1);
}

TEST_CASE("a key executed twice is detected") {
  History history;
  history.executions = {{EngineName("a"), "1", "k1"}, {EngineName("a"), "2", "k2"}};
  REQUIRE(CheckAtMostOnce(history).broken == 0);
  history.executions.push_back({EngineName("b"), "3", "k1"});
  const CheckResult result = CheckAtMostOnce(history);
  REQUIRE(result.broken == 1);
  REQUIRE(result.tried == 2);
}

TEST_CASE("an error without an outcome is detected") {
  History history;
  CallAttempt call = MakePage("1", "");
  call.end = CallEnd::kRefused;
  call.status = 503;
  call.outcome = ClaimedOutcome::kUnknown;
  history.calls = {call};
  REQUIRE(CheckOutcomeStated(history).broken == 0);
  history.calls[0].outcome = ClaimedOutcome::kNone;
  REQUIRE(CheckOutcomeStated(history).broken == 1);
}

}  // namespace
}  // namespace millstair::checks
