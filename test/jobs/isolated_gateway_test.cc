/// A gateway that alone receives no message from the control nodes stops being ready, so that
/// others serve its callers. Without a majority of control nodes all gateways stay ready.
#include <catch2/catch.hpp>

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
