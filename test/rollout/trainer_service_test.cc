#include "rollout/trainer_service.h"

#include <catch2/catch.hpp>

#include "rollout_fleet.h"

namespace millstair {
namespace {

/// Records a response.
class Answer : public ResponseWriter {
 public:
  void SendHead(HttpResponseHead sent) override { head = std::move(sent); }
  void SendBody(std::string bytes) override { body += bytes; }
  void Finish() override { finished = true; }
  void Abort() override { aborted = true; }
  size_t WritableBytes() const override { return 1 << 20; }
  void OnWritable(std::function<void()>) override {}
  void OnCallerDisconnected(std::function<void()> callback) override {
    on_disconnected = std::move(callback);
  }

  boost::json::object Json() const { return boost::json::parse(body).as_object(); }
  std::string Header(std::string_view name) const {
    return std::string(FindHeader(head.headers, name).value_or(""));
  }

  HttpResponseHead head;
  std::string body;
  bool finished = false;
  bool aborted = false;
  std::function<void()> on_disconnected;
};

struct ServiceFixture {
  RolloutFleet fleet;
  RolloutGateway& gateway = *fleet.gateways[0];
  std::unique_ptr<TrainerService> service =
      MakeTrainerService(gateway.environment, gateway.control, fleet.configuration);

  std::shared_ptr<Answer> Send(const std::string& method, const std::string& target,
                               const std::string& body = "") {
    auto answer = std::make_shared<Answer>();
    service->Handle({method, target, {}, body}, answer);
    return answer;
  }

