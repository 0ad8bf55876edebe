/// A rejection of a batch job must be true: no copy of a rejected command runs, also if copies are
/// delayed or the leader changes.
#include <catch2/catch.hpp>
#include <deque>

#include "cluster/command_rejection.h"
#include "cluster/control_messages.h"
#include "jobs/job_client.h"
#include "jobs/job_group_bootstrapper.h"
#include "jobs/job_service.h"
#include "test/jobs/fake_group.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration kRetryAfter = seconds(4);
constexpr size_t kMaxItemBytes = 64 * 1024;
constexpr JobServiceLimits kLimits{minutes(10), 20, 5, kMaxItemBytes};

/// Delivers messages between nodes by name. Those to or from a held node wait until it is released.
class Wires {
 public:
  using Receiver = std::function<void(const NodeId& from, const PeerMessage& message)>;

  explicit Wires(VirtualScheduler& scheduler) : scheduler_(scheduler) {}

  void Send(const NodeId& from, const NodeId& to, const PeerMessage& message) {
    if (held.contains(to) || held.contains(from)) {
      waiting_.push_back([this, from, to, message] { Deliver(from, to, message); });
    } else {
      Deliver(from, to, message);
    }
  }
  /// Delivers what was held, in order.
  void Release(const NodeId& node) {
    held.erase(node);
    for (const auto& deliver : std::exchange(waiting_, {})) deliver();
  }

  std::map<NodeId, Receiver> receivers;
  std::set<NodeId> held;

 private:
  void Deliver(const NodeId& from, const NodeId& to, const PeerMessage& message) {
    scheduler_.Schedule(milliseconds(1),
                        [this, from, to, message] { receivers.at(to)(from, message); });
  }

  VirtualScheduler& scheduler_;
  std::deque<std::function<void()>> waiting_;
};

class End : public PeerTransport {
 public:
  End(Wires& wires, std::string self) : wires_(wires), self_(std::move(self)) {}
  void Send(const NodeId& to, PeerMessage message) override { wires_.Send(self_, to, message); }
  void SetAddress(const NodeId&, const std::string&) override {}

 private:
  Wires& wires_;
  const NodeId self_;
};

using Answer = std::optional<absl::StatusOr<JobResultCode>>;

bool IsRejected(const Answer& answer) {
  return answer && RejectionRetryAfter(answer->status()).has_value();
}

/// Two storage nodes, of which "s1" leads, and a gateway that knows so. Both have the same state.
class Fixture {
 public:
  Fixture() {
    second_group.leader = false;
    second_group.leader_node = NodeId("s1");
    first.Attach(&first_group, &state);
    second.Attach(&second_group, &state);
    const auto admission = [this](const JobSpec&) -> std::optional<JobRejection> {
      if (fits) return std::nullopt;
      return JobRejection{JobRejectionReason::kBacklog, kRetryAfter};
    };
    first.SetAdmission(admission);
    second.SetAdmission(admission);
    Connect("s1", first);
    Connect("s2", second);
    Connect("gateway", client);
    Connect("other", other_client);
  }

  template <class Node>
  void Connect(const std::string& name, Node& node) {
    wires.receivers[NodeId(name)] = [&node](const NodeId& from, const PeerMessage& message) {
      node.Receive(from, message);
    };
  }

  static JobSpec Job() {
    JobSpec job;
    job.id = JobId("j");
    job.items.resize(1);
    return job;
  }

  /// With one item of `bytes`.
  static JobSpec JobOf(const std::string& id, size_t bytes) {
    JobSpec job = Job();
    job.id = JobId(id);
    job.items[0].body = std::string(bytes, 'b');
    return job;
  }

  std::shared_ptr<Answer> Submit(JobClient& sender, JobSpec job = Job()) {
    auto answer = std::make_shared<Answer>();
    sender.Submit(std::move(job),
                  [answer](absl::StatusOr<JobResultCode> result) { *answer = result; });
    return answer;
  }
  std::shared_ptr<Answer> Submit() { return Submit(client); }

