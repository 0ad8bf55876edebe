// Hollow engines, the resources of a scale run, and its report.
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "bench/experiment/experiment_runner.h"
#include "bench/scale/hollow_engines.h"
#include "bench/scale/hollow_view.h"
#include "bench/scale/process_usage.h"
#include "bench/scale/scale_resources.h"
#include "bench/scale/scale_run.h"
#include "common/virtual_environment.h"
#include "routing/placement_rules.h"

namespace millstair {
namespace {

constexpr char kEngine[] = "10.1.0.1:8000";

EngineOrder Order(OrderKind kind, uint64_t fence, uint64_t version) {
  EngineOrder order;
  order.kind = kind;
  order.fence = Revision(fence);
  order.model = ModelName("m");
  order.version = WeightVersion(version);
  return order;
}

struct HollowFixture {
  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 2};
  HollowEngines engines{environment, HollowEngineOptions{}};

  absl::Status Send(const EngineOrder& order) {
    absl::Status answer = absl::UnknownError("no answer");
    engines.SendOrder(kEngine, order, [&](absl::Status status) { answer = status; });
    scheduler.RunFor(std::chrono::seconds(2));
    return answer;
  }
  EngineReport Report() {
    EngineReport report;
    engines.FetchReport(kEngine, [&](absl::StatusOr<EngineReport> answer) { report = *answer; });
    scheduler.RunFor(std::chrono::seconds(1));
    return report;
  }
};

TEST_CASE("a hollow engine stages, activates and refuses a smaller fence") {
  HollowFixture fixture;
  REQUIRE(fixture.Send(Order(OrderKind::kStage, 5, 3)).ok());
  CHECK(fixture.Report().staged_versions == std::vector<WeightVersion>{WeightVersion(3)});
  REQUIRE(fixture.Send(Order(OrderKind::kActivate, 6, 3)).ok());
  CHECK(fixture.Report().active_version == WeightVersion(3));
  CHECK(fixture.Report().staged_versions.empty());
  CHECK(fixture.Send(Order(OrderKind::kActivate, 4, 2)).code() ==
        absl::StatusCode::kFailedPrecondition);
  REQUIRE(fixture.engines.activations().size() == 1);
  CHECK(fixture.engines.activations().front().version == WeightVersion(3));
}

TEST_CASE("every server of a scale run holds the model and lies in a zone of the shape") {
  ScaleShape shape;
  shape.servers = 30;
  shape.zones = {Zone("a"), Zone("b")};
  Configuration configuration;
  configuration.revision = Revision(1);
  for (Resource& resource : ScaleResources(shape)) {
    configuration.resources.emplace(resource.key(), resource);
  }
  const PlacementRules rules(configuration);
  CHECK(rules.EnginesForModel(ModelName(kScaleModel)).size() == shape.servers);
}

TEST_CASE("the state of hollow hosts tells since when a revision is held") {
  HollowFleetState fleet;
  HollowHostState host;
  host.nodes[NodeId("a")].revisions = {{Revision(1), 100}, {Revision(4), 400}};
  host.nodes[NodeId("b")].revisions = {{Revision(2), 200}};
  fleet.hosts.push_back(host);
  const auto held = fleet.HeldSince(Revision(3));
  REQUIRE(held.size() == 2);
  CHECK(held[0] == std::optional<int64_t>(400));
  CHECK_FALSE(held[1].has_value());
}

TEST_CASE("the header and the rows of the scale table have the same columns") {
  const std::string header = ScaleCsvHeader();
  const std::string row = ToCsvRow(ScaleReport{});
  CHECK(std::count(header.begin(), header.end(), ',') == std::count(row.begin(), row.end(), ','));
}

TEST_CASE("usage of a process is read, and a missing process is told") {
  const auto own = ReadProcessUsage(getpid());
  REQUIRE(own.ok());
  CHECK(own->resident_bytes > 0);
  CHECK(ReadProcessUsage(-1).status().code() == absl::StatusCode::kNotFound);
}

TEST_CASE("an unknown policy of an experiment is named") {
  const auto policies = ParsePolicies("product,best");
  REQUIRE_FALSE(policies.ok());
  CHECK(std::string(policies.status().message()).find("best") != std::string::npos);
  CHECK(ParsePolicies("product,live-only")->size() == 2);
}

TEST_CASE("policies of an experiment differ only in what they compare") {
  ExperimentPlan plan;
  const auto policies = ParsePolicies("product,round-robin,live-only");
  REQUIRE(policies.ok());
  const auto product = FleetOptionsFor(plan, (*policies)[0], 15, 3);
  const auto round_robin = FleetOptionsFor(plan, (*policies)[1], 15, 3);
  const auto live_only = FleetOptionsFor(plan, (*policies)[2], 15, 3);
  CHECK(product.seed == round_robin.seed);
  CHECK(product.live.completions == live_only.live.completions);
  CHECK(round_robin.routing_policy == RoutingPolicy::kRoundRobin);
  CHECK_FALSE(live_only.rollouts);
}

}  // namespace
}  // namespace millstair
