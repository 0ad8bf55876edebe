/// Which routes a node uses as routing documents arrive.
#include "ingress/ingress_service.h"

#include <catch2/catch.hpp>

#include "test/ingress/fake_backends.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;

/// Reads a document's content as the service of one route at /p/; "unreadable" is an error.
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

  void Apply(uint64_t version, const std::string& content) {
    configuration.routing = {version, content};
    configuration.revision = Next(configuration.revision);
    ingress.Update(configuration);
  }

  ForwardResult Send(const std::string& target) {
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

TEST_CASE("New content under the same version is applied") {
  Fixture fixture;
  fixture.Apply(1, "pages");
  fixture.Apply(1, "shop");
  fixture.Send("/p/x");
  CHECK(fixture.backends.CountAt("pages:1") == 0);
  CHECK(fixture.backends.CountAt("shop:1") == 1);
}

TEST_CASE("With an unreadable routing document a missing route is reported as not configured") {
  Fixture fixture;
  fixture.Apply(1, "pages");
  CHECK(fixture.Send("/q/x").outcome == ForwardOutcome::kNoRoute);
  fixture.Apply(2, "unreadable");
  // The unreadable document may hold the route; the old routes stay in use.
  CHECK(fixture.Send("/q/x").outcome == ForwardOutcome::kNotConfigured);
  CHECK(fixture.Send("/p/x").outcome == ForwardOutcome::kAnswered);
  fixture.Apply(3, "shop");
  CHECK(fixture.Send("/q/x").outcome == ForwardOutcome::kNoRoute);
}

}  // namespace
}  // namespace millstair