  /// The second node leads under a later term.
  void LeadSecond() {
    first_group.leader = false;
    first_group.leader_node = NodeId("s2");
    second_group.leader = true;
    second_group.leader_node = NodeId("s2");
    second_group.term = Next(first_group.term);
  }

  bool IsKnown() const { return state.Find(JobId("j")) != nullptr; }

  /// The command as another build sends it, with the identifier 7.
  PeerMessage Command(bool may_be_rejected) const {
    GroupCommand command;
    command.id = 7;
    command.group = kJobGroup;
    command.command = EncodeJobCommand({SubmitJob{Job()}, {}});
    command.timeout = seconds(2);
    command.may_be_rejected = may_be_rejected;
    return {MessageKind::kCommand, EncodeGroupCommand(command)};
  }

  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 2};
  Wires wires{scheduler};
  End first_end{wires, "s1"};
  End second_end{wires, "s2"};
  End client_end{wires, "gateway"};
  End other_end{wires, "other"};
  JobStateMachine state;
  FakeGroup first_group{scheduler, &state};
  FakeGroup second_group{scheduler, &state};
  StatsRegistry stats;
  bool fits = false;
  JobService first{environment, first_end, [] { return NodeId(); }, &stats, kLimits};
  JobService second{environment, second_end};
  std::vector<NodeId> candidates = {NodeId("s1"), NodeId("s2")};
  JobClient client{environment, client_end, [this] { return candidates; },
                   [this] { return candidates; }, JobClientTiming{seconds(2), milliseconds(200)}};
  JobClient other_client{environment, other_end, [this] { return candidates; },
                         [this] { return candidates; },
                         JobClientTiming{seconds(2), milliseconds(200)}};
};

TEST_CASE("A job that can't be served is rejected with the time to retry, and is not committed") {
  Fixture fixture;
  const auto answer = fixture.Submit();
  fixture.scheduler.RunFor(milliseconds(20));
  REQUIRE(*answer);
  CHECK(absl::IsResourceExhausted((*answer)->status()));
  const auto retry_after = RejectionRetryAfter((*answer)->status());
  REQUIRE(retry_after);
  CHECK(*retry_after >= kRetryAfter);
  CHECK(*retry_after <= kRetryAfter * 5 / 4);
  CHECK_FALSE(fixture.IsKnown());
  std::optional<double> rejected;
  for (const StatSample& sample : fixture.stats.Read()) {
    if (sample.name.name == "millstair_jobs_rejected_total") rejected = sample.value;
  }
  CHECK(rejected == 1);
}

TEST_CASE("A job that fits is committed") {
  Fixture fixture;
  fixture.fits = true;
  const auto answer = fixture.Submit();
  fixture.scheduler.RunFor(milliseconds(20));
  REQUIRE(*answer);
  CHECK((*answer)->ok());
  CHECK(fixture.IsKnown());
}

// Guards against replicas that end for lack of memory because of the jobs that clients submit.
TEST_CASE("A job for whose items there is no memory is rejected until others have ended") {
  Fixture fixture;
  fixture.fits = true;
  const auto submit = [&fixture](const std::string& id, size_t bytes) {
    const auto answer = fixture.Submit(fixture.client, Fixture::JobOf(id, bytes));
    fixture.scheduler.RunFor(milliseconds(20));
    REQUIRE(*answer);
    return *answer;
  };
  // Alone it may exceed the bound.
  CHECK(submit("large", 2 * kMaxItemBytes)->ok());
  CHECK(IsRejected(submit("small", 1)));
  // A job that is known is never rejected.
  CHECK(submit("large", 2 * kMaxItemBytes)->ok());
  fixture.client.End({JobId("large"), TenantName()}, [](const absl::StatusOr<JobResultCode>&) {});
  fixture.scheduler.RunFor(milliseconds(20));
  CHECK(submit("small", 1)->ok());
  CHECK(submit("other", kMaxItemBytes / 2)->ok());
  CHECK(IsRejected(submit("next", kMaxItemBytes / 2)));
}

