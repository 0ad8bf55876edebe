#include "rollout/stream_state.h"

#include <catch2/catch.hpp>

#include "stream_test_support.h"

namespace millstair {
namespace {

StreamResultCode Run(StreamState& state, const StreamCommand& command) {
  return state.Execute(command).code;
}

/// Staleness bound 1, version 1 published, one step "a" of three samples.
StreamState StartedState(StreamFaults faults = {}) {
  StreamState state(faults);
  Run(state, SetStalenessBound{1});
  Run(state, MakePublish(1));
  Run(state, MakeStep("a", 3));
  return state;
}

TEST_CASE("putting a step again is idempotent, and other prompts are a conflict") {
  StreamState state = StartedState();
  REQUIRE(Run(state, MakeStep("a", 3)) == StreamResultCode::kDuplicate);
  REQUIRE(Run(state, MakeStep("a", 2)) == StreamResultCode::kConflict);
  REQUIRE(state.data().open.size() == 3);
}

TEST_CASE("a finished step is still known after a snapshot") {
  StreamState state = StartedState();
  for (uint32_t i = 0; i < 3; ++i) Run(state, MakeSample("a", i, 1, 1));
  const StreamResult read = state.Execute(DeliverSamples{StreamOffset(0), 10});
  Run(state, DeliverSamples{read.next, 10});
  REQUIRE(state.data().steps.empty());
  StreamState restored;
  REQUIRE(restored.Restore(LogIndex(9), state.TakeSnapshot()).ok());
  REQUIRE(Run(restored, MakeStep("a", 3)) == StreamResultCode::kDuplicate);
  REQUIRE(Run(restored, MakeStep("a", 4)) == StreamResultCode::kConflict);
}

TEST_CASE("malformed steps are refused") {
  StreamState state = StartedState();
  REQUIRE(Run(state, MakeStep("x/y", 1)) == StreamResultCode::kInvalid);
  REQUIRE(Run(state, MakeStep("", 1)) == StreamResultCode::kInvalid);
  REQUIRE(Run(state, MakeStep("empty", 0)) == StreamResultCode::kInvalid);
  PutStep wrong_id = MakeStep("b", 2);
  wrong_id.prompts[1].sample = SampleId("b/0");
  REQUIRE(Run(state, wrong_id) == StreamResultCode::kInvalid);
  PutStep no_limit = MakeStep("b", 1);
  no_limit.prompts[0].max_tokens = 0;
  REQUIRE(Run(state, no_limit) == StreamResultCode::kInvalid);
}

TEST_CASE("the first valid completion wins") {
  StreamState state = StartedState();
  REQUIRE(Run(state, MakeSample("a", 0, 1, 1, 7)) == StreamResultCode::kOk);
  REQUIRE(Run(state, MakeSample("a", 0, 1, 1, 8)) == StreamResultCode::kDuplicate);
  const StreamResult read = state.Execute(DeliverSamples{StreamOffset(0), 10});
  REQUIRE(read.delivered.size() == 1);
  REQUIRE(read.delivered[0].sample.epoch == AttemptEpoch(7));
}

TEST_CASE("spans with a gap, a wrong digest or an unpublished version void a sample") {
  StreamState state = StartedState();
  AppendSample gap = MakeSample("a", 0, 1, 1);
  gap.sample.spans[1].first_token = 2;
  REQUIRE(Run(state, gap) == StreamResultCode::kVoid);
  AppendSample late_start = MakeSample("a", 0, 1, 1);
  late_start.sample.spans.erase(late_start.sample.spans.begin());
  REQUIRE(Run(state, late_start) == StreamResultCode::kVoid);
  AppendSample wrong_digest = MakeSample("a", 0, 1, 1);
  wrong_digest.sample.spans[1].digest = WeightDigest("mixed-1-2");
  REQUIRE(Run(state, wrong_digest) == StreamResultCode::kVoid);
  REQUIRE(Run(state, MakeSample("a", 0, 1, 2)) == StreamResultCode::kVoid);
  AppendSample short_text = MakeSample("a", 0, 1, 1);
  short_text.sample.text = "one";
  REQUIRE(Run(state, short_text) == StreamResultCode::kVoid);
  REQUIRE(state.data().entries.empty());
}

TEST_CASE("a sample beyond the bound is not accepted") {
  StreamState state = StartedState();
  Run(state, MakePublish(2));
  REQUIRE(Run(state, MakeSample("a", 0, 1, 2)) == StreamResultCode::kOk);
  Run(state, MakePublish(3));
  REQUIRE(Run(state, MakeSample("a", 1, 1, 3)) == StreamResultCode::kStale);
  REQUIRE(Run(state, MakeSample("a", 1, 2, 3)) == StreamResultCode::kOk);
}

TEST_CASE("the same cursor gives the same samples, and the next one acknowledges") {
  StreamState state = StartedState();
  Run(state, MakeSample("a", 0, 1, 1));
  Run(state, MakeSample("a", 2, 1, 1));
  const StreamResult first = state.Execute(DeliverSamples{StreamOffset(0), 10});
  const StreamResult again = state.Execute(DeliverSamples{StreamOffset(0), 10});
  REQUIRE(EncodeStreamResult(first) == EncodeStreamResult(again));
  REQUIRE(first.next == StreamOffset(2));
  REQUIRE(Run(state, DeliverSamples{first.next, 10}) == StreamResultCode::kOk);
  REQUIRE(state.data().entries.empty());
  REQUIRE(state.data().payload_bytes == 0);
  REQUIRE(Run(state, DeliverSamples{StreamOffset(0), 10}) == StreamResultCode::kInvalid);
}

TEST_CASE("a cursor that was never issued acknowledges nothing") {
  StreamState state = StartedState();
  Run(state, MakeSample("a", 0, 1, 1));
  Run(state, MakeSample("a", 1, 1, 1));
  Run(state, DeliverSamples{StreamOffset(0), 10});
  REQUIRE(Run(state, DeliverSamples{StreamOffset(1), 10}) == StreamResultCode::kInvalid);
  REQUIRE(Run(state, DeliverSamples{StreamOffset(9), 10}) == StreamResultCode::kInvalid);
  REQUIRE(state.data().entries.size() == 2);
}

TEST_CASE("a sample that becomes stale before it was read is generated again at once") {
  StreamState state = StartedState();
  Run(state, MakeSample("a", 0, 1, 1));
  Run(state, MakePublish(3));
  REQUIRE(state.data().open.size() == 3);
  const StreamResult read = state.Execute(DeliverSamples{StreamOffset(0), 10});
  REQUIRE(read.delivered.size() == 1);
  REQUIRE(read.delivered[0].withdrawn);
  REQUIRE(read.delivered[0].sample.text.empty());
  REQUIRE(Run(state, MakeSample("a", 0, 3, 3)) == StreamResultCode::kOk);
}

TEST_CASE("a withdrawal that the trainer saw opens the sample again") {
  StreamState state = StartedState();
  Run(state, MakeSample("a", 0, 1, 1));
  const StreamResult fresh = state.Execute(DeliverSamples{StreamOffset(0), 10});
  Run(state, MakePublish(3));
  const StreamResult reread = state.Execute(DeliverSamples{StreamOffset(0), 10});
  REQUIRE(reread.delivered[0].withdrawn);
  REQUIRE(reread.next > fresh.next);
  REQUIRE(state.data().open.size() == 2);
  Run(state, DeliverSamples{reread.next, 10});
  REQUIRE(state.data().open.size() == 3);
  REQUIRE(Run(state, MakeSample("a", 0, 3, 3)) == StreamResultCode::kOk);
}

TEST_CASE("the trainer keeps a sample whose withdrawal it did not see") {
  StreamState state = StartedState();
  Run(state, MakeSample("a", 0, 1, 1));
  const StreamResult fresh = state.Execute(DeliverSamples{StreamOffset(0), 10});
  Run(state, MakePublish(3));
  // An earlier read at the same cursor arrives late; its response is lost.
  Run(state, DeliverSamples{StreamOffset(0), 10});
  Run(state, DeliverSamples{fresh.next, 10});
  REQUIRE(state.data().open.size() == 2);
  REQUIRE(Run(state, MakeSample("a", 0, 3, 3)) == StreamResultCode::kDuplicate);
}

TEST_CASE("a response that shows a withdrawal may exceed the requested limit") {
  StreamState state = StartedState();
  for (uint32_t i = 0; i < 3; ++i) Run(state, MakeSample("a", i, 1, 1));
  const StreamResult fresh = state.Execute(DeliverSamples{StreamOffset(0), 10});
  Run(state, MakePublish(3));
  const StreamResult reread = state.Execute(DeliverSamples{StreamOffset(0), 1});
  REQUIRE(reread.delivered.size() == 4);
  REQUIRE(reread.next > fresh.next);
}

TEST_CASE("a smaller bound withdraws unread samples") {
  StreamState state = StartedState();
  Run(state, MakePublish(2));
  Run(state, MakeSample("a", 0, 1, 2));
  Run(state, SetStalenessBound{0});
  REQUIRE(state.data().open.size() == 3);
  REQUIRE(Run(state, MakeSample("a", 1, 1, 2)) == StreamResultCode::kStale);
}

TEST_CASE("the same version with another digest is a conflict") {
  StreamState state = StartedState();
  REQUIRE(Run(state, MakePublish(1)) == StreamResultCode::kDuplicate);
  REQUIRE(Run(state, RecordPublishedVersion{WeightVersion(1), WeightDigest("other")}) ==
          StreamResultCode::kConflict);
}

TEST_CASE("a full stream accepts no further step") {
  StreamState state = StartedState();
  for (int i = 0; i < 3; ++i) Run(state, MakeStep("s" + std::to_string(i), kMaxStepSamples));
  REQUIRE(Run(state, MakeStep("last", kMaxStepSamples)) == StreamResultCode::kFull);
  REQUIRE(Run(state, MakeStep("small", 1)) == StreamResultCode::kOk);
}

TEST_CASE("memory stays bounded over many steps and versions") {
  StreamState state;
  Run(state, SetStalenessBound{1});
  StreamOffset cursor;
  const int steps = static_cast<int>(kMaxFinishedSteps) + 100;
  for (int i = 1; i <= steps; ++i) {
    Run(state, MakePublish(static_cast<uint64_t>(i)));
    Run(state, MakeStep("s" + std::to_string(i), 1));
    Run(state,
        MakeSample("s" + std::to_string(i), 0, static_cast<uint64_t>(i), static_cast<uint64_t>(i)));
    cursor = state.Execute(DeliverSamples{cursor, 10}).next;
  }
  REQUIRE(state.data().finished_steps.size() == kMaxFinishedSteps);
  REQUIRE(state.data().published.size() == kMinRetainedVersions + 1);
  REQUIRE(state.data().steps.size() == 1);
  REQUIRE(state.data().entries.size() == 1);
  REQUIRE(state.data().issued_cursors.size() == 1);
}

TEST_CASE("a damaged snapshot is refused and leaves the state unchanged") {
  StreamState state = StartedState();
  Run(state, MakeSample("a", 0, 1, 1));
  const std::string snapshot = state.TakeSnapshot();
  StreamState other;
  REQUIRE(absl::IsDataLoss(other.Restore(LogIndex(1), snapshot.substr(0, snapshot.size() - 5))));
  const std::string_view complete = snapshot;
  const size_t first_record = 4 + static_cast<unsigned char>(snapshot[0]);
  REQUIRE(absl::IsDataLoss(other.Restore(LogIndex(1), complete.substr(0, first_record))));
  REQUIRE(absl::IsDataLoss(other.Restore(LogIndex(1), "")));
  REQUIRE(other.data().steps.empty());
  REQUIRE(other.Restore(LogIndex(1), snapshot).ok());
  REQUIRE(other.TakeSnapshot() == snapshot);
}

TEST_CASE("an undecodable command returns an error and changes nothing") {
  StreamState state = StartedState();
  const std::string before = state.TakeSnapshot();
  const auto result = DecodeStreamResult(state.Apply(LogIndex(4), "\xff\x01garbage"));
  REQUIRE(result.ok());
  REQUIRE(result->code == StreamResultCode::kInvalid);
  REQUIRE(state.TakeSnapshot() == before);
}

}  // namespace
}  // namespace millstair
