/// A job scheduler with fake engines and scorers.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "jobs/job_scheduler.h"
#include "test/ingress/fake_backends.h"
#include "test/ingress/fixed_table.h"
#include "test/jobs/fake_group.h"

namespace millstair {

/// A stream of events, by weights of version 1.
inline FakeAnswer Text(std::vector<std::string> pieces) {
  return {FakeAnswer::Kind::kAnswer, 200, {{"version", "1"}}, std::move(pieces)};
}

/// The scheduler of a job group with one engine at e:1 and one scorer at p:1, in virtual time.
class JobSchedulerFixture {
 public:
  explicit JobSchedulerFixture(JobSchedulerOptions options = {})
      : scheduler_under_test(environment, backends, ingress, loads, state, group, options, &stats) {
    Route jobs;
    jobs.name = "jobs";
    jobs.host = "h";
    jobs.path_prefix = "/j/";
    jobs.kind = RouteKind::kJobs;
    jobs.attempts = 2;
    jobs.item_lifetime = std::chrono::seconds(30);
    jobs.services = {{ServiceName("engines"), 1}};
    Route scorer;
    scorer.name = "scorer";
    scorer.host = "h";
    scorer.path_prefix = "/score/";
    scorer.timeout = std::chrono::milliseconds(500);
    scorer.attempts = 3;
    scorer.services = {{ServiceName("pages"), 1}};
    reader.table.version = 1;
    reader.table.routes = {jobs, scorer};
    reader.table.services = {{ServiceName("engines"), "", 0, EngineProfile{2, 1, {ModelName("m")}}},
                             {ServiceName("pages"), "", 0, std::nullopt}};
    configuration.routing = {1, "content"};
    Add("e:1", "engines", [](const HttpRequest&) { return Text({"1||one\n\n", "2||two\n\n"}); });
    Add("p:1", "pages", [this](const HttpRequest&) { return score; });
    state.OnChange([this](JobChange change, const JobId& job) {
      scheduler_under_test.OnStateChange(change, job);
    });
  }

  void Add(const std::string& address, const std::string& service, FakeBackends::Script script) {
    BackendInstance instance = LiveInstance(address, service);
    instance.models = {{ModelName("m"), WeightVersion(1)}};
    configuration.instances[instance.id] = instance;
    backends.Serve(address, std::move(script));
    Update();
  }

  void Update() {
    ingress.Update(configuration);
    loads.Update(configuration, ingress.routes());
    scheduler_under_test.Pump();
  }

  void Lead() {
    loads.SetLeading(&group);
    scheduler_under_test.SetLeading(true);
  }

  JobSpec Job(const std::string& id, bool scored = true) const {
    JobSpec job;
    job.id = JobId(id);
    job.host = "h";
    job.path = "/j/x";
    job.model = ModelName("m");
    JobItem item;
    item.id = ItemId("item");
    item.path = "/j/item";
    item.body = "prompt";
    if (scored) item.scoring = JobScoring{"score-id", "h", "/score/x", "judge"};
    job.items = {item};
    return job;
  }

  void Submit(JobSpec job) {
    group.Propose(EncodeJobCommand({SubmitJob{std::move(job)}, environment.WallNow()}),
                  [](const absl::StatusOr<std::string>&) {});
    scheduler.RunFor(std::chrono::milliseconds(5));
  }

  const JobResult* ResultOf(const std::string& id) const {
    const JobRecord* record = state.Find(JobId(id));
    return record == nullptr || record->results.empty() ? nullptr : &record->results[0];
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
  StatsRegistry stats;
  JobScheduler scheduler_under_test;
  FakeAnswer score{FakeAnswer::Kind::kAnswer, 200, {{"signature", "sig"}}, {"ok"}};
};

}  // namespace millstair
