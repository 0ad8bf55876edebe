/// The usage report task against a scripted platform and a replicated ledger, in virtual time.
#include "duties/usage_report_task.h"

#include <catch2/catch.hpp>

#include "common/virtual_environment.h"
#include "test/ingress/fake_backends.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = FakeAnswer::Kind;

constexpr Duration kWindow = seconds(5);
constexpr char kPlatform[] = "p:1";

/// "window:holder:fence:a=n" in the body.
class PlainProtocol : public UsageReportProtocol {
 public:
  HttpRequest MakeUsageCall(const UsageStatement& statement,
                            const TaskLeaseHolder& holder) const override {
    std::string counts;
    for (const auto& [tenant, requests] : statement.counts) {
      counts += ":" + tenant.value() + "=" + std::to_string(requests);
    }
    return {"POST",
            "/u",
            {},
            std::to_string(statement.window.value()) + ":" + holder.machine + ":" +
                std::to_string(holder.fence) + counts};
  }
  UsageReportAnswer ReadAnswer(int status) const override {
    if (status == 200) return UsageReportAnswer::kTaken;
    if (status == 429) return UsageReportAnswer::kBusy;
    return status == 400 ? UsageReportAnswer::kRefused : UsageReportAnswer::kUnknown;
  }
};

/// The ledger and the announcements of the group, as applied by each node.
class Group {
 public:
  explicit Group(VirtualScheduler& scheduler) : scheduler_(scheduler) {}

  void Commit(const ClusterOperation& operation) {
    if (const auto* add = std::get_if<AddUsage>(&operation)) ledger.Add(add->report);
    if (const auto* close = std::get_if<CloseUsage>(&operation)) ledger.Close(close->through);
    if (const auto* accept = std::get_if<AcceptUsage>(&operation)) ledger.Accept(accept->window);
    const auto* announce = std::get_if<AnnounceTaskLease>(&operation);
    if (announce == nullptr) return;
    for (UsageReportTask* task : tasks) task->OnAnnouncement(announce->announcement);
  }
  void CatchUp(std::function<void(bool)> done) {
    scheduler_.Schedule(milliseconds(3), [this, done] { done(quorum); });
  }
  void Propose(ClusterOperation operation, std::function<void(bool)> done) {
    scheduler_.Schedule(commit_time, [this, operation = std::move(operation), done] {
      if (!quorum) return done(false);
      Commit(operation);
      done(true);
    });
  }

  UsageLedger ledger;
  std::vector<UsageReportTask*> tasks;
  Duration commit_time = milliseconds(3);
  bool quorum = true;

 private:
  VirtualScheduler& scheduler_;
};

/// A control node of the group.
class Node : public UsageReportHost {
 public:
  Node(VirtualScheduler& scheduler, FakeBackends& platform, Group& group, const std::string& name)
      : environment(scheduler, 7),
        task(environment, platform, protocol, *this,
             {NodeId(name), name, kPlatform, kWindow, seconds(3)}),
        group_(group) {
    group.tasks.push_back(&task);
  }

  std::optional<Term> LeadingTerm() const override { return term; }
  const UsageLedger& ledger() const override { return group_.ledger; }
  std::optional<WallTime> AgreedTime() const override {
    if (!knows_time) return std::nullopt;
    return WallTime(std::chrono::duration_cast<milliseconds>(environment.Now().time_since_epoch()));
  }
  void CatchUp(std::function<void(bool)> done) override { group_.CatchUp(std::move(done)); }
  void Propose(ClusterOperation operation, std::function<void(bool)> done) override {
    group_.Propose(std::move(operation), std::move(done));
  }
  void Lead(uint64_t in_term) {
    term = Term(in_term);
    task.Run();
  }

  VirtualEnvironment environment;
  PlainProtocol protocol;
  std::optional<Term> term;
  bool knows_time = true;
  UsageReportTask task;

 private:
  Group& group_;
};

class Fixture {
 public:
  Fixture() {
    platform.Serve(kPlatform, [this](const HttpRequest&) { return answer; });
    first_window = WindowAt(*first.AgreedTime(), kWindow);
  }

  void Count(uint64_t window, uint64_t requests) {
    const UsageWindow counted(first_window.value() + window);
    group.Commit(AddUsage{
        {NodeId("g"), Incarnation(1), ++sequence, {{counted, TenantName("a"), requests}}}});
  }
  std::string CallBody(size_t call) const { return platform.calls.at(call)->request.body; }
  std::string Call(uint64_t window, const std::string& rest) const {
    return std::to_string(first_window.value() + window) + ":" + rest;
  }
  size_t calls() const { return platform.calls.size(); }

  VirtualScheduler scheduler{1};
  FakeBackends platform{scheduler};
  FakeAnswer answer{Kind::kAnswer, 200, {}, {""}};
  Group group{scheduler};
  Node first{scheduler, platform, group, "m1"};
  Node second{scheduler, platform, group, "m2"};
  UsageWindow first_window;
  uint64_t sequence = 0;
};