  std::shared_ptr<Answer> Call(const std::string& method, const std::string& target,
                               const std::string& body = "") {
    auto answer = Send(method, target, body);
    fleet.scheduler.RunUntilTrue([&] { return answer->finished; }, std::chrono::seconds(90));
    return answer;
  }
};

const char kStep[] = R"({"prompts":[{"text":"one"},{"text":"two","max_tokens":8}]})";

TEST_CASE("a trainer puts a step, reads its samples and continues after them") {
  ServiceFixture fixture;
  const auto put = fixture.Call("PUT", "/v1/streams/drafts/steps/s1", kStep);
  REQUIRE(put->head.status == 200);
  REQUIRE(put->Json().at("samples").to_number<int>() == 2);
  REQUIRE(fixture.Call("PUT", "/v1/streams/drafts/steps/s1", kStep)->head.status == 200);
  REQUIRE(fixture.fleet.RunUntilComplete());
  const auto read = fixture.Call("GET", "/v1/streams/drafts/samples?after=0&max=10&wait=5");
  REQUIRE(read->head.status == 200);
  REQUIRE(read->Json().at("samples").as_array().size() == 2);
  REQUIRE(read->Json().at("next").to_number<int>() == 2);
  REQUIRE(read->Json().at("newest").to_number<int>() == 1);
  const auto after_last = fixture.Call("GET", "/v1/streams/drafts/samples?after=2&max=10");
  REQUIRE(after_last->Json().at("samples").as_array().empty());
  REQUIRE(fixture.Call("GET", "/v1/streams/drafts/samples?after=0")->head.status == 409);
}

TEST_CASE("a read waits until there is a sample, up to the requested time") {
  ServiceFixture fixture;
  const Duration begin = fixture.fleet.scheduler.Now();
  const auto empty = fixture.Call("GET", "/v1/streams/drafts/samples?after=0&wait=3");
  const Duration waited = fixture.fleet.scheduler.Now() - begin;
  REQUIRE(empty->Json().at("samples").as_array().empty());
  REQUIRE(waited >= std::chrono::milliseconds(2900));
  REQUIRE(waited <= std::chrono::milliseconds(4500));
  const auto read = fixture.Send("GET", "/v1/streams/drafts/samples?after=0&wait=30");
  fixture.Call("PUT", "/v1/streams/drafts/steps/s1", kStep);
  REQUIRE(fixture.fleet.scheduler.RunUntilTrue([&] { return read->finished; },
                                               std::chrono::seconds(20)));
  REQUIRE_FALSE(read->Json().at("samples").as_array().empty());
}

TEST_CASE("a drain ends long polls with an empty result") {
  ServiceFixture fixture;
  const auto read = fixture.Send("GET", "/v1/streams/drafts/samples?after=0&wait=60");
  fixture.fleet.scheduler.RunFor(std::chrono::seconds(1));
  REQUIRE_FALSE(read->finished);
  bool drained = false;
  fixture.service->Drain([&] { drained = true; });
  REQUIRE(fixture.fleet.scheduler.RunUntilTrue([&] { return drained; }, std::chrono::seconds(2)));
  REQUIRE(read->finished);
  REQUIRE_FALSE(read->aborted);
  REQUIRE(read->head.status == 200);
  REQUIRE(read->Json().at("next").to_number<int>() == 0);
}

TEST_CASE("nothing is read for a trainer that has disconnected") {
  ServiceFixture fixture;
  const auto read = fixture.Send("GET", "/v1/streams/drafts/samples?after=0&wait=60");
  fixture.fleet.scheduler.RunFor(std::chrono::seconds(1));
  read->on_disconnected();
  fixture.fleet.scheduler.RunFor(std::chrono::seconds(2));
  const uint64_t submitted = fixture.gateway.control.submitted;
  fixture.fleet.scheduler.RunFor(std::chrono::seconds(10));
  REQUIRE(fixture.gateway.control.submitted == submitted);
  REQUIRE_FALSE(read->finished);
}

TEST_CASE("all findings of a step are reported at once, and the step is not created") {
  ServiceFixture fixture;
  const auto answer = fixture.Call(
      "PUT", "/v1/streams/drafts/steps/s1",
      R"({"prompts":[{"text":""},{"text":"x","max_tokens":0},{"text":"y","colour":1},3],"more":1})");
  REQUIRE(answer->head.status == 400);
  REQUIRE(answer->Header("Millstair-Outcome") == "not-run");
  const std::string detail(answer->Json().at("detail").as_string());
  for (const char* location : {"prompts[0]", "prompts[1]", "prompts[2]", "prompts[3]", "more"}) {
    REQUIRE(detail.find(location) != std::string::npos);
  }
  REQUIRE(fixture.fleet.Leader().state->data().open.empty());
}

TEST_CASE("bad requests are refused and do not run") {
  ServiceFixture fixture;
  struct Bad {
    const char* method;
    const char* target;
    const char* body;
    int status;
  };
  const Bad bad =
      GENERATE(Bad{"PUT", "/v1/streams/none/steps/s1", kStep, 404},
               Bad{"POST", "/v1/streams/drafts/steps/s1", kStep, 405},
               Bad{"PUT", "/v1/streams/drafts/steps/s%2f1", kStep, 400},
               Bad{"PUT", "/v1/streams/drafts/steps/s1", "{", 400},
               Bad{"PUT", "/v1/streams/drafts/steps/s1", "[]", 400},
               Bad{"GET", "/v1/streams/drafts/samples?after=x", "", 400},
               Bad{"GET", "/v1/streams/drafts/samples?max=0", "", 400},
               Bad{"GET", "/v1/streams/drafts/samples?wait=1000", "", 400},
               Bad{"GET", "/v1/streams/drafts/samples?cursor=1", "", 400},
               Bad{"GET", "/v1/streams/drafts/samples?after=99", "", 409},
               Bad{"GET", "/v1/streams/drafts", "", 404},
               Bad{"PUT", "/v1/models/none/versions/2", R"({"digest":"d","location":"l"})", 404},
               Bad{"PUT", "/v1/models/routing/versions/0", R"({"digest":"d","location":"l"})", 400},
               Bad{"PUT", "/v1/models/routing/versions/2", R"({"digest":""})", 400});
  const auto answer = fixture.Call(bad.method, bad.target, bad.body);
  REQUIRE(answer->head.status == bad.status);
  REQUIRE(answer->Header("Millstair-Outcome") == "not-run");
}

TEST_CASE("a publish completes once the stream's log holds the version") {
  ServiceFixture fixture;
  const auto answer = fixture.Call("PUT", "/v1/models/routing/versions/7",
                                   R"({"digest":"digest-7","location":"w/7"})");
  REQUIRE(answer->head.status == 200);
  REQUIRE(fixture.fleet.Leader().state->data().newest == WeightVersion(7));
  REQUIRE(fixture.gateway.control.cluster_commands.size() == 1);
  const auto& publish =
      std::get<PublishVersion>(fixture.gateway.control.cluster_commands[0].operation);
  REQUIRE(publish.version.location == "w/7");
}

TEST_CASE("a version that the cluster refuses does not reach the streams") {
  ServiceFixture fixture;
  fixture.gateway.control.cluster_result.code = ClusterResultCode::kConflict;
  const auto answer = fixture.Call("PUT", "/v1/models/routing/versions/7",
                                   R"({"digest":"digest-7","location":"w/7"})");
  REQUIRE(answer->head.status == 409);
  fixture.fleet.scheduler.RunFor(std::chrono::seconds(5));
  REQUIRE(fixture.fleet.Leader().state->data().newest == WeightVersion(1));
}

TEST_CASE("a publish whose replies are lost has an unknown outcome") {
  ServiceFixture fixture;
  fixture.gateway.control.answers_to_drop = 1000;
  const auto answer = fixture.Call("PUT", "/v1/models/routing/versions/7",
                                   R"({"digest":"digest-7","location":"w/7"})");
  REQUIRE(answer->head.status == 503);
  REQUIRE(answer->Header("Millstair-Outcome") == "unknown");
  REQUIRE_FALSE(answer->Header("Retry-After").empty());
}

}  // namespace
}  // namespace millstair
