#include "jobs/job_scheduler.h"

#include <catch2/catch.hpp>

#include "fmt/format.h"
#include "test/jobs/job_scheduler_fixture.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = FakeAnswer::Kind;
using Fixture = JobSchedulerFixture;

TEST_CASE("An item is run, scored once complete, and recorded") {
  Fixture fixture;
  fixture.Lead();
  fixture.Submit(fixture.Job("j"));
  fixture.scheduler.RunFor(seconds(1));
  const JobResult* result = fixture.ResultOf("j");
  REQUIRE(result != nullptr);
  CHECK(result->state == ItemState::kDone);
  CHECK(result->text == "one\ntwo");
  CHECK(result->versions == std::vector<WeightVersion>{WeightVersion(1)});
  CHECK(result->score == "sig");
  REQUIRE(fixture.backends.calls.size() == 2);
  CHECK(fixture.backends.calls[1]->at >= fixture.backends.calls[0]->at + milliseconds(15));
  CHECK(FindHeader(fixture.backends.calls[1]->request.headers, "id") == "score-id");
}

TEST_CASE("Nothing runs on a replica until it leads") {
  Fixture fixture;
  fixture.Submit(fixture.Job("j"));
  fixture.scheduler.RunFor(seconds(1));
  CHECK(fixture.backends.calls.empty());
  fixture.Lead();
  fixture.scheduler.RunFor(seconds(1));
  CHECK(fixture.ResultOf("j") != nullptr);
}

TEST_CASE("Nothing is sent while the configuration is not confirmed current") {
  Fixture fixture;
  bool fresh = false;
  fixture.scheduler_under_test.SetMayStartWork([&] { return fresh; });
  fixture.Lead();
  fixture.Submit(fixture.Job("j"));
  fixture.scheduler.RunFor(seconds(1));
  CHECK(fixture.backends.calls.empty());
  fresh = true;
  fixture.scheduler.RunFor(seconds(1));
  CHECK(fixture.ResultOf("j") != nullptr);
}

TEST_CASE("A broken run is resumed at another engine after its last event") {
  Fixture fixture;
  fixture.Add("e:1", "engines", [](const HttpRequest&) {
    FakeAnswer answer = Text({"1||one\n\n"});
    answer.kind = Kind::kTruncatedBody;
    return answer;
  });
  fixture.Lead();
  fixture.Submit(fixture.Job("j"));
  fixture.scheduler.RunFor(milliseconds(30));
  fixture.Add("e:2", "engines", [](const HttpRequest& request) {
    CHECK(FindHeader(request.headers, "resume") == "1");
    return Text({"2||two\n\n"});
  });
  fixture.scheduler.RunFor(seconds(2));
  const JobResult* result = fixture.ResultOf("j");
  REQUIRE(result != nullptr);
  CHECK(result->text == "one\ntwo");
}

TEST_CASE("A stalled run is moved sooner where engines are known to be fast") {
  Fixture fixture;
  fixture.Add("e:1", "engines", [](const HttpRequest&) { return FakeAnswer{Kind::kNoResponse}; });
  fixture.Lead();
  fixture.Submit(fixture.Job("j"));
  fixture.Add("e:2", "engines", [](const HttpRequest&) { return Text({"1||one\n\n"}); });
  fixture.scheduler.RunFor(milliseconds(900));
  CHECK(fixture.backends.CountAt("e:2") == 0);
  fixture.scheduler.RunFor(milliseconds(300));
  CHECK(fixture.backends.CountAt("e:2") == 1);
}

TEST_CASE("An item fails by error responses of engines, not by broken runs") {
  const auto state_after = [](FakeAnswer answer, size_t* runs) {
    Fixture fixture;
    fixture.Add("e:1", "engines", [answer](const HttpRequest&) { return answer; });
    fixture.Lead();
    fixture.Submit(fixture.Job("j"));
    fixture.scheduler.RunFor(seconds(10));
    *runs = fixture.backends.CountAt("e:1");
    const JobResult* result = fixture.ResultOf("j");
    return result == nullptr ? std::optional<ItemState>() : result->state;
  };
  size_t runs = 0;
  CHECK(state_after({Kind::kAnswer, 422, {}, {}}, &runs) == ItemState::kFailed);
  CHECK(runs == 1);
  CHECK(state_after({Kind::kAnswer, 500, {}, {}}, &runs) == ItemState::kFailed);
  CHECK(runs == 2);
  CHECK(state_after({Kind::kReset, 0, {}, {}}, &runs) == std::nullopt);
  CHECK(runs > 2);
  CHECK(state_after({Kind::kAnswer, 503, {{"refused", "1"}}, {}}, &runs) == std::nullopt);
}

