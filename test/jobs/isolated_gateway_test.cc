/// A gateway that alone receives no message from the control nodes stops being ready, so that
/// others serve its callers. Without a majority of control nodes all gateways stay ready.
#include <array>
#include <catch2/catch.hpp>
#include <string>

#include "test/jobs/ingress_fleet.h"

namespace millstair {
namespace {

using std::chrono::seconds;

/// Longer than the lease of the fleet, 4 s.
constexpr Duration kIsolationTime = seconds(12);

Route PagesRoute() {
  Route route;
  route.name = "r";
  route.host = "a.example";
  route.path_prefix = "/p/";
  route.attempts = 2;
  route.services = {{ServiceName("pages"), 1}};
  return route;
}

TEST_CASE("An isolated gateway is not ready, still forwards, and is ready again after it heals") {
  IngressFleet fleet(3, 2, 2, PagesRoute());
  REQUIRE(fleet.gateway("g1").Ready());
  fleet.Isolate("g1");
  fleet.scheduler.RunFor(kIsolationTime);
  CHECK_FALSE(fleet.gateway("g1").Ready());
  CHECK(fleet.gateway("g2").Ready());
  int answered = 0;
  fleet.Ask("g1", "/p/x", [&answered](const ForwardResult& result) {
    answered += result.head.status == 200 ? 1 : 0;
  });
  fleet.scheduler.RunFor(seconds(2));
  CHECK(answered == 1);
  fleet.Heal("g1");
  fleet.scheduler.RunFor(seconds(3));
  CHECK(fleet.gateway("g1").Ready());
}

TEST_CASE("A gateway that reaches no control node gets changes and confirmations from gateways") {
  IngressFleet fleet(5, 3, 2, PagesRoute());
  fleet.CutFromControlNodes("g1");
  fleet.scheduler.RunFor(seconds(2));
  fleet.Leader()->Submit(ReplaceRouting{{2, "content 2"}},
                         [](const absl::StatusOr<ClusterResult>&) {});
  fleet.scheduler.RunFor(kIsolationTime);
  const IngressNode& gateway = fleet.gateway("g1");
  CHECK(gateway.configuration().routing.version == 2);
  CHECK(gateway.LeaseValid());
  CHECK(gateway.Ready());
}

TEST_CASE("Gateways that all reach no control node do not confirm each other") {
  IngressFleet fleet(6, 3, 2, PagesRoute());
  const std::array<std::string, 3> names = {"g1", "g2", "g3"};
  for (const std::string& name : names) fleet.CutFromControlNodes(name);
  fleet.scheduler.RunFor(kIsolationTime);
  for (const std::string& name : names) {
    CHECK_FALSE(fleet.gateway(name).LeaseValid());
    CHECK_FALSE(fleet.gateway(name).Ready());
  }
}

TEST_CASE("Gateways of a cluster without a majority stay ready") {
  IngressFleet fleet(3, 2, 2, PagesRoute());
  fleet.Isolate("c1");
  fleet.Isolate("c2");
  fleet.scheduler.RunFor(kIsolationTime);
  for (const char* const name : {"g1", "g2"}) {
    CHECK_FALSE(fleet.gateway(name).LeaseValid());
    CHECK(fleet.gateway(name).Ready());
  }
}

}  // namespace
}  // namespace millstair
