/// Tests of one RaftCore on an in-memory log with constructed messages.
#include "consensus/raft_core.h"

#include <catch2/catch.hpp>
#include <map>

#include "common/virtual_environment.h"
#include "consensus/raft_codec.h"
#include "storage/memory_file_system.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ReplicaId kSelf{1};
const ReplicaId kSecond{2};
const ReplicaId kThird{3};

std::vector<GroupMember> ThreeVoters() {
  return {{kSelf, NodeId("a"), "", true},
          {kSecond, NodeId("b"), "", true},
          {kThird, NodeId("c"), "", true}};
}

/// Replica 1 of three, whose log starts with the configuration of the initial members.
struct Replica {
  explicit Replica(uint64_t seed = 1, const std::vector<GroupMember>& members = ThreeVoters())
      : scheduler(seed), environment(scheduler, seed), files(environment, seed) {
    log = *SegmentedLog::Open(files, "g");
    log->SaveHardState({Term(1), ReplicaId()});
    log->Append({{LogIndex(1), Term(1), EntryType::kConfiguration,
                  std::make_shared<std::string>(EncodeMembers(members))}});
    Settle();
    core = *RaftCore::Create({kSelf}, *log, environment.Random(), environment.Now(), {});
  }

  void Settle() {
    log->Flush();
    scheduler.RunFor(seconds(1));
    if (core != nullptr) core->LogBecameDurable();
  }
  RaftMessage Message(RaftMessageType type, ReplicaId from, uint64_t term) const {
    RaftMessage message;
    message.type = type;
    message.from = from;
    message.to = kSelf;
    message.term = Term(term);
    return message;
  }
  void Step(RaftMessage message) { core->Step(environment.Now(), std::move(message)); }
  /// Sends an append of one command after `previous`.
  void StepAppend(ReplicaId from, uint64_t term, LogPosition previous, uint64_t entry_term) {
    RaftMessage message = Message(RaftMessageType::kAppend, from, term);
    message.position = previous;
    message.entries.push_back({Next(previous.index), Term(entry_term), EntryType::kCommand,
                               std::make_shared<std::string>("x")});
    Step(std::move(message));
  }
  void ExpireElectionTimer() {
    scheduler.RunFor(seconds(3));
    core->Tick(environment.Now());
  }
  /// Wins an election in the next term by the vote of the second replica.
  void Lead() {
    ExpireElectionTimer();
    const uint64_t term = core->term().value() + 1;
    Step(Message(RaftMessageType::kPreVoteReply, kSecond, term));
    Step(Message(RaftMessageType::kVoteReply, kSecond, term));
    Settle();
    core->TakeMessages();
  }
  void Acknowledge(ReplicaId from, LogIndex index) {
    RaftMessage reply = Message(RaftMessageType::kAppendReply, from, core->term().value());
    reply.position.index = index;
    Step(std::move(reply));
  }

  VirtualScheduler scheduler;
  VirtualEnvironment environment;
  MemoryFileSystem files;
  std::unique_ptr<SegmentedLog> log;
  std::unique_ptr<RaftCore> core;
};

TEST_CASE("a pre-vote does not raise the term") {
  Replica replica;
  replica.ExpireElectionTimer();
  REQUIRE(replica.core->role() == RaftRole::kPreCandidate);
  REQUIRE(replica.core->term() == Term(1));
  const auto messages = replica.core->TakeMessages();
  REQUIRE(messages.size() == 2);
  REQUIRE(messages[0].type == RaftMessageType::kPreVote);
  REQUIRE(messages[0].term == Term(2));
  replica.Step(replica.Message(RaftMessageType::kPreVoteReply, kThird, 2));
  REQUIRE(replica.core->role() == RaftRole::kCandidate);
  REQUIRE(replica.core->term() == Term(2));
}

TEST_CASE("a vote is given once a term and leaves only when it is durable") {
  Replica replica;
  RaftMessage request = replica.Message(RaftMessageType::kVote, kSecond, 5);
  request.position = {LogIndex(1), Term(1)};
  replica.Step(request);
  auto replies = replica.core->TakeMessages();
  REQUIRE(replies.size() == 1);
  REQUIRE_FALSE(replies[0].reject);
  REQUIRE(replies[0].after > replica.log->durable_sequence());
  replica.Settle();
  REQUIRE(replies[0].after <= replica.log->durable_sequence());
  request.from = kThird;
  replica.Step(request);
  replies = replica.core->TakeMessages();
  REQUIRE(replies.size() == 1);
  REQUIRE(replies[0].reject);
}