TEST_CASE("An item fails when its lifetime has expired, not before") {
  Fixture fixture;
  fixture.Add("e:1", "engines", [](const HttpRequest&) { return FakeAnswer{Kind::kNoResponse}; });
  fixture.Lead();
  fixture.Submit(fixture.Job("j"));
  fixture.scheduler.RunFor(seconds(29));
  CHECK(fixture.ResultOf("j") == nullptr);
  fixture.scheduler.RunFor(seconds(2));
  REQUIRE(fixture.ResultOf("j") != nullptr);
  CHECK(fixture.ResultOf("j")->state == ItemState::kFailed);
}

TEST_CASE("The items of an ended job stop at once, and a later job resumes their text") {
  Fixture fixture;
  fixture.Add("e:1", "engines", [](const HttpRequest& request) {
    if (FindHeader(request.headers, "resume") == "1") return Text({"2||two\n\n"});
    FakeAnswer answer = Text({"1||one\n\n", "2||two\n\n"});
    answer.gap = seconds(2);
    return answer;
  });
  fixture.Lead();
  fixture.Submit(fixture.Job("j"));
  fixture.scheduler.RunFor(milliseconds(200));
  REQUIRE(fixture.backends.CountAt("e:1") == 1);
  fixture.state.Apply(LogIndex(50), EncodeJobCommand({EndJob{JobId("j")}, {}}));
  fixture.scheduler.RunFor(milliseconds(10));
  CHECK(fixture.backends.calls[0]->cancelled);
  fixture.scheduler.RunFor(seconds(3));
  CHECK(fixture.backends.CountAt("e:1") == 1);
  fixture.Submit(fixture.Job("k"));
  fixture.scheduler.RunFor(seconds(1));
  REQUIRE(fixture.ResultOf("k") != nullptr);
  CHECK(fixture.ResultOf("k")->text == "one\ntwo");
}

/// Four events, one every 400 ms, from the requested position on.
FakeAnswer SlowText(const HttpRequest& request) {
  const std::vector<std::string> pieces = {"1||one\n\n", "2||two\n\n", "3||three\n\n",
                                           "4||four\n\n"};
  const auto resume = FindHeader(request.headers, "resume");
  const size_t after = resume ? std::stoul(std::string(*resume)) : 0;
  FakeAnswer answer = Text({pieces.begin() + static_cast<std::ptrdiff_t>(after), pieces.end()});
  answer.gap = milliseconds(400);
  return answer;
}

TEST_CASE("A long text is saved, and the next leader resumes it") {
  Fixture fixture;
  fixture.Add("e:1", "engines", SlowText);
  fixture.Lead();
  fixture.Submit(fixture.Job("j"));
  fixture.scheduler.RunFor(milliseconds(1300));
  // Another replica with the same state becomes the leader.
  JobStateMachine other;
  REQUIRE(other.Restore(LogIndex(1), fixture.state.TakeSnapshot()).ok());
  const uint64_t saved = other.Find(JobId("j"))->progress.at(0).events;
  CHECK(saved >= 2);
  fixture.scheduler_under_test.SetLeading(false);
  fixture.scheduler_under_test.SetLeading(true);
  fixture.scheduler.RunFor(seconds(3));
  REQUIRE(fixture.backends.CountAt("e:1") == 2);
  size_t engine_calls = 0;
  for (const auto& call : fixture.backends.calls) {
    if (call->address != "e:1" || ++engine_calls != 2) continue;
    CHECK(FindHeader(call->request.headers, "resume") == std::to_string(saved));
  }
  REQUIRE(fixture.ResultOf("j") != nullptr);
  CHECK(fixture.ResultOf("j")->text == "one\ntwo\nthree\nfour");
  CHECK(fixture.state.Find(JobId("j"))->progress.empty());
}

