/// A gateway must confirm its configuration within the propagation bound although the control nodes
/// of its zone are unresponsive.
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

/// Bound on the time from the acknowledgement of a change until all nodes apply it.
constexpr Duration kMaxPropagationDelay = milliseconds(2500);
constexpr int kControlNodes = 13;
constexpr int kZones = 4;
constexpr int kSeeds = 3;
/// Long enough that the first poll of the own zone is due.
constexpr Duration kUptime = seconds(40);
constexpr Duration kStep = milliseconds(5);

NodeId ControlNodeName(int number) { return NodeId(fmt::format("c{:02}", number)); }

Zone ZoneOf(int number) { return Zone(fmt::format("z{}", number % kZones)); }

/// Control nodes that reply to heartbeats after 20 ms unless they are unresponsive, and a gateway
/// whose seeds are three of them without their zones.
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

  /// Maximum confirmation age during the next `span`; Duration::max() if there was no confirmation.
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

TEST_CASE("A node whose zone is unresponsive confirms its configuration within the bound") {
  const uint64_t seed = GENERATE(range(1, 41));
  UnresponsiveNodesFixture fixture(seed);
  fixture.scheduler.RunFor(kUptime);
  REQUIRE(fixture.client->LeaseValid());
  fixture.StopReplies("z0");
  fixture.StopReplies("z3");
  INFO("seed " << seed);
  CHECK(fixture.MaxConfirmationAge(seconds(10)) < kMaxPropagationDelay);
}

TEST_CASE("Polling an unresponsive own zone does not delay confirmations") {
  const uint64_t seed = GENERATE(range(1, 11));
  UnresponsiveNodesFixture fixture(seed);
  fixture.scheduler.RunFor(kUptime);
  fixture.StopReplies("z0");
  fixture.scheduler.RunFor(seconds(10));
  INFO("seed " << seed);
  CHECK(fixture.MaxConfirmationAge(seconds(120)) < milliseconds(1000));
  // The node returns to its own zone once that replies again.
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
