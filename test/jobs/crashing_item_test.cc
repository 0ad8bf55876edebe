/// Items of batch jobs that crash the engine that runs them. Its connections close, and its address
/// refuses connections until it restarts seconds later.
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "fmt/format.h"
#include "jobs/job_scheduler.h"
#include "quarantine/suspect_ledger.h"
#include "test/ingress/fake_backends.h"
#include "test/ingress/fixed_table.h"
#include "test/jobs/fake_group.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = FakeAnswer::Kind;

constexpr int kEngines = 4;
constexpr int kCompleteEvents = 10;
constexpr Duration kRestartTime = seconds(3);

/// The cluster's record of suspect requests; changes reach the node with a delay.
class LedgerRegister : public SuspectRegister {
 public:
  LedgerRegister(VirtualScheduler& scheduler, VirtualEnvironment& environment, RequestGuard& guard)
      : scheduler_(scheduler), environment_(environment), guard_(guard) {}

  void Report(std::vector<CrashReport> reports, Reported done) override {
    reported += reports.size();
    Change([&](SuspectLedger& ledger) {
      for (const CrashReport& report : reports) ledger.Report(report);
    });
    done(revision_);
  }
  void BeginTrial(const RequestFingerprint& request, Revision seen, Done done) override {
    bool granted = false;
    Change([&](SuspectLedger& ledger) { granted = ledger.BeginTrial(request, seen); });
    if (answers) done(granted);
  }
  void Clear(const RequestFingerprint& request, size_t crashes, Done done) override {
    Change([&](SuspectLedger& ledger) { ledger.Clear(request, crashes); });
    done(true);
  }

  /// Whether requests for a trial are answered.
  bool answers = true;
  size_t reported = 0;

 private:
  void Change(const std::function<void(SuspectLedger&)>& apply) {
    std::set<RequestFingerprint> touched;
    revision_ = Revision(revision_.value() + 1);
    SuspectLedger ledger(suspects_, touched, revision_, environment_.WallNow());
    apply(ledger);
    scheduler_.Schedule(milliseconds(1), [this] {
      guard_.Update(suspects_);
      guard_.OnRevision(revision_);
    });
  }

  VirtualScheduler& scheduler_;
  VirtualEnvironment& environment_;
  RequestGuard& guard_;
  SuspectRequests suspects_;
  Revision revision_;
};

/// Engines that crash before event `crash_at` of an item with the body "crash", if it is set, and
/// `chance_crashes` times after the fourth event of any other item.
class Fixture {
 public:
  Fixture() {
    Route jobs;
    jobs.name = "jobs";
    jobs.host = "h";
    jobs.path_prefix = "/j/";
    jobs.kind = RouteKind::kJobs;
    jobs.attempts = 2;
    jobs.item_lifetime = seconds(60);
    jobs.services = {{ServiceName("engines"), 1}};
    reader.table.version = 1;
    reader.table.routes = {jobs};
    reader.table.services = {
        {ServiceName("engines"), "/healthz", 0, EngineProfile{2, 1, {ModelName("m")}}}};
    configuration.routing = {1, "content"};
    state.OnChange([this](JobChange change, const JobId& job) {
      scheduler_under_test.OnStateChange(change, job);
    });
    for (int i = 1; i <= kEngines; ++i) {
      const std::string address = fmt::format("e:{}", i);
      BackendInstance engine = LiveInstance(address, "engines");
      engine.models = {{ModelName("m"), WeightVersion(1)}};
      configuration.instances[engine.id] = engine;
      backends.Serve(
          address, [this, address](const HttpRequest& request) { return Play(address, request); });
    }
    ingress.Update(configuration);
    loads.Update(configuration, ingress.routes());
    loads.SetLeading(&group);
    scheduler_under_test.SetLeading(true);
  }

  void Submit(const std::string& id, const std::string& body) {
    JobSpec job;
    job.id = JobId(id);
    job.host = "h";
    job.path = "/j/x";
    job.model = ModelName("m");
    JobItem item;
    item.id = ItemId("item-" + id);
    item.path = "/j/item";
    item.body = body;
    job.items = {item};
    group.Propose(EncodeJobCommand({SubmitJob{std::move(job)}, environment.WallNow()}),
                  [](const absl::StatusOr<std::string>&) {});
    scheduler.RunFor(milliseconds(5));
  }