TEST_CASE("A new leader runs nothing before all that earlier leaders committed is applied") {
  Fixture fixture;
  fixture.Submit(fixture.Job("j"));
  fixture.group.commit_time = milliseconds(300);
  fixture.Lead();
  fixture.scheduler.RunFor(milliseconds(200));
  const JobResult result{0, ItemState::kDone, "text", {WeightVersion(1)}, "sig"};
  fixture.state.Apply(LogIndex(9), EncodeJobCommand({RecordResult{JobId("j"), result}, {}}));
  fixture.scheduler.RunFor(seconds(2));
  CHECK(fixture.backends.CountAt("e:1") == 0);
}

TEST_CASE("A new leader retries until its leadership is confirmed") {
  Fixture fixture;
  fixture.Submit(fixture.Job("j"));
  fixture.group.quorum = false;
  fixture.Lead();
  fixture.scheduler.RunFor(milliseconds(200));
  CHECK(fixture.backends.CountAt("e:1") == 0);
  fixture.group.quorum = true;
  fixture.scheduler.RunFor(milliseconds(200));
  CHECK(fixture.backends.CountAt("e:1") == 1);
}

TEST_CASE("A result is recorded completely though its saved part was replaced") {
  Fixture fixture;
  fixture.Add("e:1", "engines", SlowText);
  fixture.Lead();
  fixture.Submit(fixture.Job("j"));
  fixture.scheduler.RunFor(milliseconds(1300));
  // An entry of an earlier leader with different text is applied late.
  const SavedProgress foreign{{"other", 1, {WeightVersion(1)}, WeightVersion(1)}, Term(1)};
  fixture.state.Apply(LogIndex(50),
                      EncodeJobCommand({SaveProgress{{{JobId("j"), 0, 0, foreign}}}, {}}));
  fixture.scheduler.RunFor(seconds(2));
  REQUIRE(fixture.ResultOf("j") != nullptr);
  CHECK(fixture.ResultOf("j")->text == "one\ntwo\nthree\nfour");
}

TEST_CASE("An item that was just recorded is not sent, since its body is cleared") {
  Fixture fixture;
  fixture.Add("e:1", "engines", [](const HttpRequest& request) {
    CHECK(request.body == "prompt");
    return FakeAnswer{Kind::kNoResponse};
  });
  fixture.Submit(fixture.Job("j"));
  fixture.Lead();
  // A proposal of an earlier leader is applied late, and a pass runs before the change is handled.
  const JobResult result{0, ItemState::kDone, "text", {WeightVersion(1)}, "sig"};
  fixture.state.Apply(LogIndex(9), EncodeJobCommand({RecordResult{JobId("j"), result}, {}}));
  fixture.scheduler_under_test.Pump();
  CHECK(fixture.backends.CountAt("e:1") == 0);
  fixture.scheduler.RunFor(seconds(1));
  CHECK(fixture.backends.CountAt("e:1") == 0);
}

TEST_CASE("The next leader resumes text saved by an ended job") {
  Fixture fixture;
  fixture.Add("e:1", "engines", SlowText);
  fixture.Lead();
  fixture.Submit(fixture.Job("j"));
  fixture.scheduler.RunFor(milliseconds(1300));
  fixture.scheduler_under_test.SetLeading(false);
  fixture.state.Apply(LogIndex(50), EncodeJobCommand({EndJob{JobId("j")}, {}}));
  fixture.scheduler_under_test.SetLeading(true);
  fixture.Submit(fixture.Job("k"));
  fixture.scheduler.RunFor(seconds(2));
  REQUIRE(fixture.ResultOf("k") != nullptr);
  CHECK(fixture.ResultOf("k")->text == "one\ntwo\nthree\nfour");
  CHECK(FindHeader(fixture.backends.calls[1]->request.headers, "resume").has_value());
}