// Guards against clients that send rejected jobs again until rejections can't be remembered.
TEST_CASE("Above the bound on rejections a job without memory is neither taken nor rejected") {
  Fixture fixture;
  fixture.fits = true;
  const auto large = fixture.Submit(fixture.client, Fixture::JobOf("large", kMaxItemBytes));
  fixture.scheduler.RunFor(milliseconds(20));
  std::shared_ptr<Answer> last;
  for (size_t count = 0; count <= kLimits.max_rejections; ++count) {
    last = fixture.Submit(fixture.client, Fixture::JobOf("j", 1));
    fixture.scheduler.RunFor(milliseconds(20));
  }
  CHECK_FALSE(IsRejected(*last));
  fixture.scheduler.RunFor(seconds(3));
  CHECK_FALSE((*last)->ok());
  CHECK_FALSE(fixture.IsKnown());
}

// Guards clients that would return together after they were rejected together.
TEST_CASE("The times to retry differ") {
  std::set<Duration> times;
  Fixture fixture;
  for (int i = 0; i < 10; ++i) {
    const auto answer = fixture.Submit();
    fixture.scheduler.RunFor(milliseconds(20));
    REQUIRE(IsRejected(*answer));
    times.insert(*RejectionRetryAfter((*answer)->status()));
  }
  CHECK(times.size() >= 8);
}

// Its view of the open jobs is old.
TEST_CASE("A leader that can't confirm its leadership rejects nothing") {
  Fixture fixture;
  fixture.first_group.quorum = false;
  const auto answer = fixture.Submit();
  fixture.scheduler.RunFor(seconds(3));
  REQUIRE(*answer);
  CHECK(absl::IsDeadlineExceeded((*answer)->status()));
}

// Its view of the open jobs may miss what the next leader accepted.
TEST_CASE("A leader whose term ended while it rejects replies that it did not run the command") {
  Fixture fixture;
  std::vector<GroupCommandReply> replies;
  fixture.wires.receivers[NodeId("gateway")] = [&](const NodeId&, const PeerMessage& message) {
    const auto reply = DecodeGroupCommandReply(message.payload);
    REQUIRE(reply.ok());
    replies.push_back(*reply);
  };
  fixture.wires.Send(NodeId("gateway"), NodeId("s1"), fixture.Command(true));
  // The command has arrived, and its confirmation takes 2 ms.
  fixture.scheduler.RunFor(milliseconds(2));
  SECTION("it was deposed") { fixture.LeadSecond(); }
  SECTION("it was deposed and elected again") {
    fixture.first_group.term = Next(fixture.first_group.term);
  }
  fixture.scheduler.RunFor(milliseconds(20));
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].not_run);
  CHECK(replies[0].status == absl::StatusCode::kUnavailable);
  CHECK_FALSE(fixture.IsKnown());
  for (const StatSample& sample : fixture.stats.Read()) {
    CHECK(sample.name.name != "millstair_jobs_rejected_total");
  }
}

// What was proposed beyond the bound may still be committed.
TEST_CASE("A leader that can't remember more proposals rejects nothing until the next term") {
  Fixture fixture;
  fixture.fits = true;
  fixture.first_group.quorum = false;
  for (size_t i = 0; i < kLimits.max_proposals + 1; ++i) {
    GroupCommand command;
    command.id = 1000 + i;
    command.group = kJobGroup;
    JobSpec job = Fixture::Job();
    job.id = JobId("earlier" + std::to_string(i));
    command.command = EncodeJobCommand({SubmitJob{job}, {}});
    command.may_be_rejected = true;
    fixture.first.Receive(NodeId("gateway"), {MessageKind::kCommand, EncodeGroupCommand(command)});
  }
  fixture.scheduler.RunFor(milliseconds(20));
  fixture.fits = false;
  fixture.first_group.quorum = true;
  SECTION("in the same term") {
    const auto answer = fixture.Submit();
    fixture.scheduler.RunFor(milliseconds(20));
    REQUIRE(*answer);
    CHECK((*answer)->ok());
  }
  SECTION("in the next term") {
    fixture.first_group.term = Next(fixture.first_group.term);
    const auto answer = fixture.Submit();
    fixture.scheduler.RunFor(milliseconds(20));
    CHECK(IsRejected(*answer));
  }
}

