#include "jobs/engine_pace_recorder.h"

#include <catch2/catch.hpp>
#include <set>

#include "test/jobs/fake_group.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A group that counts the records that are proposed to it.
class CountingGroup : public FakeGroup {
 public:
  using FakeGroup::FakeGroup;
  void Propose(std::string command,
               std::function<void(absl::StatusOr<std::string>)> done) override {
    ++proposals;
    FakeGroup::Propose(std::move(command), std::move(done));
  }
  int proposals = 0;
};

struct Fixture {
  Fixture() {
    recorder.SetSupportCheck([this](const std::function<void(bool)>& done) { done(supported); });
  }

  void Measure(const std::string& engine, Duration pace) {
    for (int i = 0; i < 50; ++i) speeds.RecordInterval(InstanceId(engine), pace, TimePoint());
  }

  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 2};
  JobStateMachine state;
  CountingGroup group{scheduler, &state};
  EngineSpeedTracker speeds;
  std::set<InstanceId> engines = {InstanceId("a"), InstanceId("b")};
  bool supported = true;
  EnginePaceRecorder recorder{environment, group, state, speeds, [this](const InstanceId& engine) {
                                return engines.contains(engine);
                              }};
};

// Guards the log against paces that change all the time.
TEST_CASE("Paces are recorded at most every two seconds, and only after a large change") {
  Fixture fixture;
  fixture.Measure("a", milliseconds(40));
  CHECK(fixture.recorder.Start() == 0);
  fixture.Measure("a", milliseconds(40));
  fixture.scheduler.RunFor(milliseconds(1990));
  CHECK(fixture.group.proposals == 0);
  fixture.scheduler.RunFor(milliseconds(20));
  CHECK(fixture.group.proposals == 1);
  CHECK(fixture.state.engine_paces() ==
        std::vector<EnginePace>{{InstanceId("a"), milliseconds(40)}});
  fixture.Measure("a", milliseconds(44));
  fixture.scheduler.RunFor(seconds(10));
  CHECK(fixture.group.proposals == 1);
  fixture.Measure("a", milliseconds(48));
  fixture.scheduler.RunFor(seconds(10));
  CHECK(fixture.group.proposals == 2);
  for (int i = 0; i < 100; ++i) {
    fixture.Measure("a", milliseconds(i % 2 == 0 ? 20 : 80));
    fixture.scheduler.RunFor(milliseconds(100));
  }
  CHECK(fixture.group.proposals <= 7);
}

TEST_CASE("A new engine and one that is gone cause a record") {
  Fixture fixture;
  fixture.recorder.Start();
  fixture.Measure("a", milliseconds(40));
  fixture.scheduler.RunFor(seconds(3));
  fixture.Measure("b", milliseconds(40));
  fixture.scheduler.RunFor(seconds(2));
  CHECK(fixture.state.engine_paces().size() == 2);
  fixture.engines.erase(InstanceId("a"));
  fixture.scheduler.RunFor(seconds(2));
  REQUIRE(fixture.state.engine_paces().size() == 1);
  CHECK(fixture.state.engine_paces()[0].engine == InstanceId("b"));
  CHECK(fixture.group.proposals == 3);
}

// An older build skips an entry that it does not decode.
TEST_CASE("No paces are recorded while a node does not decode them") {
  Fixture fixture;
  fixture.supported = false;
  fixture.recorder.Start();
  fixture.Measure("a", milliseconds(40));
  fixture.scheduler.RunFor(seconds(10));
  CHECK(fixture.group.proposals == 0);
  fixture.supported = true;
  fixture.scheduler.RunFor(seconds(3));
  CHECK(fixture.group.proposals == 1);
}

TEST_CASE("A record that was not committed is proposed again") {
  Fixture fixture;
  fixture.recorder.Start();
  fixture.Measure("a", milliseconds(40));
  fixture.group.quorum = false;
  fixture.scheduler.RunFor(seconds(3));
  CHECK(fixture.group.proposals == 1);
  fixture.group.quorum = true;
  fixture.scheduler.RunFor(seconds(2));
  CHECK(fixture.group.proposals == 2);
  CHECK(fixture.state.engine_paces().size() == 1);
}

TEST_CASE("A deposed leader proposes nothing, whenever the support is known") {
  Fixture fixture;
  std::function<void(bool)> answer;
  fixture.recorder.SetSupportCheck([&](std::function<void(bool)> done) { answer = done; });
  fixture.recorder.Start();
  fixture.Measure("a", milliseconds(40));
  fixture.scheduler.RunFor(seconds(3));
  REQUIRE(answer);
  fixture.recorder.Stop();
  answer(true);
  fixture.scheduler.RunFor(seconds(10));
  CHECK(fixture.group.proposals == 0);
}

}  // namespace
}  // namespace millstair
