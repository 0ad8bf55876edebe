/// What users saw: for seconds some gateways sent requests by routes that an acknowledged change
/// had moved or dropped, and answered 404 for routes that it had added, while every control node of
/// the majority answered operators.
///
/// Order of events, from the logs of 94 processes (scripts/soak, seeds 301 and 302): the control
/// nodes of a gateway's zone fall unresponsive together (cut off, frozen or down). The gateway
/// waits 0.7 to 1.1 s for each of them in turn. Then it asks one of another zone, and 0.4 s later
/// leaves that one unheard and goes through its unresponsive zone a second time: its last look for
/// its own zone is more than 30 s ago, so the next is due. 5.3 and 7.3 s without a proof were
/// logged; a change accepted 1.7 s after the silence began was applied after 5.5 s, where 2.5 s are
/// allowed.
///
/// Cause: the search was serial, one time-out for each unresponsive node, in the same order at
/// every gateway of a zone; and the return to the own zone gave a node that answers up for one that
/// may not.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "cluster/configuration_client.h"
#include "cluster/control_messages.h"
#include "common/virtual_environment.h"
#include "fmt/format.h"
#include "server/node_options.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time from an acknowledgement by which a change has to be in force, as deployments state it.
constexpr Duration kMaxPropagationDelay = milliseconds(2500);
constexpr int kControlNodes = 13;
constexpr int kZones = 4;
constexpr int kSeeds = 3;
/// So long after its start a node's first return to its own zone was due.
constexpr Duration kUptime = seconds(40);
constexpr Duration kStep = milliseconds(5);

NodeId ControlNodeName(int number) { return NodeId(fmt::format("c{:02}", number)); }

Zone ZoneOf(int number) { return Zone(fmt::format("z{}", number % kZones)); }

/// Control nodes that answer heartbeats within 20 ms, those that are unresponsive never, and one
/// node that was told three of them without their zones.
class UnresponsiveNodesFixture : public PeerTransport {
 public:
  explicit UnresponsiveNodesFixture(uint64_t seed) : environment_(scheduler, seed) {
    ServerSettings settings;
    settings.timing.leave_bound = kMaxPropagationDelay;
    NodeRecord self;
    self.node = NodeId("gateway");
    self.zone = ZoneOf(0);
    std::vector<ControlEndpoint> seeds;
    for (int number = 1; number <= kSeeds; ++number) {
      seeds.push_back({ControlNodeName(number), "address", Zone()});
    }
    client = MakeConfigurationClient(environment_, *this, self, seeds,
                                     IngressOptionsOf(settings, self).configuration_timing);
    client->Start();
  }

  void SetAddress(const NodeId&, const std::string&) override {}

  void Send(const NodeId& to, PeerMessage message) override {
    ++request_counts[to];
    if (unresponsive.contains(to)) return;
    const auto heartbeat = DecodeHeartbeat(message.payload);
    NodeHeartbeatReply reply{heartbeat->nonce, kRevision, ""};
    if (heartbeat->sender.applied < kRevision) reply.delta = EncodeDelta(Members());
    scheduler.Schedule(milliseconds(20), [this, to, reply] {
      client->Receive(to, {MessageKind::kHeartbeatReply, EncodeHeartbeatReply(reply)});
    });
  }

  void StopReplies(const std::string& zone) {
    for (int number = 1; number <= kControlNodes; ++number) {
      if (ZoneOf(number) == Zone(zone)) unresponsive.insert(ControlNodeName(number));
    }
  }

  /// The greatest age of the proof in the next `span`; forever if there was none.
  Duration MaxConfirmationAge(Duration span) {
    Duration oldest(0);
    for (Duration elapsed(0); elapsed < span; elapsed += kStep) {
      scheduler.RunFor(kStep);
      oldest = std::max(oldest, client->ConfirmationAge().value_or(Duration::max()));
    }
    return oldest;
  }

  VirtualScheduler scheduler{1};
  std::unique_ptr<ConfigurationClient> client;
  std::set<NodeId> unresponsive;
  std::map<NodeId, int> request_counts;

 private:
  static constexpr Revision kRevision{7};

  static ConfigurationDelta Members() {
    ConfigurationDelta delta;
    delta.to = kRevision;
    delta.full = true;
    for (int number = 1; number <= kControlNodes; ++number) {
      NodeRecord record;
      record.node = ControlNodeName(number);
      record.address = "address";
      record.zone = ZoneOf(number);
      record.control = true;
      delta.changed_nodes.push_back(record);
    }
    return delta;
  }

  VirtualEnvironment environment_;
};

TEST_CASE("A node whose zone falls silent is proven fresh again before a change is overdue") {
  const uint64_t seed = GENERATE(range(1, 41));
  UnresponsiveNodesFixture fixture(seed);
  fixture.scheduler.RunFor(kUptime);
  REQUIRE(fixture.client->LeaseValid());
  fixture.StopReplies("z0");
  fixture.StopReplies("z3");
  INFO("seed " << seed);
  CHECK(fixture.MaxConfirmationAge(seconds(10)) < kMaxPropagationDelay);
}

TEST_CASE("Looking for its own zone again costs a node no proof") {
  const uint64_t seed = GENERATE(range(1, 11));
  UnresponsiveNodesFixture fixture(seed);
  fixture.scheduler.RunFor(kUptime);
  fixture.StopReplies("z0");
  fixture.scheduler.RunFor(seconds(10));
  INFO("seed " << seed);
  CHECK(fixture.MaxConfirmationAge(seconds(120)) < milliseconds(1000));
  // Once its zone answers again the node goes back to it.
  fixture.unresponsive.clear();
  fixture.scheduler.RunFor(seconds(40));
  fixture.request_counts.clear();
  fixture.scheduler.RunFor(seconds(5));
  for (const auto& [node, count] : fixture.request_counts) {
    INFO(node.value());
    CHECK(ZoneOf(std::stoi(node.value().substr(1))) == ZoneOf(0));
  }
}

}  // namespace
}  // namespace millstair