TEST_CASE("A leader that is deposed while it rejects sends the gateway to the next one") {
  Fixture fixture;
  const auto answer = fixture.Submit();
  // The command has arrived, and its confirmation takes 2 ms.
  fixture.scheduler.RunFor(milliseconds(2));
  fixture.LeadSecond();
  fixture.fits = true;
  fixture.scheduler.RunFor(milliseconds(500));
  REQUIRE(*answer);
  CHECK((*answer)->ok());
  CHECK(fixture.IsKnown());
}

TEST_CASE("A leader that was deposed and elected again while it rejects does not reject") {
  Fixture fixture;
  const auto answer = fixture.Submit();
  fixture.scheduler.RunFor(milliseconds(2));
  fixture.first_group.term = Next(fixture.first_group.term);
  fixture.fits = true;
  fixture.scheduler.RunFor(milliseconds(500));
  REQUIRE(*answer);
  CHECK((*answer)->ok());
}

TEST_CASE("A job that an earlier leader committed is not rejected before it is applied") {
  Fixture fixture;
  const auto answer = fixture.Submit();
  fixture.scheduler.RunFor(milliseconds(2));
  fixture.state.Apply(LogIndex(50), EncodeJobCommand({SubmitJob{Fixture::Job()}, {}}));
  fixture.scheduler.RunFor(milliseconds(20));
  REQUIRE(*answer);
  REQUIRE((*answer)->ok());
  CHECK(***answer == JobResultCode::kOk);
}

TEST_CASE("A known job is never rejected") {
  Fixture fixture;
  fixture.fits = true;
  fixture.Submit();
  fixture.scheduler.RunFor(milliseconds(20));
  fixture.fits = false;
  const auto again = fixture.Submit(fixture.other_client);
  fixture.scheduler.RunFor(milliseconds(20));
  REQUIRE(*again);
  CHECK((*again)->ok());
}

TEST_CASE("A job whose proposal is in progress is never rejected") {
  Fixture fixture;
  fixture.fits = true;
  fixture.first_group.commit_time = milliseconds(300);
  const auto answer = fixture.Submit();
  fixture.scheduler.RunFor(milliseconds(20));
  fixture.fits = false;
  const auto again = fixture.Submit(fixture.other_client);
  fixture.scheduler.RunFor(milliseconds(600));
  REQUIRE(*answer);
  CHECK((*answer)->ok());
  REQUIRE(*again);
  CHECK((*again)->ok());
}

// The entry of a proposal that timed out is in the log and may still be committed.
TEST_CASE("A job whose proposal failed is not rejected in the same term") {
  Fixture fixture;
  fixture.fits = true;
  fixture.first_group.quorum = false;
  const auto answer = fixture.Submit();
  fixture.scheduler.RunFor(seconds(3));
  REQUIRE(*answer);
  CHECK_FALSE((*answer)->ok());
  fixture.fits = false;
  fixture.first_group.quorum = true;
  const auto again = fixture.Submit(fixture.other_client);
  fixture.scheduler.RunFor(milliseconds(20));
  REQUIRE(*again);
  CHECK((*again)->ok());
}

TEST_CASE("A job whose proposal failed may be rejected once a later term is confirmed") {
  Fixture fixture;
  fixture.fits = true;
  fixture.first_group.quorum = false;
  fixture.Submit();
  fixture.scheduler.RunFor(seconds(3));
  fixture.fits = false;
  fixture.first_group.quorum = true;
  fixture.first_group.term = Next(fixture.first_group.term);
  const auto again = fixture.Submit(fixture.other_client);
  fixture.scheduler.RunFor(milliseconds(20));
  CHECK(IsRejected(*again));
}