TEST_CASE("A run at a slow engine moves to another with a free slot") {
  Fixture fixture;
  const auto serve = [](Duration gap) {
    return [gap](const HttpRequest& request) {
      std::vector<std::string> pieces;
      const auto resume = FindHeader(request.headers, "resume");
      for (size_t i = resume ? std::stoul(std::string(*resume)) + 1 : 1; i <= 20; ++i) {
        pieces.push_back(fmt::format("{}||{}\n\n", i, i));
      }
      FakeAnswer answer = Text(pieces);
      answer.gap = gap;
      return answer;
    };
  };
  for (const char* address : {"e:1", "e:2", "e:3"}) {
    fixture.Add(address, "engines", serve(milliseconds(20)));
  }
  fixture.Add("e:4", "engines", serve(milliseconds(500)));
  fixture.Lead();
  JobSpec job = fixture.Job("j", false);
  job.items.resize(8, job.items[0]);
  for (size_t i = 0; i < job.items.size(); ++i) job.items[i].id = ItemId(fmt::format("i{}", i));
  fixture.Submit(job);
  fixture.scheduler.RunFor(seconds(4));
  const JobRecord* record = fixture.state.Find(JobId("j"));
  REQUIRE(record->results.size() == 8);
  std::string complete = "1";
  for (int i = 2; i <= 20; ++i) complete += fmt::format("\n{}", i);
  for (const JobResult& result : record->results) CHECK(result.text == complete);
  size_t left = 0;
  for (const auto& call : fixture.backends.calls) {
    left += call->address == "e:4" && call->cancelled ? 1 : 0;
  }
  CHECK(left == 2);
}

TEST_CASE("An item with a complete text in an earlier job is scored again, but not run again") {
  Fixture fixture;
  fixture.Lead();
  fixture.Submit(fixture.Job("j"));
  fixture.scheduler.RunFor(seconds(1));
  REQUIRE(fixture.ResultOf("j") != nullptr);
  fixture.state.Apply(LogIndex(50), EncodeJobCommand({EndJob{JobId("j")}, {}}));
  fixture.scheduler.RunFor(milliseconds(10));
  fixture.Submit(fixture.Job("k"));
  fixture.scheduler.RunFor(seconds(1));
  CHECK(fixture.backends.CountAt("e:1") == 1);
  CHECK(fixture.backends.CountAt("p:1") == 2);
  REQUIRE(fixture.ResultOf("k") != nullptr);
  CHECK(fixture.ResultOf("k")->text == "one\ntwo");
  CHECK(fixture.ResultOf("k")->versions == std::vector{WeightVersion(1)});
  CHECK(fixture.ResultOf("k")->score == "sig");
  // The text's weights are now too old to be allowed.
  fixture.state.Apply(LogIndex(51), EncodeJobCommand({EndJob{JobId("k")}, {}}));
  fixture.scheduler.RunFor(milliseconds(10));
  fixture.loads.RecordVersion(InstanceId("e:1"), ModelName("m"), WeightVersion(2));
  JobSpec later = fixture.Job("l");
  later.min_version = WeightVersion(2);
  fixture.Submit(later);
  fixture.scheduler.RunFor(milliseconds(100));
  CHECK(fixture.backends.CountAt("e:1") >= 2);
}

TEST_CASE("A new leader knows the items of the latest jobs, whatever the jobs' identifiers") {
  constexpr int kEarlierJobs = 50;
  constexpr size_t kItemsPerJob = 100;
  Fixture fixture;
  uint64_t index = 50;
  const auto end = [&fixture, &index](const std::string& id) {
    fixture.state.Apply(LogIndex(++index), EncodeJobCommand({EndJob{JobId(id), {}}}));
  };
  for (int number = 0; number < kEarlierJobs; ++number) {
    const std::string id = fmt::format("earlier{}", number);
    JobSpec job = fixture.Job(id);
    job.items.resize(kItemsPerJob, job.items[0]);
    for (size_t i = 0; i < kItemsPerJob; ++i) job.items[i].id = ItemId(fmt::format("{}-{}", id, i));
    fixture.Submit(job);
    end(id);
  }
  // Precedes the others in the order of the identifiers.
  fixture.Submit(fixture.Job("a-latest"));
  JobResult result;
  result.text = "one\ntwo";
  result.versions = {WeightVersion(1)};
  result.score = "sig";
  fixture.state.Apply(LogIndex(++index),
                      EncodeJobCommand({RecordResult{JobId("a-latest"), result, 0, Term()}}));
  end("a-latest");
  fixture.Lead();
  fixture.Submit(fixture.Job("k"));
  fixture.scheduler.RunFor(seconds(1));
  CHECK(fixture.ResultOf("k") != nullptr);
  CHECK(fixture.backends.CountAt("e:1") == 0);
}