TEST_CASE("a candidate whose log is behind gets no vote") {
  Replica replica;
  RaftMessage request = replica.Message(RaftMessageType::kVote, kSecond, 5);
  request.position = {LogIndex(9), Term(0)};
  replica.Step(request);
  REQUIRE(replica.core->TakeMessages()[0].reject);
}

TEST_CASE("a replica with a live leader ignores candidates, except in a leadership transfer") {
  Replica replica;
  replica.Step(replica.Message(RaftMessageType::kHeartbeat, kSecond, 3));
  replica.core->TakeMessages();
  RaftMessage request = replica.Message(RaftMessageType::kVote, kThird, 9);
  request.position = {LogIndex(1), Term(1)};
  replica.Step(request);
  REQUIRE(replica.core->TakeMessages().empty());
  REQUIRE(replica.core->term() == Term(3));
  request.transfer = true;
  replica.Step(request);
  REQUIRE_FALSE(replica.core->TakeMessages()[0].reject);
  REQUIRE(replica.core->term() == Term(9));
}

TEST_CASE("entries are acknowledged only when durable, and conflicting ones replaced") {
  Replica replica;
  replica.StepAppend(kSecond, 2, {LogIndex(1), Term(1)}, 2);
  auto replies = replica.core->TakeMessages();
  REQUIRE(replies.size() == 1);
  REQUIRE(replies[0].position.index == LogIndex(2));
  REQUIRE(replies[0].after > replica.log->durable_sequence());
  replica.Settle();
  REQUIRE(replies[0].after <= replica.log->durable_sequence());

  replica.StepAppend(kThird, 3, {LogIndex(5), Term(3)}, 3);
  replies = replica.core->TakeMessages();
  REQUIRE(replies[0].reject);
  REQUIRE(replies[0].hint.index == LogIndex(2));
  replica.StepAppend(kThird, 3, {LogIndex(1), Term(1)}, 3);
  REQUIRE(replica.log->last_index() == LogIndex(2));
  REQUIRE(replica.log->TermAt(LogIndex(2)) == Term(3));
}

TEST_CASE("committed entries are never overwritten") {
  Replica replica;
  RaftMessage append = replica.Message(RaftMessageType::kAppend, kSecond, 2);
  append.position = {LogIndex(1), Term(1)};
  append.commit = LogIndex(1);
  replica.Step(append);
  REQUIRE(replica.core->commit() == LogIndex(1));
  replica.StepAppend(kThird, 3, {LogIndex(0), Term(0)}, 3);
  // Entries up to the commit index are ignored, so the log is unchanged.
  REQUIRE(replica.log->TermAt(LogIndex(1)) == Term(1));
  REQUIRE(replica.core->failure().ok());
}

TEST_CASE("a leader commits by entries of its own term and counts itself only when durable") {
  Replica replica;
  replica.StepAppend(kSecond, 2, {LogIndex(1), Term(1)}, 2);
  replica.Settle();
  replica.Lead();
  REQUIRE(replica.core->IsLeader());
  const LogIndex own = replica.log->last_index();
  REQUIRE(own == LogIndex(3));
  replica.Acknowledge(kSecond, LogIndex(2));
  REQUIRE(replica.core->commit() == LogIndex(0));
  replica.Acknowledge(kSecond, own);
  REQUIRE(replica.core->commit() == own);
  REQUIRE(replica.core->Propose(EntryType::kCommand, std::make_shared<std::string>("y")).ok());
  replica.Acknowledge(kSecond, Next(own));
  REQUIRE(replica.core->commit() == own);
  replica.Settle();
  REQUIRE(replica.core->commit() == Next(own));
}

TEST_CASE("a leader without contact to a quorum steps down") {
  Replica replica;
  replica.Lead();
  REQUIRE(replica.core->IsLeader());
  replica.ExpireElectionTimer();
  REQUIRE_FALSE(replica.core->IsLeader());
}

TEST_CASE("a read waits for a quorum that replies to a later heartbeat") {
  Replica replica;
  replica.Lead();
  replica.Acknowledge(kSecond, replica.log->last_index());
  replica.core->TakeMessages();
  const uint64_t ticket = replica.core->RequestRead();
  replica.core->Flush(replica.environment.Now());
  uint64_t round = 0;
  for (const RaftMessage& message : replica.core->TakeMessages()) {
    if (message.type == RaftMessageType::kHeartbeat) round = std::max(round, message.context);
  }
  RaftMessage reply =
      replica.Message(RaftMessageType::kHeartbeatReply, kThird, replica.core->term().value());
  reply.context = round - 1;
  replica.Step(reply);
  REQUIRE(replica.core->TakeReads().empty());
  reply.context = round;
  replica.Step(reply);
  const auto reads = replica.core->TakeReads();
  REQUIRE(reads.size() == 1);
  REQUIRE(reads[0].ticket == ticket);
  REQUIRE(reads[0].index == replica.core->commit());
}

