#include "platform/server_protocol.h"

#include <catch2/catch.hpp>

#include "platform/instance_codec.h"
#include "platform/job_json.h"

namespace millstair::platform {
namespace {

TEST_CASE("A request has its id, deadline and expected server instance") {
  BackendRequest request;
  request.http = {"POST", "/p/x?y=1", {{"X-Own", "1"}, {"deadline-ms", "9999"}}, "body"};
  request.host = "a.example";
  request.request_id = "id-1";
  request.time_left = std::chrono::milliseconds(321);
  request.instance = InstanceId("i-7");
  request.resume_after = 4;
  const HttpRequest made = ServerProtocol().MakeRequest(request);
  CHECK(made.method == "POST");
  CHECK(made.target == "/p/x?y=1");
  CHECK(made.body == "body");
  CHECK(made.request_id == "id-1");
  CHECK(FindHeader(made.headers, "X-Own") == "1");
  CHECK(FindHeader(made.headers, "Host") == "a.example");
  CHECK(FindHeader(made.headers, "Request-Id") == "id-1");
  CHECK(FindHeader(made.headers, "Deadline-Ms") == "321");
  CHECK(FindHeader(made.headers, "Expect-Instance") == "i-7");
  CHECK(FindHeader(made.headers, "Last-Event-Id") == "4");
}

TEST_CASE("API keys are not forwarded, and the tenant header is set by the system only") {
  BackendRequest request;
  request.http = {"GET", "/p/", {{"key", "secret"}, {"TENANT", "forged"}, {"X-Own", "1"}}, ""};
  CHECK_FALSE(FindHeader(ServerProtocol().MakeRequest(request).headers, "Tenant").has_value());
  request.tenant = TenantName("t1");
  const HttpRequest made = ServerProtocol().MakeRequest(request);
  CHECK_FALSE(FindHeader(made.headers, "Key").has_value());
  CHECK(FindHeader(made.headers, "Tenant") == "t1");
  CHECK(FindHeader(made.headers, "X-Own") == "1");
  CHECK(made.headers.size() == 6);
}

TEST_CASE("Only a header of the server marks a request as not run") {
  const ServerProtocol wire;
  CHECK(wire.ReadAnswer({503, {{"Not-Run", "1"}}}, "id").not_run);
  CHECK(wire.ReadAnswer({421, {}}, "id").not_run);
  CHECK(wire.ReadAnswer({421, {}}, "id").wrong_instance);
  CHECK_FALSE(wire.ReadAnswer({503, {}}, "id").not_run);
  CHECK_FALSE(wire.ReadAnswer({500, {}}, "id").not_run);
}

TEST_CASE("A response to another request, or a success without a signature, is not accepted") {
  const ServerProtocol wire;
  CHECK(wire.ReadAnswer({200, {{"Request-Id", "id"}, {"Stamp", "s"}}}, "id").own);
  CHECK_FALSE(wire.ReadAnswer({200, {{"Request-Id", "other"}, {"Stamp", "s"}}}, "id").own);
  CHECK_FALSE(wire.ReadAnswer({200, {{"Request-Id", "id"}}}, "id").own);
  CHECK_FALSE(wire.ReadAnswer({200, {{"Stamp", "s"}}}, "id").own);
}

TEST_CASE("Stream events are parsed with their versions") {
  const ServerProtocol wire;
  const auto event = wire.ReadEvent("weight-versions: 7\nid: 3\ndata: some text");
  REQUIRE(event.ok());
  REQUIRE(event->has_value());
  CHECK((*event)->id == 3);
  CHECK((*event)->data == "some text");
  CHECK((*event)->version == WeightVersion(7));
  const auto comment = wire.ReadEvent(": still there");
  REQUIRE(comment.ok());
  CHECK_FALSE(comment->has_value());
  CHECK_FALSE(wire.ReadEvent("data: no id").ok());
  CHECK_FALSE(wire.ReadEvent("id: x\ndata: y").ok());
}

TEST_CASE("Server reports are parsed, and load orders are serialized") {
  const ServerProtocol wire;
  const auto report = wire.ReadReport(
      R"({"stage":"mixed","models":[{"name":"m","version":4,"adapters":[]}],"busy":true,"seq":2})");
  REQUIRE(report.ok());
  CHECK(report->busy);
  CHECK(report->orders == 2);
  REQUIRE(report->models.size() == 1);
  CHECK(report->models[0].version == WeightVersion(4));
  CHECK_FALSE(wire.ReadReport("{}").ok());
  const HttpRequest order = wire.MakeLoadOrder(
      {ModelName("m"), WeightVersion(5), LoadMode::kFinishFirst, "n1", 9, 2, InstanceId("i")});
  CHECK(
      order.body ==
      R"({"op":"version","model":"m","version":5,"method":"wait","holder":"n1","fence":9,"expected":2})");
  CHECK(FindHeader(order.headers, "Expect-Instance") == "i");
  CHECK(wire.ReadLoadAnswer(202) == LoadAnswer::kAccepted);
  CHECK(wire.ReadLoadAnswer(200) == LoadAnswer::kAlreadyLoaded);
  CHECK(wire.ReadLoadAnswer(409) == LoadAnswer::kRefused);
  CHECK(wire.ReadLoadAnswer(502) == LoadAnswer::kUnknown);
}

TEST_CASE("A heartbeat is parsed; errors name the field") {
  const auto beat = ReadHeartbeat(
      "i-1", R"({"service":"s","addr":"10.0.0.9:80","zone":"z","version":"v1","slots":8,
                 "state":"draining","cold_left_ms":0,"models":[{"name":"m","version":3}],"seq":4})");
  REQUIRE(beat.ok());
  CHECK(beat->state == MemberState::kLeaving);
  CHECK(beat->sequence == 4);
  CHECK(beat->models == std::vector<NamedVersion>{{ModelName("m"), WeightVersion(3)}});
  const auto invalid = ReadHeartbeat(
      "i-1", R"({"service":"s","addr":"1.1.1.1:1","zone":"z","slots":1,"state":"ready"})");
  REQUIRE_FALSE(invalid.ok());
  CHECK(std::string(invalid.status().message()).find("seq") != std::string::npos);
  CHECK(ReadDeregistration("i-1", "{}")->state == MemberState::kGone);
  CHECK(ReadDeregistration("i-1", R"({"born":7})")->id ==
        MakeInstanceId(ServerName("i-1"), StartTime(7)));
  CHECK_FALSE(ReadDeregistration("i-1", R"({"born":"7"})").ok());
}

TEST_CASE("A batch job is parsed completely, and its results are serialized") {
  const auto job = ReadJob("j", "h.example", "/p/x", R"({"step":7,"model":"m","min_version":6,
      "desired":2,"requests":[{"id":"a","path":"/p/1","headers":{"Model":"m"},"body":"q83v",
      "tokens":9,"group":"g","scorer":{"id":"s","host":"h","path":"/q","body":"3q2+7w=="}}]})");
  REQUIRE(job.ok());
  CHECK(job->step == 7);
  CHECK(job->min_version == WeightVersion(6));
  REQUIRE(job->items.size() == 1);
  CHECK(job->items[0].body == "\xab\xcd\xef");
  REQUIRE(job->items[0].scoring.has_value());
  CHECK(job->items[0].scoring->body == "\xde\xad\xbe\xef");
  CHECK_FALSE(
      ReadJob("j", "h", "/p", R"({"requests":[{"id":"a","path":"/"},{"id":"a","path":"/"}]})")
          .ok());
  CHECK_FALSE(ReadJob("j", "h", "/p", R"({"requests":[{"id":"a","path":"/","body":"*"}]})").ok());
  JobQueryAnswer answer;
  answer.found = true;
  answer.total = 3;
  answer.results = {{ItemId("a"), {0, ItemState::kDone, "x\ny", {WeightVersion(6)}, "sig"}},
                    {ItemId("b"), {1, ItemState::kFailed, "", {}, ""}}};
  CHECK(
      WriteResults(answer, 1) ==
      R"({"total":3,"next_token":3,"results":[{"id":"a","state":"done","message":"x\ny","versions":[6],"score":"sig"},{"id":"b","state":"down","message":""}]})");
}

// Guards against a storage node that ends because a server's report grows as it is parsed.
TEST_CASE("A report whose values take many times its text is none") {
  std::string body = R"({"seq":1,"models":[],"more":[)";
  for (int number = 0; number < 1024 * 1024; ++number) body += "[],";
  body += "[]]}";
  CHECK_FALSE(ServerProtocol().ReadReport(body).ok());
}

}  // namespace
}  // namespace millstair::platform