TEST_CASE(
    "The text of a tenant's item is not used for another tenant's item of the same identifier") {
  const bool complete = GENERATE(true, false);
  Fixture fixture;
  fixture.Lead();
  JobSpec first = fixture.Job("j");
  first.tenant = TenantName("t1");
  fixture.Submit(first);
  fixture.scheduler.RunFor(complete ? milliseconds(1000) : milliseconds(8));
  fixture.state.Apply(LogIndex(50), EncodeJobCommand({EndJob{JobId("j"), TenantName("t1")}, {}}));
  fixture.scheduler.RunFor(milliseconds(10));
  JobSpec second = fixture.Job("k");
  second.tenant = TenantName("t2");
  fixture.Submit(second);
  fixture.scheduler.RunFor(seconds(1));
  REQUIRE(fixture.backends.CountAt("e:1") == 2);
  for (const auto& call : fixture.backends.calls) {
    CHECK_FALSE(FindHeader(call->request.headers, "resume").has_value());
  }
  REQUIRE(fixture.ResultOf("k") != nullptr);
}

TEST_CASE("An item runs for its job's tenant, its scoring without a tenant") {
  Fixture fixture;
  fixture.Lead();
  JobSpec job = fixture.Job("j");
  job.tenant = TenantName("t1");
  fixture.Submit(job);
  fixture.scheduler.RunFor(seconds(1));
  REQUIRE(fixture.backends.calls.size() == 2);
  CHECK(FindHeader(fixture.backends.calls[0]->request.headers, "tenant") == "t1");
  CHECK_FALSE(FindHeader(fixture.backends.calls[1]->request.headers, "tenant").has_value());
}

/// Items of `jobs` in the order in which an engine with one slot ran them.
std::vector<std::string> OrderOfRuns(const std::vector<JobSpec>& jobs) {
  Fixture fixture;
  fixture.reader.table.version = 2;
  fixture.reader.table.routes[0].job_deadline = seconds(8);
  fixture.reader.table.services[0].engine->tokens_per_event = 10;
  fixture.reader.table.routes[0].priority = 2;
  fixture.reader.table.tenants =
      TenantDirectory({{TenantName("urgent"), {"key-1"}, 0}, {TenantName("usual"), {"key-2"}, {}}});
  fixture.configuration.routing = {2, "other content"};
  fixture.Add("e:1", "engines", [](const HttpRequest&) { return Text({"1||one\n\n"}); });
  fixture.configuration.instances[InstanceId("e:1")].slots = 1;
  fixture.Update();
  for (const JobSpec& job : jobs) fixture.Submit(job);
  fixture.Lead();
  fixture.scheduler.RunFor(seconds(3));
  std::vector<std::string> order;
  for (const auto& call : fixture.backends.calls) {
    if (call->address == "e:1") order.emplace_back(*FindHeader(call->request.headers, "id"));
  }
  return order;
}

JobItem GuessedItem(const std::string& id, const std::string& group, uint64_t tokens) {
  JobItem item;
  item.id = ItemId(id);
  item.path = "/j/item";
  item.group = group;
  item.expected_tokens = tokens;
  return item;
}

TEST_CASE("A long text of a newer job starts before short ones of an older job") {
  Fixture fixture;
  JobSpec older = fixture.Job("older");
  older.items = {GuessedItem("short-1", "a", 50), GuessedItem("short-2", "a", 60)};
  JobSpec newer = fixture.Job("newer");
  newer.items = {GuessedItem("short-3", "b", 40), GuessedItem("long", "b", 2000)};
  CHECK(OrderOfRuns({older, newer}) ==
        std::vector<std::string>{"long", "short-2", "short-1", "short-3"});
}

TEST_CASE("A tenant's priority overrides that of the route") {
  Fixture fixture;
  JobSpec usual = fixture.Job("usual");
  usual.tenant = TenantName("usual");
  usual.items = {GuessedItem("long", "a", 2000)};
  JobSpec urgent = fixture.Job("urgent");
  urgent.tenant = TenantName("urgent");
  urgent.items = {GuessedItem("short", "b", 40)};
  CHECK(OrderOfRuns({usual, urgent}) == std::vector<std::string>{"short", "long"});
}

TEST_CASE("Spare items start after the wanted items of all jobs") {
  Fixture fixture;
  JobSpec older = fixture.Job("older");
  older.wanted_groups = 1;
  older.items = {GuessedItem("spare", "b", 2000), GuessedItem("wanted", "a", 50)};
  JobSpec newer = fixture.Job("newer");
  newer.items = {GuessedItem("wanted-too", "c", 30)};
  CHECK(OrderOfRuns({older, newer}) == std::vector<std::string>{"wanted", "wanted-too", "spare"});
}

