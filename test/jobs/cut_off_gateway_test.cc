/// Whether a gateway without a proof stays ready: not if it alone hears no control node, since
/// others serve callers by routes that they can prove; but if the cluster has no majority, old
/// routes are all that there is.
#include <catch2/catch.hpp>

#include "test/jobs/ingress_fleet.h"

namespace millstair {
namespace {

using std::chrono::seconds;

/// The lease of these fleets is 4 s.
constexpr Duration kLongSilence = seconds(12);

Route PagesRoute() {
  Route route;
  route.name = "r";
  route.host = "a.example";
  route.path_prefix = "/p/";
  route.attempts = 2;
  route.services = {{ServiceName("pages"), 1}};
  return route;
}

TEST_CASE("A gateway that hears no control node stops being ready, serves on, and is ready again") {
  IngressFleet fleet(3, 2, 2, PagesRoute());
  REQUIRE(fleet.gateway("g1").Ready());
  fleet.Isolate("g1");
  fleet.scheduler.RunFor(kLongSilence);
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
  fleet.scheduler.RunFor(kLongSilence);
  for (const char* const name : {"g1", "g2"}) {
    CHECK_FALSE(fleet.gateway(name).LeaseValid());
    CHECK(fleet.gateway(name).Ready());
  }
}

}  // namespace
}  // namespace millstair
