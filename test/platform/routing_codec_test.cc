#include "platform/routing_codec.h"

#include <catch2/catch.hpp>
#include <string>

#include "fmt/format.h"

namespace millstair::platform {
namespace {

constexpr char kServices[] =
    R"([{"name":"pages","health_path":"/healthz","max_conns":10,"protocol":"h1","tls":false},
        {"name":"engines","engine":{"slots":8,"kv_capacity":100,"models":[{"name":"m"}]}}])";

std::string Document(const std::string& routes) {
  return fmt::format(R"({{"version":7,"routes":[{}],"services":{},"limits":{{}}}})", routes,
                     kServices);
}

std::string RouteWith(const std::string& fields) {
  return fmt::format(
      R"({{"name":"r","host":"a.example","path_prefix":"/p/","attempts":2,"target_ms":150,{}}})",
      fields);
}

std::string FindingsOf(const std::string& document) {
  const auto table = RoutingCodec().Read(document);
  if (!table.ok()) return std::string(table.status().message());
  Findings findings;
  ValidateRouteTable(*table, findings);
  return findings.ToString();
}

constexpr char kSafe[] = R"("kind":"safe","timeout_ms":800,"service":"pages")";

TEST_CASE("A routing configuration is parsed into a route table") {
  const auto table = RoutingCodec().Read(Document(
      RouteWith(R"("kind":"safe","timeout_ms":800,"priority":2,
                   "split":[{"service":"pages","weight":90},{"service":"engines","weight":10}])") +
      "," +
      R"({"name":"j","host":"a.example","path_prefix":"/j/","kind":"rollout","deadline_ms":7500,
          "queue_ttl_s":40,"attempts":3,"service":"engines","single_version":true})"));
  REQUIRE(table.ok());
  CHECK(table->version == 7);
  REQUIRE(table->routes.size() == 2);
  const Route& pages = table->routes[0];
  CHECK(pages.kind == RouteKind::kRepeatable);
  CHECK(pages.timeout == std::chrono::milliseconds(800));
  CHECK(pages.target == std::chrono::milliseconds(150));
  CHECK(pages.attempts == 2);
  REQUIRE(pages.services.size() == 2);
  CHECK(pages.services[1] == ServiceShare{ServiceName("engines"), 10});
  const Route& jobs = table->routes[1];
  CHECK(jobs.kind == RouteKind::kJobs);
  CHECK_FALSE(jobs.timeout.has_value());
  CHECK(jobs.item_lifetime == std::chrono::seconds(40));
  CHECK(jobs.single_version);
  REQUIRE(table->services[1].engine.has_value());
  CHECK(table->services[1].engine->models == std::vector<ModelName>{ModelName("m")});
  Findings findings;
  ValidateRouteTable(*table, findings);
  CHECK(findings.empty());
}