/// Two jobs with the same item establish a lag of two versions; a third job has a spare group.
class ReturnFixture : public Fixture {
 public:
  ReturnFixture() {
    Add("e:1", "engines", [this](const HttpRequest&) {
      return FakeAnswer{Kind::kAnswer, 200, {{"version", held}}, {"1||one\n\n"}};
    });
    Lead();
    JobSpec first = Job("first");
    first.min_version = WeightVersion(1);
    first.items = {GuessedItem("returns", "a", 50)};
    Submit(first);
    state.Apply(LogIndex(50), EncodeJobCommand({EndJob{JobId("first")}, {}}));
    scheduler.RunFor(milliseconds(10));
    JobSpec second = first;
    second.id = JobId("second");
    second.min_version = WeightVersion(3);
    Submit(second);
    state.Apply(LogIndex(51), EncodeJobCommand({EndJob{JobId("second")}, {}}));
    scheduler.RunFor(milliseconds(10));
  }

  /// Version that the engine reports.
  std::string held = "1";

  void NameVersion(uint64_t version) {
    configuration.versions[ModelName("m")].version = WeightVersion(version);
    Update();
  }

  void SubmitThird() {
    JobSpec third = Job("third");
    third.min_version = WeightVersion(3);
    third.wanted_groups = 1;
    third.items = {GuessedItem("wanted", "w", 20), GuessedItem("spare", "s", 900)};
    Submit(third);
  }

  size_t RunsOf(const std::string& item) const {
    size_t runs = 0;
    for (const auto& call : backends.calls) {
      runs += FindHeader(call->request.headers, "id") == item ? 1 : 0;
    }
    return runs;
  }
};

TEST_CASE("A spare group starts on weights that a later job will still allow") {
  ReturnFixture fixture;
  fixture.NameVersion(4);
  fixture.loads.RecordVersion(InstanceId("e:1"), ModelName("m"), WeightVersion(4));
  fixture.held = "4";
  fixture.SubmitThird();
  fixture.scheduler.RunFor(seconds(2));
  CHECK(fixture.RunsOf("wanted") == 1);
  CHECK(fixture.RunsOf("spare") == 0);
  fixture.NameVersion(5);
  fixture.loads.RecordVersion(InstanceId("e:1"), ModelName("m"), WeightVersion(5));
  fixture.scheduler.RunFor(milliseconds(200));
  CHECK(fixture.RunsOf("spare") == 1);
}

TEST_CASE("A spare group waits a limited time for the next version") {
  ReturnFixture fixture;
  fixture.NameVersion(4);
  fixture.loads.RecordVersion(InstanceId("e:1"), ModelName("m"), WeightVersion(4));
  fixture.held = "4";
  fixture.SubmitThird();
  fixture.scheduler.RunFor(milliseconds(5300));
  CHECK(fixture.RunsOf("spare") == 0);
  fixture.scheduler.RunFor(milliseconds(500));
  CHECK(fixture.RunsOf("spare") == 1);
}

TEST_CASE("Short texts are not saved") {
  Fixture fixture;
  fixture.Lead();
  fixture.Submit(fixture.Job("j"));
  fixture.scheduler.RunFor(seconds(3));
  REQUIRE(fixture.ResultOf("j") != nullptr);
  CHECK(fixture.group.AppliedIndex() == LogIndex(2));
}

TEST_CASE("A single-version text is restarted once no engine holds its version") {
  Fixture fixture;
  fixture.reader.table.routes[0].single_version = true;
  fixture.reader.table.version = 2;
  fixture.configuration.routing = {2, "other content"};
  int runs = 0;
  fixture.Add("e:1", "engines", [&runs](const HttpRequest& request) {
    if (++runs > 1) {
      CHECK_FALSE(FindHeader(request.headers, "resume").has_value());
      return FakeAnswer{Kind::kAnswer, 200, {{"version", "2"}}, {"1||new\n\n"}};
    }
    FakeAnswer answer = Text({"1||one\n\n"});
    answer.kind = Kind::kTruncatedBody;
    return answer;
  });
  fixture.Lead();
  fixture.Submit(fixture.Job("j"));
  fixture.scheduler.RunFor(milliseconds(30));
  fixture.loads.RecordVersion(InstanceId("e:1"), ModelName("m"), WeightVersion(2));
  fixture.scheduler.RunFor(seconds(2));
  REQUIRE(fixture.ResultOf("j") != nullptr);
  CHECK(fixture.ResultOf("j")->text == "new");
  CHECK(fixture.ResultOf("j")->versions == std::vector{WeightVersion(2)});
}

