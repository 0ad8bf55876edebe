/// ConfigurationClient and ControlClient against scripted control nodes, in virtual time.
#include <catch2/catch.hpp>
#include <map>

#include "cluster/configuration_client.h"
#include "cluster/control_client.h"
#include "cluster/control_messages.h"
#include "common/virtual_environment.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct SentMessage {
  NodeId to;
  PeerMessage message;
};

class RecordingTransport : public PeerTransport {
 public:
  void Send(const NodeId& to, PeerMessage message) override {
    sent.push_back({to, std::move(message)});
  }
  void SetAddress(const NodeId&, const std::string&) override {}

  std::vector<SentMessage> sent;
};

const std::vector<ControlEndpoint> kControlNodes = {{NodeId("c1"), "1:1", Zone("a")},
                                                    {NodeId("c2"), "1:2", Zone("b")},
                                                    {NodeId("c3"), "1:3", Zone("c")}};

struct ClientFixture {
  explicit ClientFixture(ClusterFaults faults = {}) {
    NodeRecord self;
    self.node = NodeId("n");
    self.zone = Zone("b");
    client = MakeConfigurationClient(environment, transport, self, kControlNodes, {}, faults);
    client->OnChange([this](const ConfigurationDelta&) { ++changes; });
    client->Start();
  }

  NodeHeartbeat LastHeartbeat() const {
    return *DecodeHeartbeat(transport.sent.back().message.payload);
  }

  void Answer(uint64_t nonce, uint64_t confirmed, const ConfigurationDelta* delta = nullptr) {
    NodeHeartbeatReply reply{nonce, Revision(confirmed), delta ? EncodeDelta(*delta) : ""};
    client->Receive(NodeId("c2"), {MessageKind::kHeartbeatReply, EncodeHeartbeatReply(reply)});
  }

  void Refuse(const NodeId& from, uint64_t nonce, HeartbeatRefusal refusal) {
    NodeHeartbeatReply reply;
    reply.nonce = nonce;
    reply.refusal = refusal;
    client->Receive(from, {MessageKind::kHeartbeatReply, EncodeHeartbeatReply(reply)});
  }

  void Push(const ConfigurationDelta& delta) {
    client->Receive(NodeId("c2"),
                    {MessageKind::kConfigurationPush, EncodeConfigurationPush(EncodeDelta(delta))});
  }

  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 2};
  RecordingTransport transport;
  std::unique_ptr<ConfigurationClient> client;
  int changes = 0;
};

ConfigurationDelta DeltaTo(uint64_t from, uint64_t to, bool full = false) {
  ConfigurationDelta delta;
  delta.from = Revision(from);
  delta.to = Revision(to);
  delta.full = full;
  return delta;
}

TEST_CASE("the lease runs from the send time of the confirmed heartbeat") {
  ClientFixture fixture;
  CHECK(fixture.transport.sent.back().to == NodeId("c2"));
  CHECK_FALSE(fixture.client->LeaseValid());
  const uint64_t nonce = fixture.LastHeartbeat().nonce;
  fixture.scheduler.RunFor(milliseconds(800));
  fixture.Answer(nonce, 0);
  CHECK(fixture.client->LeaseValid());
  fixture.scheduler.RunFor(milliseconds(3199));
  CHECK(fixture.client->LeaseValid());
  fixture.scheduler.RunFor(milliseconds(1));
  CHECK_FALSE(fixture.client->LeaseValid());
}

TEST_CASE("no lease while the confirmed revision is not held, nor for a foreign nonce") {
  ClientFixture fixture;
  const uint64_t nonce = fixture.LastHeartbeat().nonce;
  fixture.Answer(nonce + 2, 0);
  CHECK_FALSE(fixture.client->LeaseValid());
  fixture.Answer(nonce, 7);
  CHECK_FALSE(fixture.client->LeaseValid());
  fixture.scheduler.RunFor(seconds(1) + milliseconds(200));
  const ConfigurationDelta delta = DeltaTo(0, 7, true);
  fixture.Answer(fixture.LastHeartbeat().nonce, 7, &delta);
  CHECK(fixture.client->LeaseValid());
  CHECK(fixture.client->configuration().revision == Revision(7));
  CHECK(fixture.changes == 1);
}

