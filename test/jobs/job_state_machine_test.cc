#include "jobs/job_state_machine.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace millstair {
namespace {

using std::chrono::seconds;

JobSpec Job(const std::string& id, size_t items) {
  JobSpec job;
  job.id = JobId(id);
  job.host = "h";
  job.path = "/p/";
  job.step = 3;
  job.model = ModelName("m");
  job.min_version = WeightVersion(2);
  for (size_t i = 0; i < items; ++i) {
    JobItem item;
    item.id = ItemId(id + "-" + std::to_string(i));
    item.path = "/p/1";
    item.headers = {{"A", "b"}};
    item.body = std::string("by\0tes", 6);
    item.group = "g";
    item.scoring = JobScoring{"s", "h", "/q", "body"};
    job.items.push_back(item);
  }
  return job;
}

JobResult Result(uint32_t item, const std::string& text) {
  return {item, ItemState::kDone, text, {WeightVersion(2), WeightVersion(3)}, "sig"};
}

class Machine {
 public:
  JobResultCode Run(JobOperation operation, seconds at = seconds(100)) {
    const JobCommand command{std::move(operation), WallTime(at)};
    return *DecodeJobResultCode(machine.Apply(LogIndex(++index_), EncodeJobCommand(command)));
  }
  JobStateMachine machine{JobLimits{seconds(120), seconds(600)}};

