/// Properties of the state machine under random commands, and decoders fed with corrupt bytes.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <random>

#include "cluster/cluster_state_machine.h"
#include "cluster/control_messages.h"
#include "test/cluster/cluster_test_support.h"

namespace millstair {
namespace {

/// RapidCheck reads its seed from the environment at its first use.
const int kFixedSeed = setenv("RC_PARAMS", "seed=20261202", 0);

/// Generates random commands with few names, so that they conflict.
class CommandSource {
 public:
  explicit CommandSource(uint64_t seed) : random_(seed) {}

  ClusterOperation Operation() {
    switch (Below(10)) {
      case 0:
        return OpenSession{};
      case 1:
      case 2:
        return RandomPut();
      case 3:
        return DeleteResource{{static_cast<ResourceKind>(Below(8)), Name()}, Expected()};
      case 4:
        return ClaimKey{Name(), NodeId(Name()), Incarnation(Below(2)), "d", std::nullopt, Below(4)};
      case 5:
        return SettleClaim{Name(), NodeId(Name()), Incarnation(Below(2)), Below(2) == 0,
                           200,    Below(4)};
      case 6:
        return PublishVersion{ModelName(Name()),
                              {WeightVersion(Below(20)), WeightDigest(Name()), Name()}};
      case 7:
        return SetModelTarget{ModelName(Name()), WeightVersion(Below(20)),
                              WeightVersion(Below(20))};
      case 8:
        return BootstrapStreamGroup{
            StreamName(Name()), Revision(), {{ReplicaId(1 + Below(3)), NodeId(Name()), Name()}}};
      default:
        return RandomMembers();
    }
  }

  std::optional<SessionStamp> Stamp(uint64_t newest_index) {
    if (Below(2) == 0) return std::nullopt;
    return SessionStamp{ClientId("s" + std::to_string(Below(newest_index + 1))),
                        ClientSequence(1 + Below(6))};
  }

  uint64_t Below(uint64_t bound) { return random_() % bound; }

 private:
  std::string Name() { return std::string(1, static_cast<char>('a' + Below(3))); }
  std::optional<Revision> Expected() {
    if (Below(2) == 0) return std::nullopt;
    return Revision(Below(30));
  }

  Resource RandomResource() {
    Resource resource = MakeResource(Name(), RandomSpec(), {{"zone", Name()}});
    return resource;
  }

  ResourceSpec RandomSpec() {
    switch (Below(8)) {
      case 0:
        return MachineSpec{Zone(Name()), Name(), Below(2) == 0};
      case 1:
        return EngineSpec{EngineType::kHttp, Name(), Name(), Below(2) == 0};
      case 2:
        return ModelSpec{Name(), Below(9), Below(9), 0.25};
      case 3:
        return AdapterSpec{ModelName(Name()), WeightDigest(Name()), Name()};
      case 4:
        return PoolSpec{ModelName(Name()), 0.5, 3};
      case 5:
        return StreamSpec{Name(), Below(5), 0.25, 9, Name()};
      case 6:
        return TrafficGroupSpec{{Name(), Name()}, "/" + Name(), ModelName(Name()), Below(2) == 0};
      default:
        return MatchSpec{Selector{{{"k", Name()}}, {{Name(), SelectorOperator::kNotIn, {Name()}}}},
                         std::nullopt, Selector{}};
    }
  }

  PutResources RandomPut() {
    PutResources put;
    for (uint64_t i = 0; i <= Below(3); ++i) put.items.push_back({RandomResource(), Expected()});
    return put;
  }

  UpdateMembers RandomMembers() {
    UpdateMembers update;
    const auto state = static_cast<MemberState>(1 + Below(3));
    update.nodes.push_back(
        {NodeId(Name()), Incarnation(Below(4)), Zone(Name()), Name(), true, false, state});
    update.machines.push_back({Name(), state});
    update.engines.push_back({EngineName(Name()), Incarnation(Below(4)), state});
    if (Below(3) == 0) update.deleted_nodes.push_back(NodeId(Name()));
    return update;
  }

