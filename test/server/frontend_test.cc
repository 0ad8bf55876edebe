#include "server/frontend.h"

#include <catch2/catch.hpp>

#include "http/problem.h"
#include "server/metrics_page.h"

namespace millstair {
namespace {

class RecordingWriter : public ResponseWriter {
 public:
  void SendHead(HttpResponseHead new_head) override { head = std::move(new_head); }
  void SendBody(std::string bytes) override { body += bytes; }
  void Finish() override { finished = true; }
  void Abort() override { aborted = true; }
  size_t WritableBytes() const override { return 100; }
  void OnWritable(std::function<void()>) override {}
  void OnCallerDisconnected(std::function<void()>) override {}

  HttpResponseHead head;
  std::string body;
  bool finished = false;
  bool aborted = false;
};

class NamedHandler : public RequestHandler {
 public:
  explicit NamedHandler(std::string name) : name_(std::move(name)) {}
  void Handle(HttpRequest, std::shared_ptr<ResponseWriter> writer) override {
    if (name_ == "cutting") return writer->Abort();
    Respond(*writer, {200, {{std::string(kOutcomeHeader), "ran"}}}, name_);
  }

 private:
  std::string name_;
};

struct Fixture {
  RecordingWriter& Request(const std::string& target) {
    Frontend frontend(targets, stats);
    writer = std::make_shared<RecordingWriter>();
    frontend.Handle({"GET", target, {}, ""}, writer);
    return *writer;
  }

  StatsRegistry stats;
  NamedHandler gateway{"gateway"};
  NamedHandler operators{"operators"};
  bool ready = true;
  FrontendTargets targets{&gateway, &operators, [this] { return ready; }, [] {}};
  std::shared_ptr<RecordingWriter> writer;
};

TEST_CASE("Operators' paths are routed to the control role, all others to the gateway") {
  Fixture fixture;
  for (const char* path :
       {"/v1/sessions", "/v1/resources", "/v1/resources/Pool/a", "/v1/apply", "/v1/status?x=1",
        "/v1/revisions/7/lagging", "/v1/watch?after=1", "/v1/replicas/c4"}) {
    INFO(path);
    CHECK(fixture.Request(path).body == "operators");
  }
  for (const char* path : {"/", "/v1/completions", "/v1/resourcesful", "/v1/streams/s/samples",
                           "/gallery", "/v1/models/m/versions/1", "/livez/x"}) {
    INFO(path);
    CHECK(fixture.Request(path).body == "gateway");
  }
}

TEST_CASE(
    "Requests for a missing role are routed to the other role, or rejected if there is none") {
  Fixture fixture;
  fixture.targets.gateway = nullptr;
  CHECK(fixture.Request("/anything").body == "operators");
  fixture.targets.operators = nullptr;
  const RecordingWriter& refused = fixture.Request("/anything");
  CHECK(refused.head.status == 404);
  CHECK(FindHeader(refused.head.headers, kOutcomeHeader) == "not-run");
  fixture.targets.gateway = &fixture.gateway;
  CHECK(fixture.Request("/v1/apply").body == "gateway");
}

TEST_CASE("Health checks report liveness and readiness") {
  Fixture fixture;
  CHECK(fixture.Request("/livez").head.status == 200);
  CHECK(fixture.Request("/readyz").head.status == 200);
  fixture.ready = false;
  CHECK(fixture.Request("/livez").head.status == 200);
  const RecordingWriter& unready = fixture.Request("/readyz?verbose");
  CHECK(unready.head.status == 503);
  CHECK(FindHeader(unready.head.headers, "Retry-After").has_value());
}

TEST_CASE("Responses are counted by status and outcome on the metrics page") {
  Fixture fixture;
  NamedHandler cutting("cutting");
  fixture.Request("/a");
  fixture.Request("/b");
  fixture.targets.gateway = &cutting;
  CHECK(fixture.Request("/c").aborted);
  fixture.stats.NewGauge({"millstair_test", "A gauge.", "group", "cluster"}).Set(2.5);
  const std::string page = fixture.Request("/metrics").body;
  CHECK(page.find("# TYPE millstair_answers_total counter") != std::string::npos);
  CHECK(page.find("millstair_answers_total{status=\"200\"} 2") != std::string::npos);
  CHECK(page.find("millstair_outcomes_total{outcome=\"ran\"} 2") != std::string::npos);
  CHECK(page.find("millstair_answers_cut_total 1") != std::string::npos);
  CHECK(page.find("millstair_test{group=\"cluster\"} 2.5") != std::string::npos);
}

TEST_CASE("Process metrics report CPU time and memory") {
  StatsRegistry stats;
  UpdateProcessStats(stats);
  const std::string page = MetricsPage(stats);
  CHECK(page.find("process_cpu_seconds_total") != std::string::npos);
  CHECK(stats.NewGauge({"process_resident_memory_bytes"}).value() > 1024 * 1024);
}

}  // namespace
}  // namespace millstair
