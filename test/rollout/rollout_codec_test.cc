#include <catch2/catch.hpp>
#include <random>

#include "rollout/stream_commands.h"
#include "stream_test_support.h"

namespace millstair {
namespace {

WorkRequest MakeWorkRequest() {
  WorkRequest request;
  request.stream = StreamName("s");
  request.gateway = NodeId("g");
  request.free_slots = 7;
  request.sequence = 9;
  request.running.push_back({SampleId("a/0"), AttemptEpoch(5), 12, WeightVersion(3)});
  request.returned.push_back({SampleId("a/1"),
                              AttemptEpoch(6),
                              {"one", "two"},
                              MakeSample("a", 1, 1, 2).sample.spans,
                              "10.0.0.1:80"});
  return request;
}

WorkReply MakeWorkReply() {
  WorkReply reply;
  reply.stream = StreamName("s");
  reply.answered = 9;
  Attempt attempt;
  attempt.prompt = {SampleId("a/0"), std::string("text with \0 in it", 17), 64};
  attempt.step = StepId("a");
  attempt.epoch = AttemptEpoch(1ULL << 40);
  attempt.lease = std::chrono::seconds(5);
  attempt.resume_tokens = {"one", "two"};
  attempt.resume_spans = MakeSample("a", 0, 1, 2).sample.spans;
  attempt.kv_source = "10.0.0.1:80";
  attempt.expected_tokens = 33;
  reply.attempts.push_back(attempt);
  reply.cancelled.push_back({SampleId("a/2"), AttemptEpoch(4)});
  return reply;
}

TEST_CASE("work requests and replies survive encoding and decoding") {
  const std::string request = EncodeWorkRequest(MakeWorkRequest());
  const auto decoded_request = DecodeWorkRequest(request);
  REQUIRE(decoded_request.ok());
  REQUIRE(EncodeWorkRequest(*decoded_request) == request);
  REQUIRE(decoded_request->returned[0].tokens == std::vector<std::string>{"one", "two"});
  REQUIRE(decoded_request->running[0].oldest_version == WeightVersion(3));
  const std::string reply = EncodeWorkReply(MakeWorkReply());
  const auto decoded_reply = DecodeWorkReply(reply);
  REQUIRE(decoded_reply.ok());
  REQUIRE(EncodeWorkReply(*decoded_reply) == reply);
  REQUIRE(decoded_reply->attempts[0].prompt.text.size() == 17);
  REQUIRE(decoded_reply->attempts[0].resume_spans.size() == 2);
}

TEST_CASE("texts longer than a field of bytes survive") {
  AppendSample append = MakeSample("a", 0, 1, 1);
  append.sample.text = std::string(200'000, 'x');
  const auto decoded = DecodeStreamCommand(EncodeStreamCommand(append));
  REQUIRE(decoded.ok());
  REQUIRE(std::get<AppendSample>(*decoded).sample.text == append.sample.text);
}

TEST_CASE("a command without an operation, or with two, is refused") {
  REQUIRE_FALSE(DecodeStreamCommand("").ok());
  const std::string both =
      EncodeStreamCommand(MakePublish(1)) + EncodeStreamCommand(SetStalenessBound{2});
  REQUIRE_FALSE(DecodeStreamCommand(both).ok());
}

TEST_CASE("damaged messages are refused or decode to another valid message") {
  std::mt19937_64 random(5);
  const std::vector<std::string> valid_messages = {
      EncodeWorkRequest(MakeWorkRequest()), EncodeWorkReply(MakeWorkReply()),
      EncodeStreamCommand(MakeStep("a", 3)), EncodeStreamCommand(MakeSample("a", 0, 1, 2))};
  uint64_t refused = 0;
  for (int round = 0; round < 4000; ++round) {
    std::string bytes = valid_messages[random() % valid_messages.size()];
    for (uint64_t i = random() % 4 + 1; i > 0; --i) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (random() % 4 == 0) bytes.resize(random() % bytes.size());
    refused += DecodeWorkRequest(bytes).ok() ? 0 : 1;
    refused += DecodeWorkReply(bytes).ok() ? 0 : 1;
    refused += DecodeStreamCommand(bytes).ok() ? 0 : 1;
    refused += DecodeStreamResult(bytes).ok() ? 0 : 1;
  }
  REQUIRE(refused > 4000);
}

}  // namespace
}  // namespace millstair
