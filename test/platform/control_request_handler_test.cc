#include "platform/control_request_handler.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "platform/instance_codec.h"
#include "platform/routing_codec.h"
#include "test/platform/recording_writer.h"

namespace millstair::platform {
namespace {

using trompeloeil::_;
using ResultCallback = std::function<void(absl::StatusOr<ClusterResult>)>;

constexpr char kDocument[] =
    R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/","kind":"safe",
        "timeout_ms":800,"target_ms":150,"attempts":2,"service":"pages"}],
        "services":[{"name":"pages"}],"limits":{}})";

class MockControl : public ControlNode {
 public:
  MAKE_MOCK0(Start, absl::Status(), override);
  MAKE_MOCK0(groups, GroupHost&(), override);
  MAKE_CONST_MOCK0(configuration, const Configuration&(), override);
  MAKE_CONST_MOCK0(IsClusterLeader, bool(), override);
  MAKE_MOCK1(AddLeaderTask, void(std::unique_ptr<LeaderTask>), override);
  MAKE_MOCK2(Propose, void(ClusterCommand, ResultCallback), override);
  MAKE_MOCK2(Submit, void(ClusterOperation, ResultCallback), override);
  MAKE_MOCK2(ReportInstance, void(const BackendInstance&, ResultCallback), override);
  MAKE_MOCK2(RetireMachine, void(const std::string&, ResultCallback), override);
  MAKE_MOCK2(EvacuateZone, void(const millstair::EvacuateZone&, ResultCallback), override);
  MAKE_MOCK1(ConfirmRead, void(std::function<void(absl::Status)>), override);
  MAKE_CONST_MOCK0(ConfirmationReadAge, Duration(), override);
  MAKE_CONST_MOCK0(usage, const UsageLedger&(), override);
  MAKE_CONST_MOCK0(AgreedTime, std::optional<WallTime>(), override);
  MAKE_CONST_MOCK0(pool_sizes, const PoolSizes&(), override);
  MAKE_CONST_MOCK0(MinLevel, FeatureLevel(), override);
  MAKE_MOCK1(OnPoolReport, void(std::function<void(const PoolReport&)>), override);
  MAKE_MOCK1(OnLeaseAnnounced, void(std::function<void(const LeaseAnnouncement&)>), override);
  MAKE_CONST_MOCK0(Ready, bool(), override);
  MAKE_MOCK1(Drain, void(std::function<void()>), override);
  MAKE_MOCK2(Receive, void(const NodeId&, const PeerMessage&), override);
  MAKE_MOCK2(Handle, void(HttpRequest, std::shared_ptr<ResponseWriter>), override);
};

class Fixture {
 public:
  Answer Request(const std::string& method, const std::string& path, const std::string& body = "") {
    const auto answer = std::make_shared<Answer>();
    calls.Handle({method, path, {}, body}, std::make_shared<RecordingWriter>(answer));
    CHECK(answer->finished);
    return *answer;
  }

  MockControl control;
  RoutingCodec codec;
  ControlRequestHandler calls{control, codec};
  Configuration configuration;
};

ClusterResult Refused(ClusterResultCode code) {
  ClusterResult result;
  result.code = code;
  result.message = "refused";
  return result;
}

TEST_CASE("A configuration is read back only after a confirmed read") {
  Fixture fixture;
  fixture.configuration.routing = {7, kDocument};
  ALLOW_CALL(fixture.control, configuration()).LR_RETURN(fixture.configuration);
  SECTION("the read is confirmed") {
    REQUIRE_CALL(fixture.control, ConfirmRead(_)).SIDE_EFFECT(_1(absl::OkStatus()));
    const Answer answer = fixture.Request("GET", "/v1/Config.Get");
    CHECK(answer.status == 200);
    CHECK(answer.body == kDocument);
  }
  SECTION("the read is not confirmed") {
    REQUIRE_CALL(fixture.control, ConfirmRead(_))
        .SIDE_EFFECT(_1(absl::UnavailableError("no quorum")));
    const Answer answer = fixture.Request("GET", "/v1/Config.Get");
    CHECK(answer.status == 503);
    CHECK(answer.body.find("version") == std::string::npos);
  }
  SECTION("none is held yet") {
    fixture.configuration.routing = {};
    REQUIRE_CALL(fixture.control, ConfirmRead(_)).SIDE_EFFECT(_1(absl::OkStatus()));
    CHECK(fixture.Request("GET", "/v1/Config.Get").status == 503);
  }
}

