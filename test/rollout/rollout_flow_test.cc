/// Leader and workers together, under failures of engines, gateways, leaders and messages.
#include <catch2/catch.hpp>

#include "engine/prefix_blocks.h"
#include "rollout_fleet.h"

namespace millstair {
namespace {

/// All samples of step "a", in one read.
std::vector<DeliveredEntry> ReadAll(RolloutFleet& fleet) {
  return fleet.Read(StreamOffset(0)).delivered;
}

/// Checks that each sample occurs once, and that its text is what the engines generate with the
/// versions in its spans.
void RequireSamplesMatch(const std::vector<DeliveredEntry>& items, uint32_t samples) {
  std::set<SampleId> seen;
  for (const DeliveredEntry& item : items) {
    REQUIRE_FALSE(item.withdrawn);
    REQUIRE(seen.insert(item.sample.sample).second);
    const std::string& id = item.sample.sample.value();
    const std::string prompt = "prompt a " + id.substr(id.find('/') + 1);
    std::string text;
    for (const VersionSpan& span : item.sample.spans) {
      REQUIRE(span.digest == DigestOfVersion(span.version.value()));
      for (uint32_t i = 0; i < span.token_count; ++i) {
        if (!text.empty()) text += ' ';
        text += TokenText(prompt, span.first_token + i, span.version);
      }
    }
    REQUIRE(item.sample.text == text);
    REQUIRE(item.sample.score == Approx(ScoreOf(text)));
    REQUIRE(item.sample.token_count == GenerationLength(prompt, 16));
  }
  REQUIRE(seen.size() == samples);
}

/// Prompts with generations long enough to be interrupted.
PutStep LongStep(uint32_t samples) {
  PutStep step = MakeStep("a", samples);
  for (Prompt& prompt : step.prompts) prompt.max_tokens = 256;
  return step;
}

bool RunUntilRunning(RolloutFleet& fleet, size_t gateway, uint32_t tokens) {
  return fleet.scheduler.RunUntilTrue(
      [&] {
        return fleet.gateways[gateway]->worker->running() > 0 &&
               fleet.gateways[gateway]->worker->counts().tokens >= tokens;
      },
      std::chrono::seconds(20));
}

TEST_CASE("a step is generated, scored and read once") {
  RolloutFleet fleet;
  fleet.Execute(MakeStep("a", 24));
  REQUIRE(fleet.RunUntilComplete());
  RequireSamplesMatch(ReadAll(fleet), 24);
  for (const auto& gateway : fleet.gateways) {
    REQUIRE(gateway->worker->counts().samples_appended > 0);
  }
  fleet.scheduler.RunFor(std::chrono::seconds(3));
  for (const auto& gateway : fleet.gateways) REQUIRE(gateway->worker->running() == 0);
}

TEST_CASE("lost replies to appends cause no duplicates") {
  RolloutFleet fleet;
  for (auto& gateway : fleet.gateways) gateway->control.answers_to_drop = 5;
  fleet.Execute(MakeStep("a", 12));
  REQUIRE(fleet.RunUntilComplete());
  fleet.scheduler.RunFor(std::chrono::seconds(20));
  RequireSamplesMatch(ReadAll(fleet), 12);
  for (const auto& gateway : fleet.gateways) REQUIRE(gateway->worker->running() == 0);
}

TEST_CASE("samples are granted again if the replies that lease them are lost") {
  RolloutFleet fleet;
  fleet.Execute(MakeStep("a", 12));
  fleet.scheduler.RunFor(std::chrono::milliseconds(800));
  fleet.work_replies_to_drop = 4;
  REQUIRE(fleet.RunUntilComplete());
  REQUIRE(fleet.work_replies_to_drop == 0);
  RequireSamplesMatch(ReadAll(fleet), 12);
}

TEST_CASE("streams of a crashed engine continue on another one in a new span") {
  RolloutFleet fleet;
  fleet.Execute(LongStep(8));
  REQUIRE(RunUntilRunning(fleet, 0, 8));
  fleet.models[0]->Crash();
  for (auto& gateway : fleet.gateways)
    gateway->placement.unavailable.insert(EngineName("engine-0"));
  REQUIRE(fleet.RunUntilComplete());
  bool resumed = false;
  for (const DeliveredEntry& item : ReadAll(fleet)) {
    std::set<Incarnation> lives;
    for (const VersionSpan& span : item.sample.spans) lives.insert(span.engine_incarnation);
    resumed = resumed || lives.size() > 1;
    REQUIRE(item.sample.token_count == CountTokens(item.sample.text));
  }
  REQUIRE(resumed);
}

TEST_CASE("a swap that fails partway in the middle of a stream leaves no mixed sample") {
  RolloutFleet fleet;
  fleet.Execute(LongStep(8));
  REQUIRE(RunUntilRunning(fleet, 0, 8));
  fleet.configuration.held.models[kModel].published.push_back(
      {WeightVersion(2), DigestOfVersion(2), "w"});
  EngineOrder order{OrderKind::kStage, Revision(5),        kModel,
                    WeightVersion(2),  DigestOfVersion(2), "w"};
  fleet.models[0]->ApplyOrder(order, [](const absl::Status&) {});
  fleet.scheduler.RunFor(std::chrono::milliseconds(550));
  fleet.models[0]->FailNextActivation();
  order.kind = OrderKind::kActivate;
  absl::Status swapped;
  fleet.models[0]->ApplyOrder(order, [&](const absl::Status& status) { swapped = status; });
  REQUIRE(fleet.RunUntilComplete());
  REQUIRE(absl::IsAborted(swapped));
  REQUIRE(fleet.models[0]->counts().mixed_tokens > 0);
  uint64_t voided = 0;
  for (const auto& gateway : fleet.gateways) voided += gateway->worker->counts().samples_voided;
  REQUIRE(voided > 0);
  for (const DeliveredEntry& item : ReadAll(fleet)) {
    for (const VersionSpan& span : item.sample.spans) REQUIRE_FALSE(IsMixedDigest(span.digest));
  }
}

TEST_CASE("versions in spans come from the engines, not from the configuration") {
  StreamFaults faults;
  const bool broken = GENERATE(false, true);
  faults.spans_from_routing_belief = broken;
  RolloutFleet fleet(faults);
  fleet.PublishVersion(2);  // active, but no engine was ordered to swap
  fleet.Execute(MakeStep("a", 4));
  REQUIRE(fleet.RunUntilComplete());
  for (const DeliveredEntry& item : ReadAll(fleet)) {
    REQUIRE((item.sample.spans.front().version == WeightVersion(1)) == !broken);
  }
}

TEST_CASE("a new leader adopts the running attempts") {
  RolloutFleet fleet;
  fleet.Spec().idle_time_weight = 1;
  fleet.Configure();
  fleet.Execute(LongStep(12));
  REQUIRE(RunUntilRunning(fleet, 0, 1));
  const uint64_t started = fleet.gateways[0]->worker->counts().attempts_started +
                           fleet.gateways[1]->worker->counts().attempts_started;
  fleet.log.leader = fleet.controls[1]->node;
  ++fleet.log.term;
  for (auto& control : fleet.controls) control->leader->OnChange(fleet.configuration.held);
  REQUIRE(fleet.RunUntilComplete());
  const uint64_t after = fleet.gateways[0]->worker->counts().attempts_started +
                         fleet.gateways[1]->worker->counts().attempts_started;
  REQUIRE(started == 12);
  REQUIRE(after == started);
  REQUIRE(ReadAll(fleet).size() == 12);
}

TEST_CASE("samples of a dead gateway are granted again") {
  RolloutFleet fleet;
  fleet.Execute(LongStep(12));
  REQUIRE(RunUntilRunning(fleet, 0, 1));
  const uint32_t lost = fleet.gateways[0]->worker->running();
  fleet.down.insert(fleet.gateways[0]->node);
  fleet.gateways[0]->environment.Kill();
  fleet.gateways[0]->worker.reset();
  REQUIRE(lost > 0);
  REQUIRE(fleet.RunUntilComplete());
  REQUIRE(ReadAll(fleet).size() == 12);
}

TEST_CASE("a draining gateway returns its attempts with their tokens") {
  RolloutFleet fleet;
  fleet.Execute(LongStep(12));
  REQUIRE(RunUntilRunning(fleet, 0, 8));
  fleet.engines.requests.clear();
  bool drained = false;
  fleet.gateways[0]->worker->Drain([&] { drained = true; });
  REQUIRE(fleet.scheduler.RunUntilTrue([&] { return drained; }, std::chrono::seconds(5)));
  REQUIRE(fleet.gateways[0]->worker->running() == 0);
  REQUIRE(fleet.gateways[0]->worker->counts().attempts_returned > 0);
  REQUIRE(fleet.RunUntilComplete());
  const bool resumed =
      std::any_of(fleet.engines.requests.begin(), fleet.engines.requests.end(),
                  [](const GenerateRequest& request) { return !request.resume_tokens.empty(); });
  REQUIRE(resumed);
  REQUIRE(ReadAll(fleet).size() == 12);
}

/// One long sample on gateway 0 and engine 0, whose steps then take `step` each. Gateway 1 can use
/// only engine 1.
void SlowDown(RolloutFleet& fleet, Duration step) {
  fleet.Spec().idle_time_weight = 1;
  fleet.Configure();
  fleet.gateways[1]->placement.unavailable = {EngineName("engine-0"), EngineName("engine-1")};
  fleet.scheduler.RunFor(std::chrono::seconds(4));
  fleet.Execute(LongStep(1));
  REQUIRE(RunUntilRunning(fleet, 0, 8));
  fleet.gateways[1]->placement.unavailable = {EngineName("engine-0")};
  fleet.models[0]->SetStepTime({step, Duration(0), Duration(0)});
}

TEST_CASE("a sample that stalls at the end of a step is hedged on another gateway") {
  RolloutFleet fleet;
  SlowDown(fleet, std::chrono::hours(1));
  REQUIRE(fleet.gateways[1]->worker->counts().attempts_started == 0);
  REQUIRE(fleet.scheduler.RunUntilTrue(
      [&] { return fleet.gateways[1]->worker->counts().attempts_started == 1; },
      std::chrono::milliseconds(4900)));
  REQUIRE(fleet.RunUntilComplete());
  fleet.scheduler.RunFor(std::chrono::seconds(3));
  REQUIRE(ReadAll(fleet).size() == 1);
  REQUIRE(fleet.gateways[0]->worker->running() == 0);
}

TEST_CASE("a straggler moves to a faster engine with its tokens and its KV cache") {
  RolloutFleet fleet;
  SlowDown(fleet, std::chrono::milliseconds(400));
  REQUIRE(fleet.RunUntilComplete());
  REQUIRE(fleet.gateways[0]->worker->counts().stragglers_moved == 1);
  const GenerateRequest& moved = fleet.engines.requests.back();
  REQUIRE(moved.kv_source == RolloutFleet::Address(0));
  REQUIRE(moved.resume_tokens.size() >= 8);
  const std::vector<DeliveredEntry> items = ReadAll(fleet);
  REQUIRE(items.size() == 1);
  REQUIRE(items[0].sample.spans.size() == 2);
}

TEST_CASE("without a lease a gateway starts nothing") {
  RolloutFleet fleet;
  fleet.configuration.lease = false;
  fleet.Execute(MakeStep("a", 4));
  fleet.scheduler.RunFor(std::chrono::seconds(10));
  REQUIRE(fleet.engines.requests.empty());
  fleet.configuration.lease = true;
  REQUIRE(fleet.RunUntilComplete());
}

TEST_CASE("a failed scoring call is retried") {
  RolloutFleet fleet;
  fleet.scorer.failures = 5;
  fleet.Execute(MakeStep("a", 3));
  REQUIRE(fleet.RunUntilComplete());
  RequireSamplesMatch(ReadAll(fleet), 3);
  REQUIRE(fleet.scorer.calls == 8);
}

TEST_CASE("attempts beyond the staleness bound are restarted") {
  RolloutFleet fleet;
  fleet.Spec().staleness_bound = 0;
  fleet.Configure();
  fleet.Execute(LongStep(6));
  REQUIRE(RunUntilRunning(fleet, 0, 8));
  for (auto& model : fleet.models) {
    EngineOrder order{OrderKind::kStage, Revision(5),        kModel,
                      WeightVersion(2),  DigestOfVersion(2), "w"};
    model->ApplyOrder(order, [&, order](const absl::Status&) mutable {
      order.kind = OrderKind::kActivate;
      model->ApplyOrder(order, [](const absl::Status&) {});
    });
  }
  fleet.PublishVersion(2);
  REQUIRE(fleet.RunUntilComplete());
  REQUIRE(fleet.RunUntilComplete());
  uint32_t fresh = 0;
  for (const DeliveredEntry& item : ReadAll(fleet)) {
    if (item.withdrawn) continue;
    ++fresh;
    REQUIRE(item.sample.spans.front().version == WeightVersion(2));
  }
  REQUIRE(fresh == 6);
}

}  // namespace
}  // namespace millstair
