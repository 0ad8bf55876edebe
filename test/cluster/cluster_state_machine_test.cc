#include "cluster/cluster_state_machine.h"

#include <catch2/catch.hpp>

#include "test/cluster/cluster_test_support.h"

namespace millstair {
namespace {

MachineSpec MachineAt(const std::string& address) { return {Zone("a"), address, false}; }

ClaimKey ClaimOf(const std::string& key, const std::string& gateway, uint64_t attempt) {
  ClaimKey claim;
  claim.key = key;
  claim.gateway = NodeId(gateway);
  claim.incarnation = Incarnation(1);
  claim.request_digest = "digest";
  claim.attempt = attempt;
  return claim;
}

SettleClaim SettleOf(const ClaimKey& claim, bool released) {
  return {claim.key, claim.gateway, claim.incarnation, released, 200, claim.attempt};
}

TEST_CASE("of two writers at the same version one wins and the other is shown the winner") {
  StateMachineDriver driver;
  const Revision created = driver.Apply(Put(MakeResource("m", MachineAt("1")))).revision;
  CHECK(driver.Apply(Put(MakeResource("m", MachineAt("2")), created)).code ==
        ClusterResultCode::kOk);
  const ClusterResult lost = driver.Apply(Put(MakeResource("m", MachineAt("3")), created));
  CHECK(lost.code == ClusterResultCode::kConflict);
  REQUIRE(lost.conflicting.size() == 1);
  CHECK(std::get<MachineSpec>(lost.conflicting[0].spec).address == "2");
  CHECK(lost.conflicting[0].version == driver.state.configuration().revision);
}

TEST_CASE("expecting absence fails once the resource is there") {
  StateMachineDriver driver;
  CHECK(driver.Apply(Put(MakeResource("m", MachineAt("1")), Revision())).code ==
        ClusterResultCode::kOk);
  CHECK(driver.Apply(Put(MakeResource("m", MachineAt("2")), Revision())).code ==
        ClusterResultCode::kConflict);
}

TEST_CASE("a change of several resources happens as a whole or not at all") {
  StateMachineDriver driver;
  PutResources put;
  put.items.push_back({MakeResource("m", MachineAt("1")), std::nullopt});
  put.items.push_back(
      {MakeResource("e", EngineSpec{EngineType::kModel, "missing", "1:1", false}), std::nullopt});
  CHECK(driver.Apply(put).code == ClusterResultCode::kInvalid);
  CHECK(driver.state.configuration().resources.empty());
  CHECK(driver.state.configuration().revision == Revision());
  put.items[1].resource = MakeResource("e", EngineSpec{EngineType::kModel, "m", "1:1", false});
  CHECK(driver.Apply(put).code == ClusterResultCode::kOk);
  CHECK(driver.state.configuration().resources.size() == 2);
}

TEST_CASE("what others name is not deleted") {
  StateMachineDriver driver;
  driver.Apply(Put(MakeResource("x", ModelSpec{})));
  driver.Apply(Put(MakeResource("p", PoolSpec{ModelName("x"), 1, 1})));
  CHECK(driver.Apply(DeleteResource{{ResourceKind::kModel, "x"}, std::nullopt}).code ==
        ClusterResultCode::kInvalid);
  CHECK(driver.Apply(DeleteResource{{ResourceKind::kPool, "p"}, std::nullopt}).code ==
        ClusterResultCode::kOk);
  CHECK(driver.Apply(DeleteResource{{ResourceKind::kModel, "x"}, std::nullopt}).code ==
        ClusterResultCode::kOk);
  CHECK(driver.Apply(DeleteResource{{ResourceKind::kModel, "x"}, std::nullopt}).code ==
        ClusterResultCode::kNotFound);
}

TEST_CASE("a resend gets its first answer, also after others changed the resource") {
  StateMachineDriver driver;
  const ClientId client = driver.Apply(OpenSession{}).session;
  const SessionStamp stamp{client, ClientSequence(1)};
  const auto put = Put(MakeResource("m", MachineAt("1")), Revision());
  const ClusterResult first = driver.Apply(put, stamp);
  driver.Apply(Put(MakeResource("m", MachineAt("2"))));
  const ClusterResult second = driver.Apply(put, stamp);
  CHECK(second.code == ClusterResultCode::kOk);
  CHECK(second.revision == first.revision);
  CHECK(driver.state.configuration().FindSpec<MachineSpec>(ResourceKind::kMachine, "m")->address ==
        "2");
}

TEST_CASE("a sequence used for another change is refused") {
  StateMachineDriver driver;
  const SessionStamp stamp{driver.Apply(OpenSession{}).session, ClientSequence(1)};
  driver.Apply(Put(MakeResource("m", MachineAt("1"))), stamp);
  CHECK(driver.Apply(Put(MakeResource("n", MachineAt("1"))), stamp).code ==
        ClusterResultCode::kInvalid);
}

TEST_CASE("unknown, forgotten and expired stamps are refused without effect") {
  ClusterLimits limits;
  limits.sessions.max_answers = 2;
  StateMachineDriver driver(limits);
  const auto put = Put(MakeResource("m", MachineAt("1")));
  CHECK(driver.Apply(put, SessionStamp{ClientId("nobody"), ClientSequence(1)}).code ==
        ClusterResultCode::kSessionExpired);
  CHECK(driver.state.configuration().resources.empty());
  const ClientId client = driver.Apply(OpenSession{}).session;
  for (uint64_t i = 1; i <= 3; ++i) {
    driver.Apply(Put(MakeResource("m", MachineAt(std::to_string(i)))),
                 SessionStamp{client, ClientSequence(i)});
  }
  CHECK(driver.Apply(put, SessionStamp{client, ClientSequence(1)}).code ==
        ClusterResultCode::kSessionExpired);
  // The clock moves at most a minute a command.
  for (int i = 0; i < 24 * 60 + 2; ++i) {
    driver.second += 60;
    driver.Apply(UpdateMembers{});
  }
  CHECK(driver.Apply(put, SessionStamp{client, ClientSequence(3)}).code ==
        ClusterResultCode::kSessionExpired);
  CHECK(driver.state.sessions().sessions().empty());
}

TEST_CASE("the number of sessions is bounded and the least recently used goes first") {
  ClusterLimits limits;
  limits.sessions.max_sessions = 2;
  StateMachineDriver driver(limits);
  const ClientId first = driver.Apply(OpenSession{}).session;
  driver.second += 1;
  const ClientId second = driver.Apply(OpenSession{}).session;
  driver.second += 1;
  driver.Apply(Put(MakeResource("m", MachineAt("1"))), SessionStamp{first, ClientSequence(1)});
  driver.second += 1;
  driver.Apply(OpenSession{});
  CHECK(driver.state.sessions().sessions().contains(first));
  CHECK_FALSE(driver.state.sessions().sessions().contains(second));
}

TEST_CASE("sessions survive a snapshot; the variant that leaves them out runs a resend twice") {
  for (const bool broken : {false, true}) {
    ClusterFaults faults;
    faults.sessions_not_in_snapshot = broken;
    StateMachineDriver driver({}, faults);
    const SessionStamp stamp{driver.Apply(OpenSession{}).session, ClientSequence(1)};
    const auto put = Put(MakeResource("m", MachineAt("1")), Revision());
    driver.Apply(put, stamp);
    REQUIRE(driver.state.Restore(driver.index, driver.state.TakeSnapshot()).ok());
    const ClusterResult resent = driver.Apply(put, stamp);
    CHECK((resent.code == ClusterResultCode::kOk) == !broken);
  }
}

TEST_CASE("a claimed key is given once; only its own attempt settles it") {
  StateMachineDriver driver;
  const ClaimKey claim = ClaimOf("k", "g1", 7);
  CHECK(driver.Apply(claim).code == ClusterResultCode::kOk);
  CHECK(driver.Apply(claim).code == ClusterResultCode::kOk);
  CHECK(driver.Apply(ClaimOf("k", "g1", 8)).code == ClusterResultCode::kClaimHeld);
  CHECK(driver.Apply(ClaimOf("k", "g2", 7)).code == ClusterResultCode::kClaimHeld);
  CHECK(driver.Apply(SettleOf(ClaimOf("k", "g2", 7), true)).code ==
        ClusterResultCode::kClaimMismatch);
  ClaimKey other = ClaimOf("k", "g2", 9);
  other.request_digest = "other";
  CHECK(driver.Apply(other).code == ClusterResultCode::kClaimMismatch);
  CHECK(driver.Apply(SettleOf(claim, false)).code == ClusterResultCode::kOk);
  CHECK(driver.Apply(claim).code == ClusterResultCode::kClaimDone);
  CHECK(driver.Apply(SettleOf(claim, true)).code == ClusterResultCode::kConflict);
}

TEST_CASE("a claim without an attempt is never granted twice") {
  StateMachineDriver driver;
  CHECK(driver.Apply(ClaimOf("k", "g1", 0)).code == ClusterResultCode::kOk);
  CHECK(driver.Apply(ClaimOf("k", "g1", 0)).code == ClusterResultCode::kClaimHeld);
}

TEST_CASE("a released key may be claimed by a new attempt, and late copies change nothing") {
  StateMachineDriver driver;
  const ClaimKey first = ClaimOf("k", "g1", 1);
  const ClaimKey second = ClaimOf("k", "g1", 2);
  driver.Apply(first);
  driver.Apply(SettleOf(first, true));
  CHECK(driver.Apply(first).code == ClusterResultCode::kClaimHeld);
  CHECK(driver.Apply(second).code == ClusterResultCode::kOk);
  CHECK(driver.Apply(SettleOf(first, true)).code == ClusterResultCode::kClaimMismatch);
  CHECK(driver.Apply(ClaimOf("k", "g2", 3)).code == ClusterResultCode::kClaimHeld);
}

TEST_CASE("keys are forgotten only after the retention, and too old ones are refused") {
  ClusterLimits limits;
  limits.claims.max_claims = 1;
  StateMachineDriver driver(limits);
  driver.Apply(ClaimOf("k", "g1", 1));
  CHECK(driver.Apply(ClaimOf("full", "g1", 1)).code == ClusterResultCode::kInvalid);
  for (int i = 0; i < 24 * 60; ++i) {
    driver.second += 60;
    driver.Apply(UpdateMembers{});
  }
  CHECK(driver.Apply(ClaimOf("k", "g2", 1)).code == ClusterResultCode::kClaimHeld);
  driver.second += 1;
  ClaimKey old = ClaimOf("k", "g2", 1);
  old.issued = AtSecond(1'000'000);
  CHECK(driver.Apply(old).code == ClusterResultCode::kClaimTooOld);
  CHECK(driver.Apply(ClaimOf("full", "g1", 1)).code == ClusterResultCode::kOk);
}

TEST_CASE("a wall clock that jumps far ahead does not forget keys at once") {
  StateMachineDriver driver;
  driver.Apply(ClaimOf("k", "g1", 1));
  driver.second += 1'000'000;
  CHECK(driver.Apply(ClaimOf("k", "g2", 1)).code == ClusterResultCode::kClaimHeld);
}

TEST_CASE("versions of a model count up, keep their digest and are bounded") {
  ClusterLimits limits;
  limits.max_published_versions = 3;
  StateMachineDriver driver(limits);
  const ModelName model("x");
  const auto version = [](uint64_t number, const std::string& digest) {
    return PublishedVersion{WeightVersion(number), WeightDigest(digest), "place"};
  };
  CHECK(driver.Apply(PublishVersion{model, version(1, "a")}).code == ClusterResultCode::kNotFound);
  driver.Apply(Put(MakeResource("x", ModelSpec{})));
  CHECK(driver.Apply(PublishVersion{model, version(1, "a")}).code == ClusterResultCode::kOk);
  const Revision before = driver.state.configuration().revision;
  CHECK(driver.Apply(PublishVersion{model, version(1, "a")}).code == ClusterResultCode::kOk);
  CHECK(driver.state.configuration().revision == before);
  CHECK(driver.Apply(PublishVersion{model, version(1, "b")}).code == ClusterResultCode::kConflict);
  CHECK(driver.Apply(SetModelTarget{model, WeightVersion(2), WeightVersion(1)}).code ==
        ClusterResultCode::kInvalid);
  CHECK(driver.Apply(SetModelTarget{model, WeightVersion(1), WeightVersion(1)}).code ==
        ClusterResultCode::kOk);
  const Revision active_at = driver.state.configuration().models.at(model).active_at;
  for (uint64_t i = 2; i <= 6; ++i) driver.Apply(PublishVersion{model, version(i, "d")});
  const ModelStatus& status = driver.state.configuration().models.at(model);
  CHECK(status.published.size() == 3);
  CHECK(status.published.front().version == WeightVersion(1));
  CHECK(status.published.back().version == WeightVersion(6));
  CHECK(status.active_at == active_at);
  CHECK(driver.Apply(PublishVersion{model, version(4, "d")}).code == ClusterResultCode::kConflict);
}

TEST_CASE("an earlier life of a node or an engine does not replace a later one") {
  StateMachineDriver driver;
  driver.Apply(Put(MakeResource("m", MachineAt("1"))));
  driver.Apply(Put(MakeResource("e", EngineSpec{EngineType::kModel, "m", "1:1", false})));
  UpdateMembers update;
  update.nodes = {{NodeId("n"), Incarnation(2), Zone("a"), "1:2", false, true, MemberState::kLive}};
  update.engines = {{EngineName("e"), Incarnation(2), MemberState::kLeaving},
                    {EngineName("unknown"), Incarnation(1), MemberState::kLive}};
  driver.Apply(update);
  update.nodes[0].incarnation = Incarnation(1);
  update.nodes[0].state = MemberState::kGone;
  update.engines = {{EngineName("e"), Incarnation(1), MemberState::kLive}};
  driver.Apply(update);
  const Configuration& configuration = driver.state.configuration();
  CHECK(configuration.nodes.at(NodeId("n")).state == MemberState::kLive);
  CHECK(configuration.engines.at(EngineName("e")).state == MemberState::kLeaving);
  CHECK(configuration.engines.size() == 1);
  CHECK(EffectiveState(configuration, EngineName("e")) == MemberState::kLeaving);
}

TEST_CASE("a life of a node that is gone gives way to any other") {
  StateMachineDriver driver;
  UpdateMembers update;
  update.nodes = {{NodeId("n"), Incarnation(2), Zone("a"), "1:2", false, true, MemberState::kLive}};
  driver.Apply(update);
  update.nodes[0].state = MemberState::kGone;
  update.nodes.push_back(
      {NodeId("n"), Incarnation(1), Zone("a"), "1:2", false, true, MemberState::kLive});
  driver.Apply(update);
  const NodeRecord& record = driver.state.configuration().nodes.at(NodeId("n"));
  CHECK(record.incarnation == Incarnation(1));
  CHECK(record.state == MemberState::kLive);
}

TEST_CASE("the most cautious word about a back end wins") {
  StateMachineDriver driver;
  const EngineName engine("e");
  const auto state = [&] { return EffectiveState(driver.state.configuration(), engine); };
  CHECK(state() == MemberState::kGone);
  driver.Apply(Put(MakeResource("m", MachineAt("1"))));
  driver.Apply(Put(MakeResource("e", EngineSpec{EngineType::kModel, "m", "1:1", false})));
  CHECK(state() == MemberState::kLive);
  UpdateMembers update;
  update.machines = {{"m", MemberState::kLeaving}};
  driver.Apply(update);
  CHECK(state() == MemberState::kLeaving);
  update.machines = {{"m", MemberState::kLive}};
  driver.Apply(update);
  CHECK(state() == MemberState::kLive);
  driver.Apply(Put(MakeResource("e", EngineSpec{EngineType::kModel, "m", "1:1", true})));
  CHECK(state() == MemberState::kLeaving);
  update.machines = {{"m", MemberState::kGone}};
  driver.Apply(update);
  CHECK(state() == MemberState::kGone);
}

TEST_CASE("a delta beyond the bounded history is full") {
  ClusterLimits limits;
  limits.max_history = 2;
  StateMachineDriver driver(limits);
  for (int i = 0; i < 4; ++i)
    driver.Apply(Put(MakeResource("m" + std::to_string(i), MachineSpec())));
  CHECK(driver.state.DeltaSince(Revision(1)).full);
  const ConfigurationDelta delta = driver.state.DeltaSince(Revision(2));
  CHECK_FALSE(delta.full);
  CHECK(delta.changed_resources.size() == 2);
}

TEST_CASE("deltas that skip or go back are refused without effect") {
  StateMachineDriver driver;
  driver.Apply(Put(MakeResource("m", MachineAt("1"))));
  Configuration held;
  REQUIRE(ApplyDelta(held, driver.state.DeltaSince(Revision())));
  const Configuration before = held;
  ConfigurationDelta gap;
  gap.from = Revision(5);
  gap.to = Revision(6);
  CHECK_FALSE(ApplyDelta(held, gap));
  ConfigurationDelta back;
  back.full = true;
  CHECK_FALSE(ApplyDelta(held, back));
  CHECK(held.resources == before.resources);
  CHECK(held.revision == before.revision);
}

AddUsage UsageOf(uint64_t sequence, uint64_t window, uint64_t requests) {
  return {
      {NodeId("g"), Incarnation(1), sequence, {{UsageWindow(window), TenantName("t"), requests}}}};
}

TEST_CASE("usage is summed, closed and accepted without a new revision of the configuration") {
  StateMachineDriver driver;
  const Revision before = driver.state.configuration().revision;
  driver.Apply(UsageOf(1, 7, 2));
  driver.Apply(UsageOf(1, 7, 2));
  driver.Apply(UsageOf(2, 7, 3));
  driver.Apply(CloseUsage{UsageWindow(7)});
  driver.Apply(UsageOf(3, 7, 9));
  const auto& windows = driver.state.usage().windows();
  REQUIRE(windows.size() == 1);
  CHECK(windows.at(UsageWindow(7)) == TenantCounts{{TenantName("t"), 5}});
  CHECK(driver.state.usage().late_requests() == 9);
  driver.Apply(AcceptUsage{UsageWindow(7)});
  CHECK(windows.empty());
  CHECK(driver.state.configuration().revision == before);
}

TEST_CASE("usage and the holders of duties last over a snapshot") {
  StateMachineDriver driver;
  driver.Apply(UsageOf(1, 7, 2));
  driver.Apply(UsageOf(2, 9, 3));
  driver.Apply(CloseUsage{UsageWindow(8)});
  const HolderAnnouncement announced{NodeId("c1"), "usage", Term(4), std::chrono::seconds(3)};
  driver.Apply(AnnounceDuty{announced});
  ClusterStateMachine restored;
  std::vector<HolderAnnouncement> heard;
  restored.OnLeaseAnnounced(
      [&heard](const HolderAnnouncement& announcement) { heard.push_back(announcement); });
  REQUIRE(restored.Restore(LogIndex(9), driver.state.TakeSnapshot()).ok());
  CHECK(restored.usage().state() == driver.state.usage().state());
  CHECK(restored.usage().OldestUnreported() == UsageWindow(7));
  CHECK(heard == std::vector{announced});
}

TEST_CASE("a usage report without a gateway, a number or a tenant is refused") {
  StateMachineDriver driver;
  AddUsage nameless = UsageOf(1, 7, 2);
  nameless.report.gateway = NodeId();
  CHECK(driver.Apply(nameless).code == ClusterResultCode::kInvalid);
  CHECK(driver.Apply(UsageOf(0, 7, 2)).code == ClusterResultCode::kInvalid);
  AddUsage ownerless = UsageOf(1, 7, 2);
  ownerless.report.counts[0].tenant = TenantName();
  CHECK(driver.Apply(ownerless).code == ClusterResultCode::kInvalid);
  CHECK(driver.state.usage().windows().empty());
}

TEST_CASE("broken variants grant what the product refuses") {
  ClusterFaults faults;
  faults.claim_skipped = true;
  faults.expected_version_ignored = true;
  StateMachineDriver driver({}, faults);
  driver.Apply(ClaimOf("k", "g1", 1));
  CHECK(driver.Apply(ClaimOf("k", "g2", 2)).code == ClusterResultCode::kOk);
  driver.Apply(Put(MakeResource("m", MachineAt("1"))));
  CHECK(driver.Apply(Put(MakeResource("m", MachineAt("2")), Revision())).code ==
        ClusterResultCode::kOk);
}

}  // namespace
}  // namespace millstair