TEST_CASE("A configuration is acknowledged only after it is committed") {
  Fixture fixture;
  SECTION("committed") {
    REQUIRE_CALL(fixture.control, Submit(_, _))
        .WITH(std::get<ReplaceRouting>(_1).document.version == 7)
        .WITH(std::get<ReplaceRouting>(_1).document.content == kDocument)
        .SIDE_EFFECT(_2(ClusterResult()));
    CHECK(fixture.Request("POST", "/v1/Config.Replace", kDocument).status == 200);
  }
  SECTION("other content under the current version") {
    REQUIRE_CALL(fixture.control, Submit(_, _))
        .SIDE_EFFECT(_2(Refused(ClusterResultCode::kConflict)));
    CHECK(fixture.Request("POST", "/v1/Config.Replace", kDocument).status == 409);
  }
  SECTION("the outcome is unknown") {
    REQUIRE_CALL(fixture.control, Submit(_, _)).SIDE_EFFECT(_2(absl::UnavailableError("?")));
    CHECK(fixture.Request("POST", "/v1/Config.Replace", kDocument).status == 503);
  }
  SECTION("invalid: nothing is submitted") {
    FORBID_CALL(fixture.control, Submit(_, _));
    CHECK(fixture.Request("POST", "/v1/Config.Replace", std::string(kDocument).substr(9)).status ==
          400);
  }
}

TEST_CASE("Zone evacuations are submitted, and their result is returned") {
  Fixture fixture;
  SECTION("started") {
    REQUIRE_CALL(fixture.control, EvacuateZone(_, _))
        .WITH(_1.zone == Zone("recife-a") && !_1.ends)
        .SIDE_EFFECT(_2(ClusterResult()));
    CHECK(fixture.Request("POST", "/v1/Evacuate.Start/recife-a").status == 200);
  }
  SECTION("ended") {
    REQUIRE_CALL(fixture.control, EvacuateZone(_, _))
        .WITH(_1.zone == Zone("recife-a") && _1.ends)
        .SIDE_EFFECT(_2(ClusterResult()));
    CHECK(fixture.Request("POST", "/v1/Evacuate.Stop/recife-a").status == 200);
  }
  SECTION("of an unknown zone") {
    REQUIRE_CALL(fixture.control, EvacuateZone(_, _))
        .SIDE_EFFECT(_2(Refused(ClusterResultCode::kNotFound)));
    CHECK(fixture.Request("POST", "/v1/Evacuate.Start/nowhere").status == 404);
  }
  SECTION("not supported by all nodes") {
    REQUIRE_CALL(fixture.control, EvacuateZone(_, _))
        .SIDE_EFFECT(_2(absl::UnavailableError("a node is of another build")));
    CHECK(fixture.Request("POST", "/v1/Evacuate.Start/recife-a").status == 503);
  }
}

TEST_CASE("The remaining cold time of a server is read from its heartbeat") {
  const std::string head =
      R"({"service":"pages","addr":"10.0.0.9:80","zone":"z","slots":2,"state":"ready","seq":1)";
  CHECK(ReadHeartbeat("i", head + "}")->cold_left == Duration(0));
  CHECK(ReadHeartbeat("i", head + R"(,"cold_left_ms":1250})")->cold_left ==
        std::chrono::milliseconds(1250));
  CHECK(ReadHeartbeat("i", head + R"(,"cold_left_ms":812.5})")->cold_left ==
        std::chrono::microseconds(812500));
  CHECK(ReadHeartbeat("i", head + R"(,"cold_left_ms":-5})")->cold_left == Duration(0));
  // Wrong type.
  CHECK_FALSE(ReadHeartbeat("i", head + R"(,"cold_left_ms":"soon"})").ok());
  // A spot server that counted as an ordered one would distort the number to order.
  CHECK(ReadHeartbeat("i", head + R"(,"spot":true})")->spot);
  CHECK_FALSE(ReadHeartbeat("i", head + R"(,"spot":false})")->spot);
  CHECK_FALSE(ReadHeartbeat("i", head + "}")->spot);
  CHECK_FALSE(ReadHeartbeat("i", head + R"(,"spot":"yes"})")->spot);
}