TEST_CASE("A window's sum is sent once after its end and the late reports, in order") {
  Fixture fixture;
  fixture.Count(0, 2);
  fixture.Count(1, 3);
  fixture.first.Lead(4);
  fixture.scheduler.RunFor(milliseconds(8400));
  CHECK(fixture.calls() == 0);
  fixture.Count(0, 1);
  fixture.scheduler.RunFor(milliseconds(500));
  REQUIRE(fixture.calls() == 1);
  CHECK(fixture.CallBody(0) == fixture.Call(0, "m1:4:a=3"));
  fixture.scheduler.RunFor(seconds(10));
  REQUIRE(fixture.calls() == 3);
  CHECK(fixture.CallBody(1) == fixture.Call(1, "m1:4:a=3"));
  CHECK(fixture.CallBody(2) == fixture.Call(2, "m1:4"));
  CHECK_FALSE(fixture.group.ledger.OldestUnreported().has_value());
}

TEST_CASE("A window is resent, with the same sum, until the platform takes it") {
  Fixture fixture;
  const int status = GENERATE(429, 500, 503);
  fixture.answer.status = status;
  fixture.Count(0, 2);
  fixture.first.Lead(4);
  fixture.scheduler.RunFor(seconds(12));
  const size_t calls_made = fixture.calls();
  CHECK(calls_made >= 4);
  CHECK(calls_made <= 10);
  fixture.Count(0, 5);
  fixture.answer.status = 200;
  fixture.scheduler.RunFor(seconds(1));
  for (size_t call = 0; call < fixture.calls(); ++call) {
    CHECK(fixture.CallBody(call) == fixture.Call(0, "m1:4:a=2"));
  }
  CHECK(fixture.group.ledger.OldestUnreported() != fixture.first_window);
}

TEST_CASE("A platform that does not respond, or can't be reached, is called again") {
  Fixture fixture;
  fixture.answer.kind = GENERATE(Kind::kNoResponse, Kind::kUnreachable, Kind::kReset);
  fixture.Count(0, 2);
  fixture.first.Lead(4);
  fixture.scheduler.RunFor(seconds(15));
  CHECK(fixture.calls() >= 2);
  fixture.answer.kind = Kind::kAnswer;
  fixture.scheduler.RunFor(seconds(3));
  CHECK(fixture.group.ledger.OldestUnreported() != fixture.first_window);
}

TEST_CASE("A new leader waits for the lease of the old one, and sends the same sum") {
  Fixture fixture;
  fixture.answer.kind = Kind::kNoResponse;
  fixture.Count(0, 2);
  fixture.first.Lead(4);
  fixture.scheduler.RunFor(milliseconds(8800));
  REQUIRE(fixture.calls() == 1);
  const Duration called_at = fixture.platform.calls[0]->at;
  fixture.first.term.reset();
  fixture.second.Lead(5);
  fixture.scheduler.RunFor(seconds(6));
  REQUIRE(fixture.calls() >= 2);
  CHECK(fixture.CallBody(1) == fixture.Call(0, "m2:5:a=2"));
  CHECK(fixture.platform.calls[1]->at - called_at > seconds(3));
}

TEST_CASE("A deposed leader makes no call, even if its announcement was committed") {
  Fixture fixture;
  fixture.Count(0, 2);
  fixture.first.Lead(4);
  fixture.group.commit_time = milliseconds(100);
  fixture.scheduler.RunFor(milliseconds(8650));
  fixture.first.term.reset();
  fixture.scheduler.RunFor(seconds(5));
  CHECK(fixture.calls() == 0);
}

TEST_CASE("No call is made long after its announcement, or without a quorum") {
  Fixture slow;
  slow.Count(0, 2);
  slow.first.Lead(4);
  slow.group.commit_time = milliseconds(400);
  slow.scheduler.RunFor(seconds(12));
  CHECK(slow.calls() == 0);
  Fixture without_quorum;
  without_quorum.Count(0, 2);
  without_quorum.group.Commit(CloseUsage{without_quorum.first_window});
  without_quorum.group.quorum = false;
  without_quorum.first.Lead(4);
  without_quorum.scheduler.RunFor(seconds(12));
  CHECK(without_quorum.calls() == 0);
}

TEST_CASE("No window is closed while the time is not known") {
  Fixture fixture;
  fixture.first.knows_time = false;
  fixture.Count(0, 2);
  fixture.first.Lead(4);
  fixture.scheduler.RunFor(seconds(20));
  CHECK(fixture.calls() == 0);
  CHECK(fixture.group.ledger.closed_through() == UsageWindow());
}

TEST_CASE("A call that the platform refuses is repeated only after a longer pause") {
  Fixture fixture;
  fixture.answer.status = 400;
  fixture.Count(0, 2);
  fixture.first.Lead(4);
  fixture.scheduler.RunFor(milliseconds(13500));
  CHECK(fixture.calls() == 1);
}

}  // namespace
}  // namespace millstair
