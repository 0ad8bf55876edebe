#include "simulator/checks/stream_checks.h"

#include <catch2/catch.hpp>

namespace millstair::checks {
namespace {

using std::chrono::milliseconds;

TextOracle MakeOracle() {
  return {[](const std::string& prompt, uint32_t token, WeightVersion version) {
            return prompt + std::to_string(token) + "v" + std::to_string(version.value());
          },
          [](const std::string&, uint32_t max_tokens) { return max_tokens; }};
}

ReceivedSample MakeSample(uint64_t offset, const std::string& id, uint64_t version) {
  ReceivedSample sample{.offset = StreamOffset(offset), .sample = SampleId(id), .token_count = 2};
  const std::string v = std::to_string(version);
  sample.text = "p" + id + "0v" + v + " p" + id + "1v" + v;
  sample.spans = {{WeightVersion(version), WeightDigest("d" + v), Incarnation(3), 0, 2}};
  return sample;
}

ReceivedSample MakeWithdrawal(uint64_t offset, const std::string& id) {
  return {.offset = StreamOffset(offset), .withdrawn = true, .sample = SampleId(id)};
}

/// A history of one stream with prompts a, b, c and versions 1 to 3.
struct Fixture {
  History history;
  int now = 100;

  Fixture() {
    history.streams = {{StreamName("s"), ModelName("m"), 1}};
    StepPut step{.stream = StreamName("s"), .step = StepId("1")};
    for (const std::string id : {"a", "b", "c"})
      step.prompts.push_back({SampleId(id), "p" + id, 2});
    history.steps = {step};
    for (uint64_t v = 1; v <= 3; ++v) {
      for (const std::string id : {"a", "b", "c"}) {
        history.generated.push_back({EngineName("e"), Incarnation(3), "p" + id, 0, 2,
                                     WeightVersion(v), WeightDigest("d" + std::to_string(v))});
      }
    }
  }

  void Read(uint64_t after, std::vector<ReceivedSample> samples) {
    CursorRead read{.stream = StreamName("s"), .after = StreamOffset(after)};
    read.next = samples.empty() ? read.after : samples.back().offset;
    read.samples = std::move(samples);
    read.sent = milliseconds(now);
    read.answered = milliseconds(now + 10);
    now += 20;
    history.reads.push_back(read);
  }

  void Publish(uint64_t version, int acknowledged) {
    history.publishes.push_back({ModelName("m"), WeightVersion(version),
                                 WeightDigest("d" + std::to_string(version)),
                                 milliseconds(acknowledged - 5), milliseconds(acknowledged)});
  }
};

TEST_CASE("repeated reads and a replaced withdrawal count as exactly-once delivery") {
  Fixture run;
  run.Read(0, {MakeSample(1, "a", 1), MakeSample(2, "b", 1)});
  run.Read(0, {MakeWithdrawal(1, "a"), MakeSample(2, "b", 1), MakeSample(3, "a", 2)});
  run.Read(3, {MakeSample(4, "c", 2)});
  const CheckResult result = CheckExactlyOnce(run.history);
  REQUIRE(result.broken == 0);
  REQUIRE(result.tried == 6);
}

TEST_CASE("a sample delivered twice is detected") {
  Fixture run;
  run.Read(0, {MakeSample(1, "a", 1)});
  run.Read(1, {MakeSample(2, "a", 2)});
  REQUIRE(CheckExactlyOnce(run.history).broken == 1);
}

TEST_CASE("changed content at the same offset is detected") {
  Fixture run;
  run.Read(0, {MakeSample(1, "a", 1)});
  run.Read(0, {MakeSample(1, "a", 2)});
  REQUIRE(CheckExactlyOnce(run.history).broken == 1);
}

TEST_CASE("a withdrawn sample that reappears at its offset is detected") {
  Fixture run;
  run.Read(0, {MakeWithdrawal(1, "a")});
  run.Read(0, {MakeSample(1, "a", 1)});
  REQUIRE(CheckExactlyOnce(run.history).broken == 1);
}

TEST_CASE("a skipped offset and an unrequested sample are detected") {
  Fixture run;
  run.Read(0, {MakeSample(2, "a", 1)});
  run.Read(2, {MakeSample(3, "z", 1)});
  REQUIRE(CheckExactlyOnce(run.history).broken == 2);
}

TEST_CASE("staleness counts publishes acknowledged before the read was sent") {
  Fixture run;
  run.Publish(1, 10);
  run.Publish(2, 20);
  run.Publish(3, 105);
  run.Read(0, {MakeSample(1, "a", 1)});
  REQUIRE(CheckStaleness(run.history).broken == 0);
  run.Read(0, {MakeSample(1, "a", 1)});
  const CheckResult result = CheckStaleness(run.history);
  REQUIRE(result.broken == 1);
  REQUIRE(result.tried == 2);
}

TEST_CASE("reported versions must match those that the engine used") {
  Fixture run;
  run.Read(0, {MakeSample(1, "a", 1), MakeSample(2, "b", 2)});
  REQUIRE(CheckClaimedVersions(run.history).broken == 0);
  ReceivedSample wrong_digest = MakeSample(3, "c", 1);
  wrong_digest.spans[0].digest = WeightDigest("d2");
  run.Read(2, {wrong_digest});
  REQUIRE(CheckClaimedVersions(run.history).broken == 1);
}

TEST_CASE("a gap in the spans is detected") {
  Fixture run;
  ReceivedSample gap = MakeSample(1, "a", 1);
  gap.spans[0].first_token = 1;
  gap.spans[0].token_count = 1;
  run.Read(0, {gap});
  REQUIRE(CheckClaimedVersions(run.history).broken == 1);
}

TEST_CASE("the text of a sample must be complete and match its own prompt") {
  Fixture run;
  run.Read(0, {MakeSample(1, "a", 1)});
  REQUIRE(CheckSampleText(run.history, MakeOracle()).broken == 0);
  ReceivedSample other = MakeSample(2, "b", 1);
  other.sample = SampleId("c");
  ReceivedSample cut = MakeSample(3, "b", 1);
  cut.text = "pb0v1";
  run.Read(1, {other, cut});
  REQUIRE(CheckSampleText(run.history, MakeOracle()).broken == 2);
}

}  // namespace
}  // namespace millstair::checks