TEST_CASE("A single-version text is restarted once the only engine with its version is lost") {
  Fixture fixture;
  fixture.reader.table.routes[0].single_version = true;
  fixture.reader.table.version = 2;
  fixture.configuration.routing = {2, "other content"};
  bool lost = false;
  fixture.Add("e:1", "engines", [&lost](const HttpRequest&) {
    FakeAnswer answer = Text({"1||one\n\n"});
    answer.kind = std::exchange(lost, true) ? Kind::kUnreachable : Kind::kTruncatedBody;
    return answer;
  });
  fixture.Lead();
  fixture.Submit(fixture.Job("j", false));
  fixture.scheduler.RunFor(milliseconds(30));
  fixture.Add("e:2", "engines", [](const HttpRequest&) {
    return FakeAnswer{Kind::kAnswer, 200, {{"version", "2"}}, {"1||new\n\n"}};
  });
  fixture.loads.RecordVersion(InstanceId("e:2"), ModelName("m"), WeightVersion(2));
  fixture.scheduler.RunFor(seconds(5));
  REQUIRE(fixture.ResultOf("j") != nullptr);
  CHECK(fixture.ResultOf("j")->text == "new");
}

TEST_CASE("Weights that the job does not allow are not used") {
  Fixture fixture;
  fixture.Lead();
  JobSpec job = fixture.Job("j");
  job.min_version = WeightVersion(2);
  fixture.Submit(job);
  fixture.scheduler.RunFor(seconds(1));
  CHECK(fixture.backends.CountAt("e:1") == 0);
}

TEST_CASE("An engine without an event is not recorded with the version of the existing text") {
  Fixture fixture;
  fixture.Add("e:1", "engines", [](const HttpRequest&) {
    FakeAnswer answer = Text({"1||one\n\n"});
    answer.headers = {{"version", "2"}};
    answer.kind = Kind::kTruncatedBody;
    return answer;
  });
  fixture.Lead();
  fixture.loads.RecordVersion(InstanceId("e:1"), ModelName("m"), WeightVersion(2));
  fixture.Submit(fixture.Job("j"));
  fixture.scheduler.RunFor(milliseconds(15));
  fixture.Add("e:2", "engines", [](const HttpRequest&) {
    return FakeAnswer{Kind::kAnswer, 503, {{"refused", "1"}}};
  });
  fixture.scheduler.RunFor(seconds(1));
  REQUIRE(fixture.backends.CountAt("e:2") > 0);
  CHECK(fixture.loads.VersionOf(InstanceId("e:2"), ModelName("m")) == WeightVersion(1));
}

TEST_CASE("An engine with older weights than recorded gets no more runs of the job") {
  Fixture fixture;
  fixture.Lead();
  fixture.loads.RecordVersion(InstanceId("e:1"), ModelName("m"), WeightVersion(5));
  JobSpec job = fixture.Job("j");
  job.min_version = WeightVersion(5);
  fixture.Submit(job);
  fixture.scheduler.RunFor(seconds(2));
  CHECK(fixture.backends.CountAt("e:1") == 1);
  CHECK(fixture.loads.VersionOf(InstanceId("e:1"), ModelName("m")) == WeightVersion(1));
}

TEST_CASE("Loss of leadership ends all runs") {
  Fixture fixture;
  fixture.Add("e:1", "engines", [](const HttpRequest&) { return FakeAnswer{Kind::kNoResponse}; });
  fixture.Lead();
  fixture.Submit(fixture.Job("j"));
  fixture.scheduler.RunFor(milliseconds(100));
  REQUIRE(fixture.backends.CountAt("e:1") == 1);
  fixture.scheduler_under_test.SetLeading(false);
  CHECK(fixture.backends.calls[0]->cancelled);
  fixture.scheduler.RunFor(seconds(5));
  CHECK(fixture.backends.CountAt("e:1") == 1);
}

}  // namespace
}  // namespace millstair