 private:
  uint64_t index_ = 0;
};

TEST_CASE("A job is added once, and a resend changes nothing") {
  Machine machine;
  CHECK(machine.Run(SubmitJob{Job("a", 2)}) == JobResultCode::kOk);
  CHECK(machine.Run(RecordResult{JobId("a"), Result(1, "x")}) == JobResultCode::kOk);
  CHECK(machine.Run(SubmitJob{Job("a", 5)}) == JobResultCode::kOk);
  const JobRecord* record = machine.machine.Find(JobId("a"));
  REQUIRE(record != nullptr);
  CHECK(record->spec.items.size() == 2);
  CHECK(record->results.size() == 1);
}

JobSpec OwnedJob(const std::string& id, const std::string& tenant) {
  JobSpec job = Job(id, 1);
  job.tenant = TenantName(tenant);
  return job;
}

TEST_CASE("A job belongs to the tenant that submitted it") {
  Machine machine;
  CHECK(machine.Run(SubmitJob{OwnedJob("a", "t1")}) == JobResultCode::kOk);
  CHECK(machine.Run(SubmitJob{OwnedJob("a", "t1")}) == JobResultCode::kOk);
  CHECK(machine.Run(SubmitJob{OwnedJob("a", "t2")}) == JobResultCode::kOtherOwner);
  CHECK(machine.Run(SubmitJob{OwnedJob("a", "")}) == JobResultCode::kOtherOwner);
  CHECK(machine.Run(EndJob{JobId("a"), TenantName("t2")}) == JobResultCode::kNotFound);
  CHECK(machine.Run(EndJob{JobId("a"), TenantName()}) == JobResultCode::kNotFound);
  CHECK_FALSE(machine.machine.Find(JobId("a"))->ended);
  CHECK(machine.Run(EndJob{JobId("a"), TenantName("t1")}) == JobResultCode::kOk);
  CHECK(machine.machine.Find(JobId("a"))->ended);
}

TEST_CASE("A job's owner survives a snapshot") {
  Machine machine;
  machine.Run(SubmitJob{OwnedJob("a", "t1")});
  JobStateMachine restored;
  REQUIRE(restored.Restore(LogIndex(9), machine.machine.TakeSnapshot()).ok());
  CHECK(restored.Find(JobId("a"))->spec.tenant == TenantName("t1"));
}

TEST_CASE("A job submitted before tenants were configured stays open to all") {
  Machine machine;
  machine.Run(SubmitJob{Job("a", 1)});
  CHECK(machine.Run(SubmitJob{OwnedJob("a", "t1")}) == JobResultCode::kOk);
  CHECK(machine.Run(EndJob{JobId("a"), TenantName("t1")}) == JobResultCode::kOk);
}

TEST_CASE("A position keeps its first result") {
  Machine machine;
  machine.Run(SubmitJob{Job("a", 3)});
  machine.Run(RecordResult{JobId("a"), Result(2, "first")});
  machine.Run(RecordResult{JobId("a"), Result(2, "second")});
  machine.Run(RecordResult{JobId("a"), Result(0, "other")});
  const JobRecord* record = machine.machine.Find(JobId("a"));
  REQUIRE(record->results.size() == 2);
  CHECK(record->results[0].text == "first");
  CHECK(record->results[1].item == 0);
  CHECK(machine.Run(RecordResult{JobId("a"), Result(3, "")}) == JobResultCode::kInvalid);
  CHECK(machine.Run(RecordResult{JobId("b"), Result(0, "")}) == JobResultCode::kNotFound);
}

TEST_CASE("No result is recorded once a job has ended") {
  Machine machine;
  machine.Run(SubmitJob{Job("a", 2)});
  machine.Run(RecordResult{JobId("a"), Result(1, "before")});
  machine.Run(EndJob{JobId("a")});
  machine.Run(RecordResult{JobId("a"), Result(0, "after")});
  CHECK(machine.machine.Find(JobId("a"))->results.size() == 1);
  CHECK_FALSE(machine.machine.IsRecorded(JobId("a"), 0));
}

TEST_CASE("An ended job is retained for a limited time, an open one indefinitely") {
  Machine machine;
  machine.Run(SubmitJob{Job("ended", 1)}, seconds(100));
  machine.Run(SubmitJob{Job("open", 1)}, seconds(100));
  CHECK(machine.Run(EndJob{JobId("ended")}, seconds(110)) == JobResultCode::kOk);
  CHECK(machine.Run(EndJob{JobId("ended")}, seconds(215)) == JobResultCode::kOk);
  CHECK(machine.machine.Find(JobId("ended")) != nullptr);
  machine.Run(EndJob{JobId("none")}, seconds(221));
  CHECK(machine.machine.Find(JobId("ended")) == nullptr);
  CHECK(machine.machine.Find(JobId("open")) != nullptr);
}

TEST_CASE("Snapshots contain ended jobs as of their end and open jobs as they are") {
  Machine machine;
  machine.Run(SubmitJob{Job("a", 2)});
  machine.Run(SubmitJob{Job("b", 2)});
  machine.Run(RecordResult{JobId("a"), Result(1, "x")});
  machine.Run(EndJob{JobId("a")});
  const std::string ended = EncodeSnapshotJob(*machine.machine.Find(JobId("a")));
  CHECK(machine.machine.TakeSnapshot().find(ended) != std::string::npos);
  Machine restored;
  REQUIRE(restored.machine.Restore(LogIndex(4), machine.machine.TakeSnapshot()).ok());
  restored.machine.Apply(LogIndex(5),
                         EncodeJobCommand({RecordResult{JobId("b"), Result(0, "y")}, {}}));
  machine.machine.Apply(LogIndex(5),
                        EncodeJobCommand({RecordResult{JobId("b"), Result(0, "y")}, {}}));
  CHECK(restored.machine.TakeSnapshot() == machine.machine.TakeSnapshot());
  CHECK(restored.machine.TakeSnapshot().find(ended) != std::string::npos);
  CHECK(restored.machine.Find(JobId("b"))->results.size() == 1);
}

TEST_CASE("The latest announcement for each engine is retained, in log order") {
  Machine machine;
  const AnnounceOrder first{NodeId("n1"), InstanceId("a"), Term(2), seconds(1)};
  const AnnounceOrder second{NodeId("n1"), InstanceId("b"), Term(2), seconds(3)};
  const AnnounceOrder third{NodeId("n2"), InstanceId("a"), Term(4), seconds(2)};
  machine.Run(first);
  machine.Run(second);
  machine.Run(third);
  CHECK(machine.machine.announcements() == std::vector{second, third});
  Machine restored;
  REQUIRE(restored.machine.Restore(LogIndex(3), machine.machine.TakeSnapshot()).ok());
  CHECK(restored.machine.announcements() == std::vector{second, third});
}

TEST_CASE("A record of paces replaces the one before, and survives a snapshot") {
  Machine machine;
  const std::vector<EnginePace> first = {{InstanceId("a"), Duration(30'000)},
                                         {InstanceId("b"), Duration(120'000)}};
  const std::vector<EnginePace> second = {{InstanceId("b"), Duration(60'000)}};
  CHECK(machine.Run(RecordEnginePaces{first}) == JobResultCode::kOk);
  CHECK(machine.machine.engine_paces() == first);
  Machine restored;
  REQUIRE(restored.machine.Restore(LogIndex(1), machine.machine.TakeSnapshot()).ok());
  CHECK(restored.machine.engine_paces() == first);
  machine.Run(RecordEnginePaces{second});
  CHECK(machine.machine.engine_paces() == second);
}

TEST_CASE("A record with a pace of zero is malformed and changes nothing") {
  Machine machine;
  const std::vector<EnginePace> paces = {{InstanceId("a"), Duration(30'000)}};
  machine.Run(RecordEnginePaces{paces});
  CHECK(machine.Run(RecordEnginePaces{{{InstanceId("a"), Duration(0)}}}) ==
        JobResultCode::kInvalid);
  CHECK(machine.machine.engine_paces() == paces);
}

ProgressPart Part(uint64_t after, uint64_t events, const std::string& text, uint32_t item = 0,
                  Term term = Term(3)) {
  return {JobId("a"), item, after, {{text, events, {WeightVersion(2)}, WeightVersion(2)}, term}};
}

TEST_CASE("A result may hold only what follows the text that its leader saved") {
  Machine machine;
  machine.Run(SubmitJob{Job("a", 2)});
  machine.Run(SaveProgress{{Part(0, 2, "x\ny")}});
  const RecordResult rest{JobId("a"), Result(0, "\nz"), 2, Term(3)};
  SECTION("it is sent complete") {
    CHECK(machine.Run(rest) == JobResultCode::kOk);
    CHECK(machine.machine.Find(JobId("a"))->results.at(0).text == "x\ny\nz");
    CHECK(machine.machine.Find(JobId("a"))->progress.empty());
  }
  SECTION("another leader has saved as many events") {
    machine.Run(SaveProgress{{Part(0, 2, "p\nq", 0, Term(4))}});
    CHECK(machine.Run(rest) == JobResultCode::kNotSaved);
    CHECK_FALSE(machine.machine.IsRecorded(JobId("a"), 0));
  }
  SECTION("more was saved meanwhile") {
    machine.Run(SaveProgress{{Part(2, 3, "\nq")}});
    CHECK(machine.Run(rest) == JobResultCode::kNotSaved);
  }
  SECTION("nothing is saved") {
    const RecordResult other{JobId("a"), Result(1, "\nz"), 2, Term(3)};
    CHECK(machine.Run(other) == JobResultCode::kNotSaved);
    CHECK(machine.machine.Find(JobId("a"))->results.empty());
  }
}

TEST_CASE("A leader's part is not appended to a text that another leader saved") {
  Machine machine;
  machine.Run(SubmitJob{Job("a", 2)});
  machine.Run(SaveProgress{{Part(0, 2, "x\ny")}});
  machine.Run(SaveProgress{{Part(2, 3, "\nz", 0, Term(4))}});
  CHECK(machine.machine.Find(JobId("a"))->progress.at(0).text == "x\ny");
  Machine restored;
  REQUIRE(restored.machine.Restore(LogIndex(3), machine.machine.TakeSnapshot()).ok());
  CHECK(restored.machine.Find(JobId("a"))->progress.at(0).term == Term(3));
}

TEST_CASE("Parts of a text are saved in order, once each, until the result is recorded") {
  Machine machine;
  machine.Run(SubmitJob{Job("a", 2)});
  const auto& progress = machine.machine.Find(JobId("a"))->progress;
  machine.Run(SaveProgress{{Part(0, 2, "x\ny")}});
  machine.Run(SaveProgress{{Part(2, 3, "\nz")}});
  machine.Run(SaveProgress{{Part(2, 3, "\nz")}});
  machine.Run(SaveProgress{{Part(5, 6, "\nlost")}});
  CHECK(progress.at(0).text == "x\ny\nz");
  CHECK(progress.at(0).events == 3);
  machine.Run(SaveProgress{{Part(0, 1, "anew")}});
  CHECK(progress.at(0).text == "anew");
  machine.Run(SaveProgress{{Part(0, 1, "nobody's", 7)}});
  CHECK(progress.size() == 1);
  machine.Run(RecordResult{JobId("a"), Result(0, "whole")});
  CHECK(progress.empty());
  machine.Run(SaveProgress{{Part(0, 1, "late")}});
  CHECK(progress.empty());
}

TEST_CASE("A part without preceding text is ignored, and the snapshot can be restored") {
  Machine machine;
  machine.Run(SubmitJob{Job("a", 2)});
  machine.Run(SaveProgress{{Part(5, 6, "\nlost", 1)}});
  CHECK(machine.machine.Find(JobId("a"))->progress.empty());
  Machine restored;
  CHECK(restored.machine.Restore(LogIndex(2), machine.machine.TakeSnapshot()).ok());
}

TEST_CASE("Malformed commands are rejected and change nothing") {
  Machine machine;
  machine.Run(SubmitJob{Job("a", 1)});
  const std::string before = machine.machine.TakeSnapshot();
  CHECK(*DecodeJobResultCode(machine.machine.Apply(LogIndex(9), "\xff\xff")) ==
        JobResultCode::kInvalid);
  CHECK(machine.machine.TakeSnapshot() == before);
  CHECK_FALSE(machine.machine.Restore(LogIndex(9), "\xff").ok());
  CHECK(machine.machine.TakeSnapshot() == before);
}

TEST_CASE("The same commands give the same state, also after a snapshot") {
  rc::prop("snapshots continue like the log", [] {
    Machine reference;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
    Machine restored;
    const size_t cut = steps.empty() ? 0 : steps.size() / 2;
    for (size_t i = 0; i < steps.size(); ++i) {
      if (i == cut) {
        RC_ASSERT(restored.machine.Restore(LogIndex(i), reference.machine.TakeSnapshot()).ok());
      }
      const std::string id(1, static_cast<char>('a' + steps[i] % 3));
      JobOperation operation = SubmitJob{Job(id, 4)};
      if (steps[i] % 4 == 1) operation = RecordResult{JobId(id), Result(steps[i] % 5U, id)};
      if (steps[i] % 4 == 2) operation = EndJob{JobId(id)};
      if (steps[i] % 4 == 3) {
        operation = AnnounceOrder{NodeId("n"), InstanceId(id), Term(i), seconds(i)};
      }
      if (steps[i] % 7 == 3) operation = RecordEnginePaces{{{InstanceId(id), Duration(i + 1)}}};
      const seconds at(static_cast<int>(i) * 20);
      const auto expected = reference.Run(operation, at);
      if (i >= cut) RC_ASSERT(restored.Run(operation, at) == expected);
    }
    if (!steps.empty()) {
      RC_ASSERT(reference.machine.TakeSnapshot() == restored.machine.TakeSnapshot());
    }
  });
}

}  // namespace
}  // namespace millstair
