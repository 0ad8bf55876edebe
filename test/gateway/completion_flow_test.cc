// Completions through a gateway: complete responses, resumes, cancellation, deadlines.
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "emulator/model/generated_text.h"
#include "test/gateway/gateway_fixture.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kPrompt[] = "two people laugh under an old tree";

std::string Text(const boost::json::value& value) { return std::string(value.as_string()); }

/// Text that weights of `version` generate.
std::string Expected(const std::string& prompt, uint32_t max_tokens, WeightVersion version) {
  std::string text;
  const uint32_t length = GenerationLength(prompt, max_tokens);
  for (uint32_t i = 0; i < length; ++i) {
    if (i > 0) text += ' ';
    text += TokenText(prompt, i, version);
  }
  return text;
}

/// Returns a prompt whose generation has at least `tokens` tokens.
std::string LongPrompt(uint32_t max_tokens, uint32_t tokens) {
  for (int i = 0;; ++i) {
    const std::string prompt = "long prompt number " + std::to_string(i);
    if (GenerationLength(prompt, max_tokens) >= tokens) return prompt;
  }
}

TEST_CASE("a completion is complete and names the weight versions that produced it") {
  GatewayFixture f;
  f.AddEngine("a");
  f.Begin();
  const auto response = f.Complete(kPrompt, 100, false);
  REQUIRE(f.Await(*response));
  CHECK(response->status() == 200);
  const auto answer = boost::json::parse(response->body);
  CHECK(Text(answer.at("choices").at(0).at("text")) == Expected(kPrompt, 100, WeightVersion(1)));
  const auto& spans = answer.at("millstair").at("spans").as_array();
  REQUIRE(spans.size() == 1);
  CHECK(spans[0].at("version").as_int64() == 1);
  CHECK(spans[0].at("token_count").as_int64() == GenerationLength(kPrompt, 100));

  const auto stream = f.Complete(kPrompt, 100, true);
  REQUIRE(f.Await(*stream));
  CHECK(stream->Header("Content-Type") == "text/event-stream");
  CHECK(stream->StreamText() == Expected(kPrompt, 100, WeightVersion(1)));
  CHECK(stream->StreamDone());
}

TEST_CASE("a stream resumes after the last received token when its engine crashes") {
  GatewayFixture f;
  f.AddEngine("a");
  f.AddEngine("b");
  f.Begin();
  const std::string prompt = LongPrompt(200, 120);
  const auto call = f.Complete(prompt, 200, true);
  REQUIRE(f.scheduler.RunUntilTrue([&] { return call->body.size() > 3000; }, seconds(30)));
  const std::string first = f.Arrivals("a") > 0 ? "a" : "b";
  f.engines[first]->Crash();
  f.engine_fabric.Refresh(first + ":1");
  REQUIRE(f.Await(*call));
  CHECK(call->finished);
  CHECK(call->StreamText() == Expected(prompt, 200, WeightVersion(1)));
  CHECK(f.context->counters.resumes == 1);
  // The second engine generated only the remaining tokens.
  const std::string second = first == "a" ? "b" : "a";
  CHECK(f.engines[second]->counts().tokens < GenerationLength(prompt, 200));
}

TEST_CASE("a truncated response is never presented as complete") {
  const bool broken = GENERATE(false, true);
  GatewayFaults faults;
  faults.finish_truncated = broken;
  GatewayFixture f(faults);
  f.AddEngine("a");
  f.Begin();
  const std::string prompt = LongPrompt(200, 120);
  const auto call = f.Complete(prompt, 200, true, {{"Millstair-Deadline-Ms", "8000"}});
  REQUIRE(f.scheduler.RunUntilTrue([&] { return call->body.size() > 3000; }, seconds(30)));
  f.engines["a"]->Crash();
  f.engine_fabric.Refresh("a:1");
  REQUIRE(f.Await(*call));
  const bool complete = call->StreamText() == Expected(prompt, 200, WeightVersion(1));
  CHECK_FALSE(complete);
  // This check detects the broken variant.
  CHECK((call->finished && !complete) == broken);
}

TEST_CASE("the generation is cancelled when the caller disconnects") {
  GatewayFixture f;
  f.AddEngine("a");
  f.Begin();
  auto call = f.Complete(LongPrompt(400, 300), 400, true);
  REQUIRE(f.scheduler.RunUntilTrue([&] { return call->body.size() > 1000; }, seconds(30)));
  CHECK_FALSE(f.engines["a"]->Idle());
  call->handle.reset();
  f.Run(milliseconds(500));
  CHECK(f.engines["a"]->Idle());
  CHECK(f.live->running() == 0);
  CHECK(f.context->counters.callers_disconnected == 1);
}

TEST_CASE("a request that can't meet its deadline is refused immediately as not run") {
  GatewayFixture f;
  f.AddEngine("a");
  f.Begin();
  const auto call = f.Complete(kPrompt, 2000, false, {{"Millstair-Deadline-Ms", "200"}});
  const Duration sent = f.scheduler.Now();
  REQUIRE(f.Await(*call));
  CHECK(f.scheduler.Now() - sent < milliseconds(20));
  CHECK(call->status() == 503);
  CHECK(call->outcome() == "not-run");
  CHECK(call->Header("Retry-After") != "");
  CHECK(f.Arrivals("a") == 0);
}