TEST_CASE("a push changes the configuration without a lease and never goes back") {
  ClientFixture fixture;
  fixture.Push(DeltaTo(0, 5, true));
  CHECK(fixture.client->configuration().revision == Revision(5));
  CHECK_FALSE(fixture.client->LeaseValid());
  fixture.Push(DeltaTo(0, 4, true));
  fixture.Push(DeltaTo(6, 7));
  CHECK(fixture.client->configuration().revision == Revision(5));
  CHECK(fixture.changes == 1);
}

TEST_CASE("the broken variant goes back to a smaller revision") {
  ClusterFaults faults;
  faults.smaller_revision_accepted = true;
  ClientFixture fixture(faults);
  fixture.Push(DeltaTo(0, 5, true));
  fixture.Push(DeltaTo(3, 4));
  CHECK(fixture.client->configuration().revision == Revision(4));
}

TEST_CASE("a node that is not confirmed yet contacts all its control nodes within half a second") {
  ClientFixture fixture;
  fixture.scheduler.RunFor(milliseconds(500));
  std::map<NodeId, int> heartbeats;
  for (const SentMessage& sent : fixture.transport.sent) ++heartbeats[sent.to];
  CHECK(heartbeats.size() == 3);
  CHECK(fixture.transport.sent.size() <= 5);
  // A reply to an earlier heartbeat counts, and ends the search.
  const uint64_t first = DecodeHeartbeat(fixture.transport.sent[0].message.payload)->nonce;
  fixture.Answer(first, 0);
  CHECK(fixture.client->LeaseValid());
  fixture.transport.sent.clear();
  fixture.scheduler.RunFor(milliseconds(1300));
  CHECK(fixture.transport.sent.size() <= 3);
}

TEST_CASE("after a refusal for lack of a replica the next control node is contacted at once") {
  ClientFixture fixture;
  for (int i = 0; i < 3; ++i) {
    const SentMessage last = fixture.transport.sent.back();
    fixture.Refuse(last.to, DecodeHeartbeat(last.message.payload)->nonce,
                   HeartbeatRefusal::kNoReplica);
  }
  std::map<NodeId, int> heartbeats;
  for (const SentMessage& sent : fixture.transport.sent) ++heartbeats[sent.to];
  CHECK(heartbeats.size() == 3);
  // Once each was contacted, further refusals trigger no requests.
  const size_t sent = fixture.transport.sent.size();
  for (int i = 0; i < 20; ++i) {
    fixture.Refuse(fixture.transport.sent.back().to, 1, HeartbeatRefusal::kNoReplica);
  }
  CHECK(fixture.transport.sent.size() <= sent + 1);
}

TEST_CASE("a refusal for lack of a quorum starts no search, and a confirmation may follow it") {
  ClientFixture fixture;
  const SentMessage first = fixture.transport.sent.back();
  const uint64_t nonce = DecodeHeartbeat(first.message.payload)->nonce;
  fixture.Refuse(first.to, nonce, HeartbeatRefusal::kNoQuorum);
  CHECK(fixture.transport.sent.size() == 1);
  CHECK_FALSE(fixture.client->LeaseValid());
  fixture.Answer(nonce, 0);
  CHECK(fixture.client->LeaseValid());
}

TEST_CASE("changes in the reply to an expired heartbeat are applied without a lease") {
  ClientFixture fixture;
  const uint64_t nonce = fixture.LastHeartbeat().nonce;
  fixture.scheduler.RunFor(seconds(6));
  const ConfigurationDelta delta = DeltaTo(0, 7, true);
  fixture.Answer(nonce, 7, &delta);
  CHECK(fixture.client->configuration().revision == Revision(7));
  CHECK(fixture.changes == 1);
  CHECK_FALSE(fixture.client->LeaseValid());
}