TEST_CASE("Emptying a machine is done only when all of its nodes are emptied") {
  Fixture fixture;
  NodeRecord storage;
  storage.node = NodeId("s");
  storage.machine = "m";
  storage.storage = true;
  NodeRecord control = storage;
  control.node = NodeId("c");
  control.storage = false;
  control.control = true;
  fixture.configuration.nodes = {{storage.node, storage}, {control.node, control}};
  fixture.configuration.retired_nodes = {{storage.node, {storage.node, true}},
                                         {control.node, {control.node, false}}};
  ALLOW_CALL(fixture.control, configuration()).LR_RETURN(fixture.configuration);
  ALLOW_CALL(fixture.control, ConfirmRead(_)).SIDE_EFFECT(_1(absl::OkStatus()));
  CHECK(fixture.Request("GET", "/v1/Retire.Get/m").body == R"({"state":"running"})");
  fixture.configuration.retired_nodes[control.node].emptied = true;
  CHECK(fixture.Request("GET", "/v1/Retire.Get/m").body == R"({"state":"done"})");
  CHECK(fixture.Request("GET", "/v1/Retire.Get/other").status == 404);
}

TEST_CASE("The result of retiring a machine is returned as an HTTP status") {
  Fixture fixture;
  ALLOW_CALL(fixture.control, ConfirmRead(_)).SIDE_EFFECT(_1(absl::OkStatus()));
  const auto [code, status] = GENERATE(std::pair(ClusterResultCode::kNotFound, 404),
                                       std::pair(ClusterResultCode::kConflict, 409),
                                       std::pair(ClusterResultCode::kOk, 200));
  REQUIRE_CALL(fixture.control, RetireMachine("m", _)).LR_SIDE_EFFECT(_2(Refused(code)));
  CHECK(fixture.Request("POST", "/v1/Retire.Start/m", R"({"duration_s":10})").status == status);
}

TEST_CASE("Valid reports of servers are submitted, invalid ones are rejected") {
  Fixture fixture;
  SECTION("a heartbeat") {
    REQUIRE_CALL(fixture.control, ReportInstance(_, _))
        .WITH(_1.id == InstanceId("i-1") && _1.state == MemberState::kLeaving)
        .SIDE_EFFECT(_2(ClusterResult()));
    CHECK(
        fixture
            .Request("POST", "/v1/Instances.Heartbeat/i-1",
                     R"({"service":"pages","addr":"10.0.0.1:80","zone":"z","version":"v1","slots":8,
                       "state":"draining","cold_left_ms":0,"seq":4})")
            .status == 200);
  }
  SECTION("a deregistration") {
    REQUIRE_CALL(fixture.control, ReportInstance(_, _))
        .WITH(_1.id == InstanceId("i-1") && _1.state == MemberState::kGone)
        .SIDE_EFFECT(_2(ClusterResult()));
    CHECK(fixture.Request("POST", "/v1/Instances.Deregister/i-1", "{}").status == 200);
  }
  SECTION("no address") {
    FORBID_CALL(fixture.control, ReportInstance(_, _));
    CHECK(fixture.Request("POST", "/v1/Instances.Heartbeat/i-1", R"({"service":"pages"})").status ==
          400);
  }
}

TEST_CASE("A named version is acknowledged once it is committed") {
  Fixture fixture;
  REQUIRE_CALL(fixture.control, Submit(_, _))
      .WITH(std::get<NameVersion>(_1).named == NamedVersion{ModelName("m"), WeightVersion(3)})
      .SIDE_EFFECT(_2(ClusterResult()));
  CHECK(fixture.Request("POST", "/v1/version-put", R"({"model":"m","version":3})").status == 200);
  FORBID_CALL(fixture.control, Submit(_, _));
  CHECK(fixture.Request("POST", "/v1/version-put", R"({"model":"m"})").status == 400);
  CHECK(fixture.Request("GET", "/v1/nothing").status == 404);
}

}  // namespace
}  // namespace millstair::platform