  bool Done(const std::string& id) const {
    const JobRecord* record = state.Find(JobId(id));
    return record != nullptr && !record->results.empty() &&
           record->results[0].state == ItemState::kDone;
  }

  VirtualScheduler scheduler{3};
  VirtualEnvironment environment{scheduler, 5};
  FakeBackends backends{scheduler};
  FakeProtocol protocol;
  FixedTable reader;
  Configuration configuration;
  IngressService ingress{environment, backends, protocol, reader, Zone("z1")};
  LoadScheduler loads{environment, backends,       ingress.directory(),
                      protocol,    NodeId("self"), LoadOptions()};
  JobStateMachine state;
  FakeGroup group{scheduler, &state};
  JobScheduler scheduler_under_test{environment,          backends, ingress, loads, state, group,
                                    JobSchedulerOptions()};
  std::optional<int> crash_at;
  /// All engines refuse connections until then.
  Duration all_down_until{0};
  int chance_crashes = 0;
  /// Number of runs that engines break off before the first event, without ending.
  int broken_off = 0;
  int ended = 0;
  /// Largest number of engines that were down at the same time after they ended.
  size_t most_down = 0;
  Duration last_sent_at{0};

 private:
  FakeAnswer Play(const std::string& address, const HttpRequest& request) {
    FakeAnswer answer;
    if (std::max(down_until_[address], all_down_until) > scheduler.Now()) {
      answer.kind = Kind::kUnreachable;
      return answer;
    }
    if (request.method == "GET") return answer;
    last_sent_at = scheduler.Now();
    const auto resumed = FindHeader(request.headers, "resume");
    const int first = resumed ? std::stoi(std::string(*resumed)) + 1 : 1;
    int last = kCompleteEvents;
    const bool crashing = request.body == "crash" && crash_at;
    if (crashing) last = *crash_at - 1;
    if (!crashing && chance_crashes > 0) {
      --chance_crashes;
      last = first;
    }
    answer.headers = {{"version", "1"}};
    answer.pieces.clear();
    if (broken_off > 0) {
      --broken_off;
      answer.kind = Kind::kTruncatedBody;
      return answer;
    }
    for (int i = first; i <= last; ++i) answer.pieces.push_back(fmt::format("{}||t{}\n\n", i, i));
    if (last < kCompleteEvents) {
      answer.kind = Kind::kTruncatedBody;
      End(address, answer.delay + answer.gap * static_cast<int>(answer.pieces.size()));
    }
    return answer;
  }

  void End(const std::string& address, Duration after) {
    ++ended;
    // Just before the caller sees the connection close.
    scheduler.Schedule(after - milliseconds(1), [this, address] {
      down_until_[address] = scheduler.Now() + kRestartTime;
      const auto down =
          std::count_if(down_until_.begin(), down_until_.end(),
                        [this](const auto& engine) { return engine.second > scheduler.Now(); });
      most_down = std::max(most_down, static_cast<size_t>(down));
    });
  }

  std::map<std::string, Duration> down_until_;
};

/// An item may be at no engine for this long while engines are idle.
constexpr Duration kLongestWait = seconds(5);
/// Engines that may be down at once because they ended under one item.
constexpr size_t kMaxDown = 3;

/// Submits the job "chance", whose engines end before its first event until `crashes` have ended.
void SubmitCrashedByChance(Fixture& fixture, int crashes = 2) {
  fixture.crash_at = 1;
  fixture.Submit("chance", "crash");
  fixture.scheduler.RunUntilTrue([&] { return fixture.ended == crashes; }, seconds(50));
  REQUIRE(fixture.ended == crashes);
  fixture.crash_at.reset();
}