std::string WithTenants(const std::string& tenants) {
  std::string document = Document(RouteWith(R"("kind":"safe","timeout_ms":800,"service":"pages",
                                               "public":true)"));
  document.pop_back();
  return document + R"(,"tenants":)" + tenants + "}";
}

TEST_CASE("Tenants, their keys and public routes are read") {
  const auto without = RoutingCodec().Read(Document(RouteWith(kSafe)));
  REQUIRE(without.ok());
  CHECK_FALSE(without->tenants.has_value());
  CHECK_FALSE(without->routes[0].is_public);
  const auto table = RoutingCodec().Read(WithTenants(
      R"([{"name":"t1","api_keys":["k1","k2"],"priority":1},{"name":"t2","api_keys":["k3"]}])"));
  REQUIRE(table.ok());
  REQUIRE(table->tenants.has_value());
  CHECK(table->routes[0].is_public);
  CHECK(table->CheckAccess("k3", false).tenant == TenantName("t2"));
  CHECK(table->CheckAccess("k9", false).verdict == AccessVerdict::kUnknownKey);
  CHECK(table->PriorityOf(table->routes[0], TenantName("t1")) == 1);
  CHECK(table->PriorityOf(table->routes[0], TenantName("t2")) == table->routes[0].priority);
  CHECK(RoutingCodec().Read(WithTenants("[]"))->tenants->key_count() == 0);
}

TEST_CASE(
    "Tenants that share a key or a name, or have an empty key, make a configuration invalid") {
  CHECK(FindingsOf(WithTenants(R"([{"name":"t1","api_keys":["k1"]}])")).empty());
  CHECK(FindingsOf(WithTenants(
            R"([{"name":"t1","api_keys":["k1"]},{"name":"t2","api_keys":["k1"]}])")) != "");
  CHECK(FindingsOf(WithTenants(
            R"([{"name":"t1","api_keys":["k1"]},{"name":"t1","api_keys":["k2"]}])")) != "");
  CHECK(FindingsOf(WithTenants(R"([{"name":"t1","api_keys":[""]}])")) != "");
  CHECK(FindingsOf(WithTenants(R"([{"name":"t1","api_keys":[7]}])")) != "");
  CHECK(FindingsOf(WithTenants(R"([{"api_keys":["k1"]}])")) != "");
  CHECK(FindingsOf(WithTenants(R"({"t1":["k1"]})")) != "");
}

TEST_CASE("A truncated configuration is rejected") {
  const std::string document = Document(RouteWith(kSafe));
  CHECK(FindingsOf(document).empty());
  for (size_t size = 0; size < document.size(); size += 7) {
    CHECK_FALSE(FindingsOf(document.substr(0, size)).empty());
  }
}

TEST_CASE("Errors name what makes a configuration invalid") {
  CHECK(FindingsOf(Document(RouteWith(R"("kind":"safe","timeout_ms":800,"service":"nobody")"))) !=
        "");
  CHECK(FindingsOf(Document(RouteWith(kSafe) + "," + RouteWith(kSafe))) != "");
  CHECK(FindingsOf(Document(RouteWith(
            R"("kind":"safe","timeout_ms":800,"split":[{"service":"pages","weight":0}])"))) != "");
  CHECK(FindingsOf(Document(RouteWith(R"("kind":"safe","timeout_ms":0,"service":"pages")"))) != "");
  CHECK(FindingsOf(Document(RouteWith(R"("kind":"odd","timeout_ms":9,"service":"pages")"))) != "");
}

TEST_CASE("A time limit of 0 is invalid on a route for batch jobs too") {
  CHECK(FindingsOf(Document(RouteWith(R"("kind":"rollout","service":"engines")"))).empty());
  CHECK(FindingsOf(Document(RouteWith(R"("kind":"rollout","timeout_ms":0,"service":"engines")"))) !=
        "");
}

std::string DocumentWithScaling(const std::string& scaling) {
  return R"({"version":7,"routes":[],"services":[{"name":"captions")" + scaling + "}]}";
}

TEST_CASE("The limits and prices of servers that can be ordered are not lost") {
  const auto table = RoutingCodec().Read(DocumentWithScaling(
      R"(,"scaling":{"min":1,"max":24,"boot_s":4.0,"spot_price":0.18,
          "zone_prices":{"zone-a":1.0,"zone-b":0.8}})"));
  REQUIRE(table.ok());
  const auto& scaling = table->services[0].scaling;
  REQUIRE(scaling.has_value());
  CHECK(scaling->min == 1);
  CHECK(scaling->max == 24);
  CHECK(scaling->boot == std::chrono::seconds(4));
  CHECK(scaling->spot_price == 0.18);
  CHECK(scaling->zone_prices ==
        std::map<Zone, double>{{Zone("zone-a"), 1.0}, {Zone("zone-b"), 0.8}});
}

TEST_CASE("A service without limits of servers cannot be ordered") {
  const auto table = RoutingCodec().Read(DocumentWithScaling(""));
  REQUIRE(table.ok());
  CHECK_FALSE(table->services[0].scaling.has_value());
}

TEST_CASE("Unreadable limits of servers keep no configuration from being accepted") {
  for (const char* scaling :
       {"null", "[]", R"({"min":1})", R"({"min":3,"max":2})", R"({"max":-1})", R"({"max":2.5})",
        R"({"max":1,"zone_prices":{"a":"x"}})", R"({"max":1,"boot_s":"soon"})"}) {
    INFO(scaling);
    const auto table =
        RoutingCodec().Read(DocumentWithScaling(std::string(R"(,"scaling":)") + scaling));
    REQUIRE(table.ok());
    CHECK_FALSE(table->services[0].scaling.has_value());
  }
}

}  // namespace
}  // namespace millstair::platform