  std::mt19937_64 random_;
};

void CheckSame(const Configuration& a, const Configuration& b) {
  RC_ASSERT(a.revision == b.revision);
  RC_ASSERT(a.resources == b.resources);
  RC_ASSERT(a.models == b.models);
  RC_ASSERT(a.nodes == b.nodes);
  RC_ASSERT(a.machines == b.machines);
  RC_ASSERT(a.engines == b.engines);
}

constexpr int kCommands = 120;

TEST_CASE("random commands: replicas agree, also one restored from a snapshot in between") {
  rc::prop("restore anywhere", [](uint64_t seed, uint8_t restore_at) {
    CommandSource source(seed);
    StateMachineDriver straight;
    StateMachineDriver restored;
    Revision newest;
    for (int i = 0; i < kCommands; ++i) {
      const ClusterOperation operation = source.Operation();
      const auto stamp = source.Stamp(straight.index.value());
      straight.second = restored.second += static_cast<int64_t>(source.Below(100));
      const ClusterResult first = straight.Apply(operation, stamp);
      const ClusterResult second = restored.Apply(operation, stamp);
      RC_ASSERT(EncodeResult(first) == EncodeResult(second));
      RC_ASSERT(straight.state.configuration().revision >= newest);
      newest = straight.state.configuration().revision;
      if (i != restore_at % kCommands) continue;
      const std::string snapshot = restored.state.TakeSnapshot();
      ClusterStateMachine fresh;
      RC_ASSERT(fresh.Restore(restored.index, snapshot).ok());
      RC_ASSERT(fresh.TakeSnapshot() == snapshot);
      restored.state = std::move(fresh);
    }
    RC_ASSERT(straight.state.TakeSnapshot() == restored.state.TakeSnapshot());
  });
}

TEST_CASE("random commands: an immediate resend changes nothing and gets the same result") {
  rc::prop("resend equals", [](uint64_t seed) {
    CommandSource source(seed);
    StateMachineDriver driver;
    const ClientId client = driver.Apply(OpenSession{}).session;
    for (int i = 1; i <= kCommands; ++i) {
      const ClusterOperation operation = source.Operation();
      const SessionStamp stamp{client, ClientSequence(static_cast<uint64_t>(i))};
      const ClusterResult first = driver.Apply(operation, stamp);
      const std::string state = driver.state.TakeSnapshot();
      RC_ASSERT(EncodeResult(driver.Apply(operation, stamp)) == EncodeResult(first));
      RC_ASSERT(driver.state.TakeSnapshot() == state);
    }
  });
}

TEST_CASE("random commands: applying encoded deltas at any intervals gives the complete state") {
  rc::prop("deltas add up", [](uint64_t seed) {
    CommandSource source(seed);
    ClusterLimits limits;
    limits.max_history = 20;
    StateMachineDriver driver(limits);
    Configuration follower;
    for (int i = 0; i < kCommands; ++i) {
      driver.Apply(source.Operation());
      if (source.Below(8) != 0) continue;
      const auto delta = DecodeDelta(EncodeDelta(driver.state.DeltaSince(follower.revision)));
      RC_ASSERT(delta.ok());
      RC_ASSERT(ApplyDelta(follower, *delta));
      CheckSame(follower, driver.state.configuration());
    }
  });
}

TEST_CASE("random commands round-trip through their encoding") {
  rc::prop("command codec", [](uint64_t seed) {
    CommandSource source(seed);
    const ClusterCommand command{source.Operation(), source.Stamp(5), AtSecond(3)};
    const std::string bytes = EncodeCommand(command);
    const auto decoded = DecodeCommand(bytes);
    if (const auto* claim = std::get_if<ClaimKey>(&command.operation)) {
      RC_PRE(!claim->key.empty());
    }
    RC_ASSERT(decoded.ok());
    RC_ASSERT(decoded->operation.index() == command.operation.index());
    RC_ASSERT(EncodeCommand(*decoded) == bytes);
  });
}

TEST_CASE("decoders reject or survive corrupt bytes") {
  std::mt19937_64 random(20261);
  CommandSource source(7);
  StateMachineDriver driver;
  for (int i = 0; i < 40; ++i) driver.Apply(source.Operation());
  NodeHeartbeat heartbeat;
  heartbeat.sender.record.node = NodeId("n");
  heartbeat.observations.push_back({NodeId("g"), {EngineName("e"), Incarnation(1), true}});
  GroupCommand command{1, GroupId("cluster"), CommandMode::kQuery, "xyz", Duration(5), NodeId("o")};
  std::vector<std::string> seeds = {driver.state.TakeSnapshot(),
                                    EncodeDelta(driver.state.DeltaSince(Revision())),
                                    EncodeHeartbeat(heartbeat), EncodeGroupCommand(command)};
  for (int i = 0; i < 20; ++i) seeds.push_back(EncodeCommand({source.Operation(), {}, {}}));
  const std::string before = driver.state.TakeSnapshot();
  int refused = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = seeds[random() % seeds.size()];
    for (uint64_t i = 0; i <= random() % 4; ++i) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (random() % 2 == 0) bytes.resize(random() % bytes.size() + 1);
    refused += DecodeCommand(bytes).ok() ? 0 : 1;
    (void)DecodeDelta(bytes);
    (void)DecodeResult(bytes);
    (void)DecodeHeartbeat(bytes);
    (void)DecodeHeartbeatReply(bytes);
    (void)DecodeConfigurationPush(bytes);
    (void)DecodeGroupCommand(bytes);
    (void)DecodeGroupCommandReply(bytes);
    (void)DecodeClusterQuery(bytes);
    (void)DecodeLagging(bytes);
    ClusterStateMachine target;
    if (!target.Restore(LogIndex(1), bytes).ok()) {
      REQUIRE(target.configuration().resources.empty());
    }
  }
  CHECK(refused > 0);
  const auto result = DecodeResult(driver.state.Apply(Next(driver.index), "\xff\xff nonsense"));
  REQUIRE(result.ok());
  CHECK(result->code == ClusterResultCode::kInvalid);
  CHECK(driver.state.TakeSnapshot() == before);
}

}  // namespace
}  // namespace millstair
