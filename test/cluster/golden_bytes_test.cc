/// Messages, entries and a snapshot written by the last build without relays (a6b60c8) must still
/// be decoded with the same meaning. Their bytes are in test/cluster/golden.
#include <catch2/catch.hpp>
#include <fstream>
#include <string>

#include "cluster/cluster_state_machine.h"
#include "cluster/control_messages.h"

namespace millstair {
namespace {

std::string Golden(const std::string& name) {
  std::ifstream file(std::string(MILLSTAIR_SOURCE_DIR) + "/test/cluster/golden/" + name + ".hex");
  std::string digits;
  REQUIRE(std::getline(file, digits));
  std::string bytes;
  constexpr int kBase = 16;
  for (size_t i = 0; i + 1 < digits.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, kBase));
  }
  return bytes;
}

void CheckNodes(const std::vector<NodeRecord>& nodes) {
  REQUIRE(nodes.size() == 2);
  CHECK(nodes[0].node == NodeId("10.1.0.4"));
  CHECK(nodes[0].control);
  CHECK(nodes[0].replica == ReplicaId(77));
  CHECK(nodes[0].machine == "machine-4");
  CHECK(nodes[1].gateway);
  CHECK(nodes[1].state == MemberState::kLeaving);
}

void CheckServer(const BackendInstance& server) {
  CHECK(server.id == InstanceId("i-7f3a91c2"));
  CHECK(server.service == ServiceName("pages"));
  CHECK(server.slots == 8);
  CHECK(server.models == std::vector<NamedVersion>{{ModelName("m"), WeightVersion(3)}});
  // Not encoded by that build.
  CHECK(server.cold_left == Duration(0));
}

void CheckDelta(const ConfigurationDelta& delta) {
  CHECK(delta.from == Revision(40));
  CHECK(delta.to == Revision(43));
  CheckNodes(delta.changed_nodes);
  REQUIRE(delta.changed_instances.size() == 1);
  CheckServer(delta.changed_instances[0]);
  CHECK(delta.deleted_instances == std::vector{InstanceId("i-gone")});
  REQUIRE(delta.routing);
  CHECK(delta.routing->version == 7);
  REQUIRE(delta.changed_suspects.size() == 1);
  CHECK(delta.changed_suspects[0].trials == 1);
  CHECK(delta.changed_evacuations.empty());
}

TEST_CASE("messages of the earlier build are decoded") {
  const auto heartbeat = DecodeHeartbeat(Golden("heartbeat"));
  REQUIRE(heartbeat.ok());
  CHECK(heartbeat->nonce == 4711);
  CHECK(heartbeat->confirmation_only);
  CHECK(heartbeat->sender.applied == Revision(41));
  REQUIRE(heartbeat->forwarded.size() == 1);
  CHECK(heartbeat->forwarded[0].replica == ReplicaId(77));
  // Such a node supports neither evacuations nor relaying, and is not redirected to another control
  // node.
  CHECK(heartbeat->sender.feature_level == kFirstLevel);
  CHECK_FALSE(heartbeat->sender.relays);
  CHECK_FALSE(heartbeat->redirect);
  const auto delta = DecodeDelta(Golden("delta"));
  REQUIRE(delta.ok());
  CheckDelta(*delta);
  const auto push = DecodeConfigurationPush(Golden("push"));
  REQUIRE(push.ok());
  CheckDelta(*push);
  const auto reply = DecodeHeartbeatReply(Golden("reply"));
  REQUIRE(reply.ok());
  CHECK(reply->confirmed == Revision(43));
  CHECK(reply->leader == NodeId());
  CHECK(DecodeHeartbeatReply(Golden("refusal"))->refusal == HeartbeatRefusal::kNoQuorum);
}

TEST_CASE("entries of the earlier build are decoded") {
  const auto update = DecodeCommand(Golden("command_update_instance"));
  REQUIRE(update.ok());
  CheckServer(std::get<UpdateInstance>(update->operation).instance);
  const auto routing = DecodeCommand(Golden("command_replace_routing"));
  REQUIRE(routing.ok());
  CHECK(std::get<ReplaceRouting>(routing->operation).document.version == 7);
  const auto members = DecodeCommand(Golden("command_update_members"));
  REQUIRE(members.ok());
  CheckNodes(std::get<UpdateMembers>(members->operation).nodes);
}

TEST_CASE("a snapshot of the earlier build is restored") {
  ClusterStateMachine state;
  REQUIRE(state.Restore(LogIndex(6), Golden("snapshot")).ok());
  const Configuration& held = state.configuration();
  CHECK(held.nodes.size() == 2);
  REQUIRE(held.instances.size() == 1);
  CheckServer(held.instances.begin()->second);
  CHECK(held.routing.version == 7);
  CHECK(held.versions.at(ModelName("m")).version == WeightVersion(3));
  CHECK(held.retired_nodes.contains(NodeId("10.1.0.4")));
  CHECK(held.suspects.at(RequestFingerprint("f")).crashed.size() == 2);
  CHECK(held.evacuated_zones.empty());
}

/// Without new fields, this build must encode the same bytes as the earlier one.
TEST_CASE("values without new fields are encoded as by the earlier build") {
  const auto delta = DecodeDelta(Golden("delta"));
  REQUIRE(delta.ok());
  CHECK(EncodeDelta(*delta) == Golden("delta"));
  for (const char* name :
       {"command_update_instance", "command_replace_routing", "command_update_members"}) {
    const auto command = DecodeCommand(Golden(name));
    REQUIRE(command.ok());
    CHECK(EncodeCommand(*command) == Golden(name));
  }
}

}  // namespace
}  // namespace millstair