// The client has its 503 by then and may have submitted the job elsewhere.
TEST_CASE("A delayed copy of a rejected command is not accepted, a new submission is") {
  Fixture fixture;
  const PeerMessage command = fixture.Command(true);
  fixture.wires.Send(NodeId("gateway"), NodeId("s1"), command);
  fixture.scheduler.RunFor(milliseconds(20));
  fixture.fits = true;
  fixture.wires.Send(NodeId("gateway"), NodeId("s1"), command);
  fixture.scheduler.RunFor(kLimits.rejection_retention - seconds(1));
  fixture.wires.Send(NodeId("gateway"), NodeId("s1"), command);
  fixture.scheduler.RunFor(milliseconds(20));
  CHECK_FALSE(fixture.IsKnown());
  const auto anew = fixture.Submit();
  fixture.scheduler.RunFor(milliseconds(20));
  REQUIRE(*anew);
  CHECK((*anew)->ok());
}

TEST_CASE("A copy delayed past a change of leader and back is not accepted") {
  Fixture fixture;
  const PeerMessage command = fixture.Command(true);
  fixture.wires.Send(NodeId("gateway"), NodeId("s1"), command);
  fixture.scheduler.RunFor(milliseconds(20));
  fixture.fits = true;
  fixture.LeadSecond();
  fixture.scheduler.RunFor(seconds(1));
  fixture.first_group.leader = true;
  fixture.first_group.term = Next(fixture.second_group.term);
  fixture.wires.Send(NodeId("gateway"), NodeId("s1"), command);
  fixture.scheduler.RunFor(milliseconds(20));
  CHECK_FALSE(fixture.IsKnown());
}

TEST_CASE("A leader that can't remember more rejections accepts") {
  Fixture fixture;
  for (size_t i = 0; i < kLimits.max_rejections; ++i) {
    GroupCommand command;
    command.id = 1000 + i;
    command.group = kJobGroup;
    command.command = EncodeJobCommand({SubmitJob{Fixture::Job()}, {}});
    command.may_be_rejected = true;
    fixture.first.Receive(NodeId("gateway"), {MessageKind::kCommand, EncodeGroupCommand(command)});
  }
  fixture.scheduler.RunFor(milliseconds(100));
  CHECK_FALSE(fixture.IsKnown());
  SECTION("while they are remembered") {
    fixture.Submit();
    fixture.scheduler.RunFor(milliseconds(20));
    CHECK(fixture.IsKnown());
  }
  SECTION("until they are forgotten") {
    fixture.scheduler.RunFor(kLimits.rejection_retention);
    const auto answer = fixture.Submit();
    fixture.scheduler.RunFor(milliseconds(20));
    CHECK(IsRejected(*answer));
  }
}

// A copy that is still queued may reach the next process of the node.
TEST_CASE("A gateway that sent twice to the leader waits until both copies are rejected") {
  Fixture fixture;
  fixture.candidates = {NodeId("s1")};
  fixture.wires.held.insert(NodeId("s1"));
  const auto answer = fixture.Submit();
  fixture.scheduler.RunFor(milliseconds(600));
  // The first copy stays on an old connection, and the second one gets through.
  fixture.wires.held.clear();
  fixture.scheduler.RunFor(milliseconds(500));
  CHECK_FALSE(*answer);
  SECTION("the first copy arrives, though the job would fit now") {
    fixture.fits = true;
    fixture.wires.Release(NodeId("s1"));
    fixture.scheduler.RunFor(milliseconds(20));
    CHECK(IsRejected(*answer));
    CHECK_FALSE(fixture.IsKnown());
  }
  SECTION("the first copy does not arrive in time") {
    fixture.scheduler.RunFor(seconds(1));
    REQUIRE(*answer);
    CHECK(absl::IsDeadlineExceeded((*answer)->status()));
  }
}

