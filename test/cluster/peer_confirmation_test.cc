#include "cluster/peer_confirmation.h"

#include <catch2/catch.hpp>
#include <vector>

#include "cluster/configuration_client.h"
#include "common/virtual_environment.h"

namespace millstair {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

NodeRecord Gateway(const std::string& name) {
  NodeRecord record;
  record.node = NodeId(name);
  record.address = name;
  record.gateway = true;
  return record;
}

struct SentHeartbeat {
  NodeId to;
  NodeHeartbeat heartbeat;
};

class HeartbeatRecorder : public PeerTransport {
 public:
  void Send(const NodeId& to, PeerMessage message) override {
    if (message.kind != MessageKind::kHeartbeat) return;
    sent.push_back({to, *DecodeHeartbeat(message.payload)});
  }
  void SetAddress(const NodeId&, const std::string&) override {}

  std::vector<SentHeartbeat> sent;
};

/// A gateway "g1" that knows the gateway "g2", with a control node that answered once.
struct SearchingGateway {
  SearchingGateway() {
    client->Start();
    ConfigurationDelta delta;
    delta.full = true;
    delta.to = Revision(5);
    delta.changed_nodes = {Gateway("g1"), Gateway("g2")};
    NodeHeartbeatReply reply{transport.sent.back().heartbeat.nonce, Revision(5),
                             EncodeDelta(delta)};
    Reply("c1", reply);
  }

  void Reply(const std::string& from, const NodeHeartbeatReply& reply) {
    client->Receive(NodeId(from), {MessageKind::kHeartbeatReply, EncodeHeartbeatReply(reply)});
  }

  /// Runs until the next heartbeat to the other gateway, and returns it.
  NodeHeartbeat AwaitRequestToPeer() {
    transport.sent.clear();
    const auto requested = [this] {
      return !transport.sent.empty() && transport.sent.back().to == NodeId("g2");
    };
    REQUIRE(scheduler.RunUntilTrue(requested, seconds(20)));
    return transport.sent.back().heartbeat;
  }

  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 2};
  HeartbeatRecorder transport;
  std::unique_ptr<ConfigurationClient> client = MakeConfigurationClient(
      environment, transport, Gateway("g1"), {{NodeId("c1"), "c1", Zone()}}, {});
};

TEST_CASE("A lease from another gateway ends no later than that gateway's own") {
  SearchingGateway gateway;
  gateway.scheduler.RunFor(seconds(5));
  REQUIRE_FALSE(gateway.client->LeaseValid());
  const NodeHeartbeat request = gateway.AwaitRequestToPeer();
  Configuration held = gateway.client->configuration();
  gateway.Reply("g2", ConfirmToPeer(request, held, milliseconds(1500)));
  CHECK(gateway.client->LeaseValid());
  CHECK(gateway.client->ConfirmedBy() == NodeId("g2"));
  gateway.scheduler.RunFor(milliseconds(2499));
  CHECK(gateway.client->LeaseValid());
  gateway.scheduler.RunFor(milliseconds(1));
  CHECK_FALSE(gateway.client->LeaseValid());
}

TEST_CASE("Another gateway's newer configuration is applied with its confirmation") {
  SearchingGateway gateway;
  const NodeHeartbeat request = gateway.AwaitRequestToPeer();
  Configuration newer = gateway.client->configuration();
  newer.revision = Revision(9);
  newer.routing = {2, "content"};
  gateway.Reply("g2", ConfirmToPeer(request, newer, milliseconds(10)));
  CHECK(gateway.client->configuration().routing.version == 2);
  CHECK(gateway.client->LeaseValid());
}

TEST_CASE("A gateway without a confirmation refuses another gateway's heartbeat") {
  NodeHeartbeat heartbeat;
  heartbeat.nonce = 7;
  Configuration held;
  held.revision = Revision(3);
  const NodeHeartbeatReply reply = ConfirmToPeer(heartbeat, held, std::nullopt);
  CHECK(reply.refusal == HeartbeatRefusal::kNoQuorum);
  CHECK(reply.delta.empty());
}

TEST_CASE("A refusal by another gateway does not count as hearing from a control node") {
  SearchingGateway gateway;
  gateway.scheduler.RunFor(seconds(12));
  REQUIRE(gateway.client->IsIsolated());
  const NodeHeartbeat request = gateway.AwaitRequestToPeer();
  gateway.Reply("g2", ConfirmToPeer(request, {}, std::nullopt));
  CHECK(gateway.client->IsIsolated());
}

TEST_CASE("The age of a confirmation is sent in milliseconds, rounded up") {
  NodeHeartbeat heartbeat;
  heartbeat.nonce = 7;
  const NodeHeartbeatReply reply = ConfirmToPeer(heartbeat, {}, microseconds(2001));
  CHECK(DecodeHeartbeatReply(EncodeHeartbeatReply(reply))->confirmation_age == milliseconds(3));
}

TEST_CASE("Only live gateways without the control role are asked for a confirmation") {
  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 2};
  Configuration configuration;
  NodeRecord gone = Gateway("gone");
  gone.state = MemberState::kGone;
  NodeRecord control = Gateway("control");
  control.control = true;
  NodeRecord storage = Gateway("storage");
  storage.gateway = false;
  for (const NodeRecord& record : {Gateway("self"), gone, control, storage}) {
    configuration.nodes[record.node] = record;
  }
  CHECK(ChooseConfirmingPeer(configuration, NodeId("self"), environment.Random()) == nullptr);
  configuration.nodes[NodeId("g2")] = Gateway("g2");
  const NodeRecord* chosen =
      ChooseConfirmingPeer(configuration, NodeId("self"), environment.Random());
  REQUIRE(chosen != nullptr);
  CHECK(chosen->node == NodeId("g2"));
}

}  // namespace
}  // namespace millstair
