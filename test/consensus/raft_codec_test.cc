#include "consensus/raft_codec.h"

#include <catch2/catch.hpp>

#include "common/random.h"
#include "consensus_fleet.h"

namespace millstair {
namespace {

AddressedRaftMessage Append(const std::string& payload) {
  AddressedRaftMessage out;
  out.group = GroupId("stream/a");
  out.group_key = GroupKey(out.group);
  out.message.type = RaftMessageType::kAppend;
  out.message.from = ReplicaId(1);
  out.message.to = ReplicaId(2);
  out.message.term = Term(7);
  out.message.position = {LogIndex(10), Term(6)};
  out.message.commit = LogIndex(9);
  out.message.entries.push_back(
      {LogIndex(11), Term(7), EntryType::kCommand, std::make_shared<std::string>(payload)});
  return out;
}

TEST_CASE("batches survive encoding, also entries larger than a bytes field") {
  const std::string payload(200000, 'p');
  AddressedRaftMessage heartbeat;
  heartbeat.group_key = 99;
  heartbeat.message.type = RaftMessageType::kHeartbeatReply;
  heartbeat.message.context = 5;
  const auto decoded = DecodeRaftBatch(EncodeRaftBatch({Append(payload), heartbeat}));
  REQUIRE(decoded.ok());
  REQUIRE(decoded->size() == 2);
  const AddressedRaftMessage& append = (*decoded)[0];
  REQUIRE(append.group == GroupId("stream/a"));
  REQUIRE(append.message.position == LogPosition{LogIndex(10), Term(6)});
  REQUIRE(append.message.entries.size() == 1);
  REQUIRE(append.message.entries[0].index == LogIndex(11));
  REQUIRE(*append.message.entries[0].payload == payload);
  REQUIRE((*decoded)[1].group_key == 99);
  REQUIRE((*decoded)[1].message.type == RaftMessageType::kHeartbeatReply);
  REQUIRE((*decoded)[1].message.context == 5);
}

TEST_CASE("members and group snapshots survive encoding") {
  const std::vector<GroupMember> members = {{ReplicaId(5), NodeId("a"), "127.0.0.1:1", true},
                                            {ReplicaId(6), NodeId("b"), "127.0.0.1:2", false}};
  REQUIRE(*DecodeMembers(EncodeMembers(members)) == members);
  const std::string bytes = EncodeGroupSnapshotHeader(members) + "state";
  const auto snapshot = DecodeGroupSnapshot(bytes);
  REQUIRE(snapshot->members == members);
  REQUIRE(snapshot->state == "state");
  for (size_t size = 0; size + 5 < bytes.size(); ++size) {
    REQUIRE_FALSE(DecodeGroupSnapshot(std::string_view(bytes).substr(0, size)).ok());
  }
}

TEST_CASE("mutated batches neither crash the decoder nor a running replica") {
  ConsensusFleet fleet(3, 31);
  REQUIRE(fleet.RunUntilLeader());
  REQUIRE(fleet.Propose("a").ok());
  GroupHost& host = *fleet.nodes.at(fleet.LeaderNode())->host;
  RandomEngine random(8);
  int refused = 0;
  for (int round = 0; round < 5000; ++round) {
    AddressedRaftMessage message = Append("payload");
    message.group = kTestGroup;
    message.message.type = static_cast<RaftMessageType>(1 + DrawBelow(random, 14));
    message.message.to = host.identity().replica;
    message.message.from = fleet.InitialMembers()[DrawBelow(random, 3)].replica;
    message.message.term = Term(DrawBelow(random, 3));
    message.message.position.index = LogIndex(random() >> DrawBelow(random, 64));
    std::string bytes = EncodeRaftBatch({message});
    for (uint64_t i = DrawBelow(random, 4); i > 0; --i) {
      bytes[DrawBelow(random, bytes.size())] = static_cast<char>(random());
    }
    bytes.resize(bytes.size() - DrawBelow(random, 3));
    if (!DecodeRaftBatch(bytes).ok()) ++refused;
    host.Receive(NodeId("n1"), {MessageKind::kRaft, bytes});
    fleet.scheduler.RunFor(std::chrono::milliseconds(1));
  }
  REQUIRE(refused > 1000);
}

}  // namespace
}  // namespace millstair