TEST_CASE("a node is isolated when all control nodes are unresponsive, not when they refuse") {
  ClientFixture fixture;
  std::vector<bool> notified;
  fixture.client->OnIsolationChange([&notified](bool isolated) { notified.push_back(isolated); });
  fixture.Answer(fixture.LastHeartbeat().nonce, 0);
  for (int i = 0; i < 30; ++i) {
    fixture.Refuse(NodeId("c1"), 1, HeartbeatRefusal::kNoQuorum);
    fixture.scheduler.RunFor(seconds(1));
  }
  CHECK_FALSE(fixture.client->LeaseValid());
  CHECK_FALSE(fixture.client->IsIsolated());
  fixture.scheduler.RunFor(seconds(10));
  CHECK(fixture.client->IsIsolated());
  CHECK(notified == std::vector<bool>{true});
  fixture.Answer(fixture.LastHeartbeat().nonce, 0);
  CHECK_FALSE(fixture.client->IsIsolated());
  CHECK(notified == std::vector<bool>{true, false});
}

TEST_CASE("without replies a node contacts all its control nodes in turn") {
  ClientFixture fixture;
  fixture.scheduler.RunFor(seconds(10));
  std::map<NodeId, int> heartbeats;
  for (const SentMessage& sent : fixture.transport.sent) ++heartbeats[sent.to];
  CHECK(heartbeats.size() == 3);
}

TEST_CASE("a node that uses another zone's control node returns to its own zone later") {
  ClientFixture fixture;
  const TimePoint start = fixture.environment.Now();
  while (fixture.environment.Now() - start < seconds(60)) {
    const size_t before = fixture.transport.sent.size();
    fixture.scheduler.RunFor(milliseconds(50));
    for (size_t i = before; i < fixture.transport.sent.size(); ++i) {
      const SentMessage sent = fixture.transport.sent[i];
      const bool healed = fixture.environment.Now() - start > seconds(10);
      if (sent.to == NodeId("c2") && !healed) continue;
      fixture.Answer(DecodeHeartbeat(sent.message.payload)->nonce, 0);
    }
    if (fixture.environment.Now() - start > seconds(5)) CHECK(fixture.client->LeaseValid());
  }
  CHECK(fixture.transport.sent.back().to == NodeId("c2"));
}

/// Guards against a read that waits for the relay's next regular heartbeat because the timeout
/// timer of an earlier, confirmed read is still armed.
TEST_CASE("a relay sends each further read at once") {
  constexpr Duration kSentWithin = milliseconds(10);
  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 2};
  RecordingTransport transport;
  NodeRecord self;
  self.node = NodeId("n");
  self.zone = Zone("b");
  const auto client = MakeRelayedConfigurationClient(environment, transport, self, ReplicaId(7),
                                                     kControlNodes, {}, {});
  const auto answer_last = [&] {
    const SentMessage last = transport.sent.back();
    NodeHeartbeatReply reply;
    reply.nonce = DecodeHeartbeat(last.message.payload)->nonce;
    client->Receive(last.to, {MessageKind::kHeartbeatReply, EncodeHeartbeatReply(reply)});
  };
  client->Start();
  answer_last();
  for (int i = 0; i < 3; ++i) {
    const size_t sent_before = transport.sent.size();
    bool confirmed = false;
    client->ConfirmRead([&](const absl::Status& status) { confirmed = status.ok(); });
    scheduler.RunFor(kSentWithin);
    REQUIRE(transport.sent.size() > sent_before);
    answer_last();
    CHECK(confirmed);
    scheduler.RunFor(milliseconds(20));
  }
}

TEST_CASE("a read of a relay that knows no other control node fails at once") {
  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 2};
  RecordingTransport transport;
  const auto client =
      MakeRelayedConfigurationClient(environment, transport, NodeRecord(), ReplicaId(7), {}, {});
  client->Start();
  absl::Status read;
  client->ConfirmRead([&](absl::Status status) { read = std::move(status); });
  scheduler.RunFor(milliseconds(10));
  CHECK(absl::IsUnavailable(read));
}

/// Guards against losing observations that were reported to an unresponsive control node: they must
/// be repeated at once after a switch to a control node that is ahead.
TEST_CASE("a node that switches to a control node ahead of it repeats its observations") {
  ClientFixture fixture;
  fixture.client->Report({EngineName("e"), Incarnation(3), true});
  fixture.scheduler.RunFor(milliseconds(200));
  CHECK(fixture.LastHeartbeat().observations.size() == 1);
  const auto other = [&] {
    for (const SentMessage& sent : fixture.transport.sent) {
      if (sent.to != NodeId("c2")) return sent;
    }
    return SentMessage();
  };
  while (other().to == NodeId()) fixture.scheduler.RunFor(milliseconds(10));
  const SentMessage sent = other();
  fixture.transport.sent.clear();
  fixture.Answer(DecodeHeartbeat(sent.message.payload)->nonce, 100);
  fixture.scheduler.RunFor(milliseconds(10));
  REQUIRE_FALSE(fixture.transport.sent.empty());
  CHECK(fixture.transport.sent.back().to == sent.to);
  CHECK(fixture.LastHeartbeat().observations.size() == 1);
}

