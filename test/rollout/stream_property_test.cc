/// Random interleavings of stream operations, checked against what the trainer holds in the end.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <optional>
#include <random>
#include <set>

#include "rollout/stream_state.h"
#include "stream_test_support.h"

namespace millstair {
namespace {

/// Makes RapidCheck use a fixed seed unless one is set from outside.
[[maybe_unused]] const int kSeedSet = setenv("RC_PARAMS", "seed=20261202", 0);

constexpr uint64_t kBound = 1;
constexpr uint32_t kSamplesPerStep = 3;
constexpr int kOperations = 120;

/// Violation found in one run; empty if none.
struct Verdict {
  std::string violation;
  bool settled = false;
};

/// A trainer with lost and late reads, generation and publishing on one state machine.
class StreamRun {
 public:
  StreamRun(uint64_t seed, StreamFaults faults) : random_(seed), faults_(faults), state_(faults) {
    Execute(SetStalenessBound{kBound});
    Publish();
  }

  Verdict Run() {
    for (int i = 0; i < kOperations && violation_.empty(); ++i) RunOneOperation();
    for (int i = 0; i < 200 && violation_.empty(); ++i) {
      GenerateAll();
      Read(Execute(DeliverSamples{cursor_, 8}));
    }
    const bool complete = held_.size() == steps_ * kSamplesPerStep;
    if (violation_.empty() && !complete) violation_ = "samples are missing at the end";
    return {violation_, complete};
  }

 private:
  uint64_t Random(uint64_t bound) { return random_() % bound; }

  void RunOneOperation() {
    switch (Random(9)) {
      case 0:
        if (steps_ < 4) Execute(MakeStep("s" + std::to_string(steps_++), kSamplesPerStep));
        break;
      case 1:
        if (steps_ > 0) Execute(MakeStep("s" + std::to_string(Random(steps_)), kSamplesPerStep));
        break;
      case 2:
        if (newest_ < 12) Publish();
        break;
      case 3:
      case 4:
        GenerateOne();
        break;
      case 5:
        SnapshotAndRestore();
        break;
      case 6:
        // The reply is lost; a copy of the command may be applied later.
        Execute(DeliverSamples{cursor_, static_cast<uint32_t>(1 + Random(4))});
        late_reads_.push_back(DeliverSamples{cursor_, static_cast<uint32_t>(1 + Random(4))});
        break;
      case 7:
        if (!late_reads_.empty()) Execute(late_reads_[Random(late_reads_.size())]);
        break;
      default:
        Read(Execute(DeliverSamples{cursor_, static_cast<uint32_t>(1 + Random(4))}));
    }
  }

  StreamResult Execute(const StreamCommand& command) {
    const auto result = DecodeStreamResult(state_.Apply(LogIndex(1), EncodeStreamCommand(command)));
    REQUIRE(result.ok());
    return *result;
  }

  void Publish() { Execute(MakePublish(++newest_)); }

  void GenerateOne() {
    if (steps_ == 0) return;
    const uint64_t first = 1 + Random(newest_);
    const uint64_t second = first + Random(newest_ - first + 1);
    Execute(MakeSample("s" + std::to_string(Random(steps_)),
                       static_cast<uint32_t>(Random(kSamplesPerStep)), first, second, ++epoch_));
  }

  void GenerateAll() {
    for (uint64_t step = 0; step < steps_; ++step) {
      for (uint32_t i = 0; i < kSamplesPerStep; ++i) {
        Execute(MakeSample("s" + std::to_string(step), i, newest_, newest_, ++epoch_));
      }
    }
  }

  void SnapshotAndRestore() {
    const std::string snapshot = state_.TakeSnapshot();
    StreamState restored(faults_);
    REQUIRE(restored.Restore(LogIndex(1), snapshot).ok());
    if (restored.TakeSnapshot() != snapshot) violation_ = "a restored snapshot differs";
    state_ = restored;
  }

  /// The trainer processes a response: advances its cursor, which settles what it holds.
  void Read(const StreamResult& result) {
    if (result.code != StreamResultCode::kOk) {
      violation_ = "a regular read was refused: " + result.message;
      return;
    }
    StreamOffset expected = Next(cursor_);
    for (const DeliveredEntry& item : result.delivered) {
      if (item.offset != expected) violation_ = "an offset is missing";
      expected = Next(expected);
      if (item.withdrawn) continue;
      Take(item.sample);
    }
    cursor_ = result.next;
  }

  void Take(const Sample& sample) {
    if (!held_.insert(sample.sample).second)
      violation_ = "delivered twice: " + sample.sample.value();
    for (const VersionSpan& span : sample.spans) {
      if (span.version.value() + kBound < newest_) violation_ = "stale: " + sample.sample.value();
    }
  }

  std::mt19937_64 random_;
  StreamFaults faults_;
  StreamState state_;
  std::string violation_;
  uint64_t steps_ = 0;
  uint64_t newest_ = 0;
  uint64_t epoch_ = 0;
  StreamOffset cursor_;
  std::set<SampleId> held_;
  std::vector<DeliverSamples> late_reads_;
};

/// Violation of the first seed that has one.
std::string FirstViolation(StreamFaults faults) {
  for (uint64_t seed = 1; seed <= 400; ++seed) {
    const Verdict verdict = StreamRun(seed, faults).Run();
    if (!verdict.violation.empty()) return fmt::format("seed {}: {}", seed, verdict.violation);
  }
  return "";
}

TEST_CASE("each sample reaches the trainer exactly once and fresh") {
  rc::prop("over random interleavings", [](uint64_t seed) {
    const Verdict verdict = StreamRun(seed, {}).Run();
    RC_ASSERT(verdict.violation == "");
    RC_ASSERT(verdict.settled);
  });
}

TEST_CASE("no random run fails without a fault switch") { REQUIRE(FirstViolation({}) == ""); }

TEST_CASE("the checks detect each fault switch") {
  StreamFaults faults;
  SECTION("staleness untested at a re-read") { faults.staleness_untested_at_reread = true; }
  SECTION("first completion not fenced") { faults.first_completion_not_fenced = true; }
  SECTION("step not idempotent") { faults.step_not_idempotent = true; }
  SECTION("publish not ordered") { faults.publish_not_ordered = true; }
  REQUIRE(FirstViolation(faults) != "");
}

}  // namespace
}  // namespace millstair
