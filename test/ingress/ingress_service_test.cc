/// Which routes a node goes by as documents come.
#include "ingress/ingress_service.h"

#include <catch2/catch.hpp>

#include "test/ingress/fake_backends.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;

/// A document names the service of its one route, at /p/; "unreadable" can't be read.
class OneRoute : public RoutingDocumentReader {
 public:
  absl::StatusOr<RouteTable> Read(const std::string& content) const override {
    if (content == "unreadable") return absl::InvalidArgumentError("unreadable");
    Route route;
    route.name = "r";
    route.host = "h";
    route.path_prefix = "/p/";
    route.services = {{ServiceName(content), 1}};
    RouteTable table;
    table.version = 1;
    table.routes = {route};
    table.services = {{ServiceName(content), "", 0, std::nullopt}};
    return table;
  }
};

class Fixture {
 public:
  Fixture() {
    for (const char* const service : {"pages", "shop"}) {
      const BackendInstance instance = LiveInstance(std::string(service) + ":1", service);
      configuration.instances[instance.id] = instance;
      backends.Serve(instance.address, [](const HttpRequest&) { return FakeAnswer(); });
    }
  }

  void Take(uint64_t version, const std::string& content) {
    configuration.routing = {version, content};
    configuration.revision = Next(configuration.revision);
    ingress.Update(configuration);
  }

  ForwardResult Ask(const std::string& target) {
    ForwardResult ended;
    ingress.Forward({{"GET", target, {}, ""}, "h", "id", milliseconds(500)},
                    [&](const ForwardResult& result) { ended = result; });
    scheduler.RunFor(milliseconds(100));
    return ended;
  }

  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 2};
  FakeBackends backends{scheduler};
  FakeProtocol protocol;
  OneRoute reader;
  Configuration configuration;
  IngressService ingress{environment, backends, protocol, reader, Zone("z1")};
};

TEST_CASE("Other content under the version held is taken over") {
  Fixture fixture;
  fixture.Take(1, "pages");
  fixture.Take(1, "shop");
  fixture.Ask("/p/x");
  CHECK(fixture.backends.CountAt("pages:1") == 0);
  CHECK(fixture.backends.CountAt("shop:1") == 1);
}

TEST_CASE("A node that can't read the newest routes refuses nothing for want of a route") {
  Fixture fixture;
  fixture.Take(1, "pages");
  CHECK(fixture.Ask("/q/x").outcome == ForwardOutcome::kNoRoute);
  fixture.Take(2, "unreadable");
  // They may have the route; those held still lead where they did.
  CHECK(fixture.Ask("/q/x").outcome == ForwardOutcome::kNotConfigured);
  CHECK(fixture.Ask("/p/x").outcome == ForwardOutcome::kAnswered);
  fixture.Take(3, "shop");
  CHECK(fixture.Ask("/q/x").outcome == ForwardOutcome::kNoRoute);
}

}  // namespace
}  // namespace millstair