TEST_CASE("observations bring the next heartbeat forward and are repeated") {
  ClientFixture fixture;
  fixture.client->Report({EngineName("e"), Incarnation(3), true});
  fixture.scheduler.RunFor(milliseconds(200));
  REQUIRE(fixture.LastHeartbeat().observations.size() == 1);
  CHECK(fixture.LastHeartbeat().observations[0].observation.leaving);
  fixture.scheduler.RunFor(milliseconds(1200));
  CHECK(fixture.LastHeartbeat().observations.empty());
  fixture.client->SetLeaving();
  CHECK(fixture.LastHeartbeat().sender.record.state == MemberState::kLeaving);
}

struct ControlClientFixture {
  ControlClientFixture() {
    client = MakeControlClient(environment, transport, NodeId("n"), kControlNodes, Zone("b"));
  }

  void Submit(Duration timeout) {
    client->Submit(GroupId("cluster"), CommandMode::kPropose, "command", timeout,
                   [this](absl::StatusOr<std::string> result) { results.push_back(result); });
  }

  GroupCommand LastCommand() const {
    return *DecodeGroupCommand(transport.sent.back().message.payload);
  }

  void Answer(uint64_t id, absl::StatusCode status, const std::string& result) {
    const GroupCommandReply reply{id, status, "why", result, NodeId()};
    client->Receive(transport.sent.back().to,
                    {MessageKind::kCommandReply, EncodeGroupCommandReply(reply)});
  }

  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 2};
  RecordingTransport transport;
  std::unique_ptr<ControlClient> client;
  std::vector<absl::StatusOr<std::string>> results;
};

TEST_CASE("a command completes once; duplicates of the reply are ignored") {
  ControlClientFixture fixture;
  fixture.Submit(seconds(5));
  CHECK(fixture.transport.sent.back().to == NodeId("c2"));
  const uint64_t id = fixture.LastCommand().id;
  fixture.Answer(id, absl::StatusCode::kOk, "done");
  fixture.Answer(id, absl::StatusCode::kOk, "again");
  REQUIRE(fixture.results.size() == 1);
  CHECK(*fixture.results[0] == "done");
}

TEST_CASE("an unanswered command is resent elsewhere with the same id until its deadline") {
  ControlClientFixture fixture;
  fixture.Submit(seconds(6));
  const uint64_t id = fixture.LastCommand().id;
  fixture.scheduler.RunFor(milliseconds(5999));
  CHECK(fixture.results.empty());
  std::map<NodeId, int> attempts;
  for (const SentMessage& sent : fixture.transport.sent) {
    ++attempts[sent.to];
    CHECK(DecodeGroupCommand(sent.message.payload)->id == id);
  }
  CHECK(attempts.size() == 3);
  fixture.scheduler.RunFor(milliseconds(1));
  REQUIRE(fixture.results.size() == 1);
  CHECK(absl::IsDeadlineExceeded(fixture.results[0].status()));
  const size_t sent = fixture.transport.sent.size();
  fixture.scheduler.RunFor(seconds(5));
  CHECK(fixture.transport.sent.size() == sent);
}

TEST_CASE("an unavailable command is retried soon, other errors are final") {
  ControlClientFixture fixture;
  fixture.Submit(seconds(6));
  fixture.Answer(fixture.LastCommand().id, absl::StatusCode::kUnavailable, "");
  fixture.scheduler.RunFor(milliseconds(200));
  CHECK(fixture.transport.sent.size() == 2);
  CHECK(fixture.results.empty());
  fixture.Answer(fixture.LastCommand().id, absl::StatusCode::kNotFound, "");
  REQUIRE(fixture.results.size() == 1);
  CHECK(absl::IsNotFound(fixture.results[0].status()));
}

}  // namespace
}  // namespace millstair