/// Requests a read at a follower of the second replica; returns the number of its read request.
uint64_t ReadRequestNumber(Replica& replica) {
  replica.Step(replica.Message(RaftMessageType::kHeartbeat, kSecond, 3));
  replica.core->RequestRead();
  replica.core->Flush(replica.environment.Now());
  for (const RaftMessage& message : replica.core->TakeMessages()) {
    if (message.type == RaftMessageType::kReadRequest) return message.context;
  }
  return 0;
}

TEST_CASE("learners get no confirmation requests and fewer heartbeats") {
  const ReplicaId learner{4};
  std::vector<GroupMember> members = ThreeVoters();
  members.push_back({learner, NodeId("d"), "", false});
  Replica replica(1, members);
  replica.Lead();
  replica.Acknowledge(kSecond, replica.log->last_index());
  replica.core->Flush(replica.environment.Now());
  replica.core->TakeMessages();
  const auto heartbeats = [&] {
    std::map<ReplicaId, int> counts;
    for (const RaftMessage& message : replica.core->TakeMessages()) {
      if (message.type == RaftMessageType::kHeartbeat) ++counts[message.to];
    }
    return counts;
  };
  replica.core->RequestRead();
  replica.core->Flush(replica.environment.Now());
  auto read_round = heartbeats();
  CHECK(read_round[kSecond] == 1);
  CHECK(read_round[kThird] == 1);
  CHECK(read_round[learner] == 0);
  // An unconfirmed read keeps the group from becoming idle.
  for (int tick = 0; tick < 50; ++tick) {
    replica.scheduler.RunFor(milliseconds(100));
    replica.core->RequestRead();
    replica.Acknowledge(kSecond, replica.log->last_index());
    replica.Acknowledge(kThird, replica.log->last_index());
    replica.core->Tick(replica.environment.Now());
  }
  auto heartbeat_counts = heartbeats();
  CHECK(heartbeat_counts[kSecond] >= 40);
  CHECK(heartbeat_counts[learner] >= 10);
  CHECK(heartbeat_counts[learner] <= heartbeat_counts[kSecond] / 2);
}

TEST_CASE("a reply to a read request of an earlier incarnation is ignored") {
  Replica earlier(1);
  Replica later(2);
  RaftMessage reply = later.Message(RaftMessageType::kReadReply, kSecond, 3);
  reply.position.index = LogIndex(1);
  reply.context = ReadRequestNumber(earlier);
  const uint64_t number = ReadRequestNumber(later);
  later.Step(reply);
  REQUIRE(later.core->TakeReads().empty());
  reply.context = number;
  later.Step(reply);
  REQUIRE(later.core->TakeReads().size() == 1);
}

/// Numbers of the read requests that a replica has sent since the last call.
std::vector<uint64_t> SentReadRequests(Replica& replica) {
  std::vector<uint64_t> numbers;
  for (const RaftMessage& message : replica.core->TakeMessages()) {
    if (message.type == RaftMessageType::kReadRequest) numbers.push_back(message.context);
  }
  return numbers;
}

TEST_CASE("a follower's read is confirmed though the reply takes longer than the resend interval") {
  Replica replica;
  replica.Step(replica.Message(RaftMessageType::kHeartbeat, kSecond, 3));
  const uint64_t first = replica.core->RequestRead();
  replica.core->Flush(replica.environment.Now());
  const std::vector<uint64_t> requests = SentReadRequests(replica);
  REQUIRE(requests.size() == 1);
  // A read that is requested meanwhile is not covered by the reply to the first request.
  const uint64_t second = replica.core->RequestRead();
  replica.scheduler.RunFor(milliseconds(250));
  replica.Step(replica.Message(RaftMessageType::kHeartbeat, kSecond, 3));
  replica.core->Tick(replica.environment.Now());
  const std::vector<uint64_t> resent = SentReadRequests(replica);
  REQUIRE(resent.size() == 1);
  RaftMessage reply = replica.Message(RaftMessageType::kReadReply, kSecond, 3);
  reply.context = requests[0];
  reply.position.index = LogIndex(1);
  replica.Step(reply);
  const auto confirmed = replica.core->TakeReads();
  REQUIRE(confirmed.size() == 1);
  CHECK(confirmed[0].ticket == first);
  reply.context = resent[0];
  replica.Step(reply);
  const auto later = replica.core->TakeReads();
  REQUIRE(later.size() == 1);
  CHECK(later[0].ticket == second);
}

}  // namespace
}  // namespace millstair