TEST_CASE("a request whose deadline passes gets its known outcome immediately") {
  GatewayFixture f;
  f.AddEngine("a");
  f.Begin();
  const std::string prompt = LongPrompt(100, 90);
  // The estimate fits the deadline, but this generation is longer than the average.
  const auto call = f.Complete(prompt, 100, false, {{"Millstair-Deadline-Ms", "1000"}});
  const Duration sent = f.scheduler.Now();
  REQUIRE(f.Await(*call));
  CHECK(f.scheduler.Now() - sent < milliseconds(1010));
  CHECK(call->status() == 504);
  CHECK(call->outcome() == "ran");
  f.Run(milliseconds(500));
  CHECK(f.engines["a"]->Idle());
}

TEST_CASE("a draining engine gets no new requests, and its running streams complete") {
  const bool broken = GENERATE(false, true);
  GatewayFaults faults;
  faults.work_to_leaving = broken;
  GatewayFixture f(faults);
  f.AddEngine("a");
  f.AddEngine("b");
  f.Begin();
  std::vector<std::unique_ptr<Call>> calls;
  for (int i = 0; i < 8; ++i) calls.push_back(f.Complete(LongPrompt(200, 100), 200, true));
  f.Run(milliseconds(300));
  f.engines["a"]->Drain();
  f.Run(seconds(1));
  const int before = f.Arrivals("a");
  for (int i = 0; i < 20; ++i) {
    calls.push_back(f.Complete(kPrompt, 50, true));
    f.Run(milliseconds(50));
  }
  for (const auto& call : calls) {
    REQUIRE(f.Await(*call));
    if (!broken) CHECK(call->StreamDone());
  }
  CHECK((f.Arrivals("a") > before) == broken);
}

TEST_CASE("a gateway without a lease dispatches nothing unless the group allows it") {
  GatewayFaults faults;
  faults.ignore_lease = GENERATE(false, true);
  GatewayFixture f(faults);
  f.AddEngine("a");
  f.Begin();
  f.configuration.lease = false;
  const auto call = f.Complete(kPrompt, 50, false);
  const Duration sent = f.scheduler.Now();
  REQUIRE(f.Await(*call));
  CHECK((f.Arrivals("a") > 0) == faults.ignore_lease);
  if (faults.ignore_lease) return;
  CHECK(f.scheduler.Now() - sent < milliseconds(20));
  CHECK(call->status() == 503);
  CHECK(call->outcome() == "not-run");
  CHECK(call->Header("Retry-After") == "1");
  f.ChangeGroup("live", [](TrafficGroupSpec& spec) { spec.serve_when_isolated = true; });
  f.Configure();
  const auto isolated = f.Complete(kPrompt, 50, false);
  REQUIRE(f.Await(*isolated));
  CHECK(isolated->status() == 200);
}

TEST_CASE("the response to an invalid request names each invalid field") {
  GatewayFixture f;
  f.AddEngine("a");
  f.Begin();
  const auto call = f.Send({"POST", "/v1/completions", {}, R"({"prompt":7,"max_tokens":0})"});
  REQUIRE(f.Await(*call));
  CHECK(call->status() == 400);
  CHECK(call->outcome() == "not-run");
  for (const char* field : {"model", "prompt", "max_tokens"}) {
    CHECK(call->body.find(field) != std::string::npos);
  }
  const auto unknown = f.Send({"POST", "/v1/completions", {}, R"({"model":"x","prompt":"y"})"});
  REQUIRE(f.Await(*unknown));
  CHECK(unknown->status() == 404);
}

TEST_CASE("tokens of weights that were never published do not reach the caller") {
  GatewayFixture f;
  EngineModelOptions options;
  f.AddEngine("a", options);
  f.AddEngine("b", options);
  ModelStatus model;
  model.model = ModelName("caption");
  model.published.push_back({WeightVersion(1), WeightDigest("digest-1"), "w/1"});
  model.published.push_back({WeightVersion(2), WeightDigest("digest-2"), "w/2"});
  f.builder.mutable_configuration().models[model.model] = model;
  f.Begin();
  // Engine a activates version 2 on half of its shards, unknown to the gateway.
  EngineOrder order{OrderKind::kStage,        Revision(1), model.model, WeightVersion(2),
                    WeightDigest("digest-2"), "w/2",       "",          ""};
  f.engines["a"]->ApplyOrder(order, [](const absl::Status&) {});
  f.Run(seconds(2));
  f.engines["a"]->FailNextActivation();
  std::vector<std::unique_ptr<Call>> calls;
  for (int i = 0; i < 12; ++i) calls.push_back(f.Complete(LongPrompt(200, 100), 200, true));
  f.Run(milliseconds(200));
  order.kind = OrderKind::kActivate;
  f.engines["a"]->ApplyOrder(order, [](const absl::Status&) {});
  for (const auto& call : calls) {
    REQUIRE(f.Await(*call));
    CHECK(call->StreamDone());
    CHECK(call->body.find("mixed-") == std::string::npos);
  }
  CHECK(f.context->counters.resumes > 0);
}

}  // namespace
}  // namespace millstair