TEST_CASE("Each copy that arrives while the leader confirms a rejection gets a reply") {
  Fixture fixture;
  size_t replies = 0;
  fixture.wires.receivers[NodeId("gateway")] = [&](const NodeId&, const PeerMessage& message) {
    const auto reply = DecodeGroupCommandReply(message.payload);
    REQUIRE(reply.ok());
    replies += reply->not_run && reply->status == absl::StatusCode::kResourceExhausted ? 1 : 0;
  };
  fixture.wires.Send(NodeId("gateway"), NodeId("s1"), fixture.Command(true));
  fixture.wires.Send(NodeId("gateway"), NodeId("s1"), fixture.Command(true));
  fixture.scheduler.RunFor(milliseconds(20));
  CHECK(replies == 2);
  CHECK_FALSE(fixture.IsKnown());
}

TEST_CASE("A gateway that was redirected to the leader passes the rejection on") {
  Fixture fixture;
  fixture.candidates = {NodeId("s2"), NodeId("s1")};
  const auto answer = fixture.Submit();
  fixture.scheduler.RunFor(milliseconds(50));
  CHECK(IsRejected(*answer));
}

TEST_CASE("While a copy may be accepted elsewhere the outcome is not a rejection") {
  Fixture fixture;
  fixture.wires.held.insert(NodeId("s1"));
  const auto answer = fixture.Submit();
  fixture.scheduler.RunFor(milliseconds(600));
  fixture.LeadSecond();
  // The gateway sends again after 0.7 to 0.9 s, and the second node rejects.
  fixture.scheduler.RunFor(milliseconds(600));
  REQUIRE_FALSE(*answer);
  SECTION("it is unknown without a reply") {
    fixture.scheduler.RunFor(seconds(1));
    REQUIRE(*answer);
    CHECK(absl::IsDeadlineExceeded((*answer)->status()));
  }
  SECTION("it is a rejection once the first node did not run its copy either") {
    fixture.wires.Release(NodeId("s1"));
    fixture.scheduler.RunFor(milliseconds(20));
    CHECK(IsRejected(*answer));
    CHECK_FALSE(fixture.IsKnown());
  }
  SECTION("it is accepted if the first node leads again and accepts its copy") {
    fixture.fits = true;
    fixture.first_group.leader = true;
    fixture.second_group.leader = false;
    fixture.first_group.term = Next(fixture.second_group.term);
    fixture.wires.Release(NodeId("s1"));
    fixture.scheduler.RunFor(milliseconds(20));
    REQUIRE(*answer);
    CHECK((*answer)->ok());
    CHECK(fixture.IsKnown());
  }
}

// A node of the build before replies without saying whether it ran its copy.
TEST_CASE("A redirect that does not exclude a run leaves the outcome unknown") {
  Fixture fixture;
  fixture.candidates = {NodeId("s0"), NodeId("s1")};
  fixture.wires.receivers[NodeId("s0")] = [&](const NodeId& from, const PeerMessage& message) {
    GroupCommandReply reply;
    reply.id = DecodeGroupCommand(message.payload)->id;
    reply.status = absl::StatusCode::kUnavailable;
    reply.leader = NodeId("s1");
    fixture.wires.Send(NodeId("s0"), from,
                       {MessageKind::kCommandReply, EncodeGroupCommandReply(reply)});
  };
  const auto answer = fixture.Submit();
  fixture.scheduler.RunFor(seconds(3));
  REQUIRE(*answer);
  CHECK(absl::IsDeadlineExceeded((*answer)->status()));
}

// It would report the rejection as an unknown outcome, and its client would wait for nothing.
TEST_CASE("A gateway that does not handle rejections has its job accepted") {
  Fixture fixture;
  fixture.wires.Send(NodeId("gateway"), NodeId("s1"), fixture.Command(false));
  fixture.scheduler.RunFor(milliseconds(20));
  CHECK(fixture.IsKnown());
}

}  // namespace
}  // namespace millstair