/// Guards against an item that is barred because engines happened to crash under it.
TEST_CASE("An item under which engines crashed several times is placed again and completed") {
  Fixture fixture;
  LedgerRegister cluster(fixture.scheduler, fixture.environment, fixture.ingress.guard());
  fixture.ingress.guard().SetRegister(&cluster);
  const int crashes = GENERATE(2, 3, 4, 5, 8);
  INFO("crashes: " << crashes);
  SubmitCrashedByChance(fixture, crashes);
  const Duration calm_since = fixture.scheduler.Now();
  fixture.scheduler.RunUntilTrue([&] { return fixture.last_sent_at > calm_since; }, seconds(30));
  CHECK(fixture.scheduler.Now() - calm_since < kLongestWait);
  fixture.scheduler.RunFor(seconds(2));
  CHECK(fixture.Done("chance"));
  CHECK(cluster.reported == 0);
  fixture.ingress.guard().SetRegister(nullptr);
}

/// Guards against a trial that is granted to an item which cannot use it, or whose answer is lost.
TEST_CASE("No item waits for a trial of its content") {
  Fixture fixture;
  LedgerRegister cluster(fixture.scheduler, fixture.environment, fixture.ingress.guard());
  fixture.ingress.guard().SetRegister(&cluster);
  cluster.answers = false;
  SubmitCrashedByChance(fixture);
  fixture.Submit("same", "crash");
  fixture.scheduler.RunFor(kLongestWait);
  CHECK(fixture.Done("chance"));
  CHECK(fixture.Done("same"));
  fixture.ingress.guard().SetRegister(nullptr);
}

TEST_CASE(
    "An item that crashes each engine never takes down all of them, and fails when it expires") {
  Fixture fixture;
  fixture.crash_at = GENERATE(1, 2, 6);
  fixture.Submit("bad", "crash");
  fixture.scheduler.RunFor(seconds(55));
  CHECK(fixture.ended >= 3);
  CHECK(fixture.most_down <= kMaxDown);
  CHECK_FALSE(fixture.Done("bad"));
  // It fails when its lifetime has expired, not before.
  CHECK(fixture.state.Find(JobId("bad"))->results.empty());
  fixture.scheduler.RunFor(seconds(10));
  REQUIRE(fixture.state.Find(JobId("bad"))->results.size() == 1);
  CHECK(fixture.state.Find(JobId("bad"))->results[0].state == ItemState::kFailed);
}

TEST_CASE("An item that gets further at each crash is completed") {
  Fixture fixture;
  fixture.chance_crashes = 6;
  fixture.Submit("good", "prompt");
  fixture.scheduler.RunFor(seconds(20));
  CHECK(fixture.ended == 6);
  CHECK(fixture.Done("good"));
}

TEST_CASE("Other items run while engines crash under one") {
  Fixture fixture;
  fixture.crash_at = 1;
  fixture.Submit("bad", "crash");
  for (int i = 0; i < 20; ++i) {
    fixture.Submit(fmt::format("good{}", i), fmt::format("prompt{}", i));
    fixture.scheduler.RunFor(milliseconds(500));
  }
  fixture.scheduler.RunFor(seconds(5));
  for (int i = 0; i < 20; ++i) CHECK(fixture.Done(fmt::format("good{}", i)));
  CHECK(fixture.most_down <= kMaxDown);
}

/// Guards against barring a content whose runs all failed to reach an engine.
TEST_CASE("Runs that reach no engine bar nothing") {
  Fixture fixture;
  LedgerRegister cluster(fixture.scheduler, fixture.environment, fixture.ingress.guard());
  fixture.ingress.guard().SetRegister(&cluster);
  SubmitCrashedByChance(fixture);
  fixture.all_down_until = fixture.scheduler.Now() + seconds(40);
  fixture.scheduler.RunFor(seconds(55));
  CHECK(fixture.Done("chance"));
  fixture.ingress.guard().SetRegister(nullptr);
}

/// Guards against barring a content whose runs broke off at engines that did not end.
TEST_CASE("Runs under which no engine ends bar nothing") {
  Fixture fixture;
  LedgerRegister cluster(fixture.scheduler, fixture.environment, fixture.ingress.guard());
  fixture.ingress.guard().SetRegister(&cluster);
  SubmitCrashedByChance(fixture);
  fixture.broken_off = 5;
  fixture.scheduler.RunFor(seconds(20));
  CHECK(fixture.Done("chance"));
  fixture.ingress.guard().SetRegister(nullptr);
}

}  // namespace
}  // namespace millstair
