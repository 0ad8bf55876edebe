#include "emulator/engine_service.h"

#include <catch2/catch.hpp>
#include <sstream>

#include "emulator/engine_links.h"
#include "emulator/kv_codec.h"
#include "emulator/platform_services.h"
#include "engine/engine_codec.h"
#include "engine/order_status.h"
#include "test/emulator/engine_fixture.h"
#include "test/emulator/recording_writer.h"

namespace millstair::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct ServiceFixture : EngineFixture {
  ServiceFixture() : service(environment, engine) {}

  std::shared_ptr<RecordingWriter> Generate(const std::string& id, const std::string& prompt,
                                            uint32_t max_tokens) {
    return Send(service, "POST", "/v1/generate",
                EncodeGenerateRequest(Request(id, prompt, max_tokens)));
  }

  EngineService service;
};

std::vector<GenerateChunk> ChunksOf(const std::string& body) {
  std::vector<GenerateChunk> chunks;
  std::istringstream lines(body);
  for (std::string line; std::getline(lines, line);) chunks.push_back(*DecodeGenerateChunk(line));
  return chunks;
}

TEST_CASE("a generation is a line of JSON for each chunk") {
  ServiceFixture fixture;
  const std::string prompt = PromptOfLength(8, 50, 10);
  const auto writer = fixture.Generate("r", prompt, 50);
  fixture.scheduler.RunFor(milliseconds(30));
  CHECK(writer->head.status == 200);
  CHECK_FALSE(writer->finished);
  fixture.scheduler.RunFor(seconds(5));
  REQUIRE(writer->finished);
  CHECK(writer->heads == 1);
  std::vector<std::string> tokens;
  const std::vector<GenerateChunk> chunks = ChunksOf(writer->body);
  for (const GenerateChunk& chunk : chunks) {
    tokens.insert(tokens.end(), chunk.tokens.begin(), chunk.tokens.end());
  }
  CHECK(tokens == Expected(prompt, 0, 10, 1));
  CHECK(chunks.back().finished);
}

TEST_CASE("a slow reader gets the complete stream when it continues to read") {
  ServiceFixture fixture;
  auto writer = std::make_shared<RecordingWriter>();
  writer->writable_bytes = 50;
  const std::string prompt = PromptOfLength(8, 50, 10);
  fixture.service.Handle(
      {"POST", "/v1/generate", {}, EncodeGenerateRequest(fixture.Request("r", prompt, 50))},
      writer);
  fixture.scheduler.RunFor(seconds(5));
  CHECK(writer->body.size() == 50);
  CHECK_FALSE(writer->finished);
  writer->SetWritableBytes(1 << 20);
  CHECK(writer->finished);
  CHECK(ChunksOf(writer->body).size() == 10);
}

TEST_CASE("a disconnect of the caller cancels its generation") {
  ServiceFixture fixture;
  const auto writer = fixture.Generate("r", PromptOfLength(8, 400, 60), 400);
  fixture.scheduler.RunFor(milliseconds(100));
  writer->on_caller_disconnected();
  CHECK(fixture.engine.Idle());
  CHECK(fixture.engine.counts().cancelled == 1);
  fixture.scheduler.RunFor(seconds(5));
  CHECK_FALSE(writer->finished);
}

TEST_CASE("refusals report that the request did not run, and a crash cuts the stream") {
  ServiceFixture fixture;
  const auto begun = fixture.Generate("a", PromptOfLength(8, 400, 60), 400);
  fixture.scheduler.RunFor(milliseconds(100));
  CHECK(Send(fixture.service, "POST", "/fault", R"({"kind":"drain"})")->head.status == 200);
  const auto late = fixture.Generate("b", "x", 5);
  fixture.scheduler.RunFor(milliseconds(1));
  CHECK(late->head.status == 503);
  CHECK(late->Header("Millstair-Outcome") == "not-run");
  CHECK(late->Header("Millstair-Draining") == "true");
  CHECK(Send(fixture.service, "POST", "/fault", R"({"kind":"crash","restart_after_ms":1000})")
            ->head.status == 200);
  CHECK(begun->aborted);
  CHECK(fixture.Generate("c", "x", 5)->aborted);
  CHECK(Send(fixture.service, "GET", "/v1/report")->aborted);
  fixture.scheduler.RunFor(seconds(1));
  const auto again = fixture.Generate("d", "x", 5);
  fixture.scheduler.RunFor(seconds(1));
  CHECK(again->finished);
  CHECK(Send(fixture.service, "POST", "/fault", R"({"kind":"flood"})")->head.status == 400);
  CHECK(Send(fixture.service, "POST", "/fault", "")->head.status == 400);
}

TEST_CASE("orders, reports and cache events go over HTTP") {
  ServiceFixture fixture;
  const auto stage = Send(fixture.service, "POST", "/v1/orders",
                          EncodeEngineOrder(fixture.Order(OrderKind::kStage, 5, 2)));
  CHECK_FALSE(stage->ended());
  fixture.scheduler.RunFor(seconds(1));
  CHECK(stage->head.status == 200);
  const auto stale = Send(fixture.service, "POST", "/v1/orders",
                          EncodeEngineOrder(fixture.Order(OrderKind::kActivate, 4, 2)));
  fixture.scheduler.RunFor(seconds(1));
  CHECK(stale->head.status == 409);
  Send(fixture.service, "POST", "/fault", R"({"kind":"fail-next-activation"})");
  const auto failed = Send(fixture.service, "POST", "/v1/orders",
                           EncodeEngineOrder(fixture.Order(OrderKind::kActivate, 6, 2)));
  fixture.scheduler.RunFor(seconds(1));
  CHECK(failed->head.status == 500);
  CHECK(Send(fixture.service, "POST", "/v1/orders", "{}")->head.status == 400);
  const EngineReport report = *DecodeEngineReport(Send(fixture.service, "GET", "/v1/report")->body);
  CHECK(report.shards == ShardState::kMixed);
  CHECK(report.last_fence == Revision(6));

  const auto writer = fixture.Generate("r", PromptOf("p", 40), 50);
  fixture.scheduler.RunFor(seconds(5));
  const CacheEvents events =
      *DecodeCacheEvents(Send(fixture.service, "GET", "/v1/cache-events?after=1&resync=0")->body);
  REQUIRE(events.events.size() >= 1);
  CHECK(events.events.front().sequence == 2);
  const CacheEvents held =
      *DecodeCacheEvents(Send(fixture.service, "GET", "/v1/cache-events?after=0&resync=1")->body);
  CHECK(held.events.size() == events.events.size() + 1);
  CHECK(Send(fixture.service, "GET", "/v1/other")->head.status == 404);
}

TEST_CASE("order statuses are preserved over HTTP") {
  for (const absl::Status& status :
       {absl::OkStatus(), absl::InvalidArgumentError("x"), absl::FailedPreconditionError("x"),
        absl::DataLossError("x"), absl::ResourceExhaustedError("x"), absl::UnavailableError("x"),
        absl::AbortedError("x")}) {
    CHECK(OrderStatusFromHttp(HttpStatusOfOrder(status), "x") == status);
  }
}

TEST_CASE("GET /truth reports what ran") {
  ServiceFixture fixture;
  const std::string prompt = PromptOfLength(8, 50, 10);
  fixture.Generate("r", prompt, 50);
  fixture.Generate("s", prompt, 50);
  fixture.scheduler.RunFor(seconds(5));
  const auto all = Send(fixture.service, "GET", "/truth")->json();
  CHECK(all.at("records").as_array().size() == 2);
  CHECK(all.at("counts").at("tokens").as_int64() == 20);
  const auto one = Send(fixture.service, "GET", "/truth?request=s")->json();
  REQUIRE(one.at("records").as_array().size() == 1);
  const auto& record = one.at("records").as_array()[0].as_object();
  CHECK(record.at("finished").as_bool());
  CHECK(record.at("spans").as_array()[0].at("token_count").as_int64() == 10);
  CHECK(Send(fixture.service, "GET", "/truth?counts=1")->json().at("records").as_array().empty());
}

/// Passes calls to a handler in the same environment.
class LocalCaller : public HttpCaller {
 public:
  explicit LocalCaller(RequestHandler& handler) : handler_(handler) {}
  std::unique_ptr<CallHandle> Start(const std::string& address, HttpRequest request,
                                    HttpCallObserver& observer) override {
    last_address = address;
    handler_.Handle(std::move(request), std::make_shared<Writer>(observer));
    return std::make_unique<CallHandle>();
  }

  std::string last_address;

 private:
  struct Writer : ResponseWriter {
    explicit Writer(HttpCallObserver& observer) : observer(observer) {}
    void SendHead(HttpResponseHead head) override { observer.OnHead(head); }
    void SendBody(std::string bytes) override { observer.OnBody(std::move(bytes)); }
    void Finish() override { observer.OnFinished(); }
    void Abort() override { observer.OnFailed(CallFailure::kCut, "aborted"); }
    size_t WritableBytes() const override { return 1 << 20; }
    void OnWritable(std::function<void()>) override {}
    void OnCallerDisconnected(std::function<void()>) override {}
    HttpCallObserver& observer;
  };
  RequestHandler& handler_;
};

TEST_CASE("an engine fetches weights from the store over HTTP") {
  VirtualScheduler scheduler(1);
  VirtualEnvironment environment(scheduler, 2);
  WeightStoreModel store(environment, {});
  store.Put("m/2", WeightDigest("d2"), 1000);
  store.Put("m/3", WeightDigest("other"), 1000);
  LocalCaller caller(store);
  EngineFixture fixture(ExactOptions(), MakeHttpLinks(caller, "10.0.0.9:80"));
  absl::Status staged = absl::UnknownError("");
  fixture.engine.ApplyOrder(fixture.Order(OrderKind::kStage, 1, 2),
                            [&](absl::Status status) { staged = std::move(status); });
  scheduler.RunFor(seconds(1));
  CHECK(staged.ok());
  CHECK(caller.last_address == "10.0.0.9:80");
  fixture.engine.ApplyOrder(fixture.Order(OrderKind::kStage, 1, 3),
                            [&](absl::Status status) { staged = std::move(status); });
  scheduler.RunFor(seconds(1));
  CHECK(absl::IsDataLoss(staged));
  store.SetAvailable(false);
  fixture.engine.ApplyOrder(fixture.Order(OrderKind::kStage, 1, 4),
                            [&](absl::Status status) { staged = std::move(status); });
  scheduler.RunFor(seconds(1));
  CHECK(absl::IsUnavailable(staged));
  CHECK(fixture.engine.CurrentReport().staged_versions == std::vector{WeightVersion(2)});
}

TEST_CASE("an engine fetches KV blocks from another over HTTP") {
  ServiceFixture source;
  const std::string prompt = PromptOfLength(160, 50, 10);
  source.Generate("a", prompt, 50);
  source.scheduler.RunFor(seconds(5));
  LocalCaller caller(source.service);
  EngineFixture target(ExactOptions(), MakeHttpLinks(caller, ""));
  GenerateRequest request = target.Request("b", prompt, 50);
  request.kv_source = "10.0.0.1:80";
  RecordingObserver& observer = target.Observer();
  target.engine.Generate(request, observer);
  REQUIRE(target.RunUntilEnded(observer));
  CHECK(observer.tokens == Expected(prompt, 0, 10, 1));
  CHECK(target.engine.counts().kv_blocks_imported == 10);
  CHECK(target.engine.counts().prefill_tokens == 1);
}

TEST_CASE("the platform's stand-ins apply faults and report their ground truth") {
  VirtualScheduler scheduler(1);
  VirtualEnvironment environment(scheduler, 2);
  PlainServerModel plain(environment, {});
  PlainService plain_service(environment, plain, {});
  Send(plain_service, "POST", "/bookings", "x", {{"Idempotency-Key", "k"}});
  Send(plain_service, "POST", "/fault", R"({"kind":"chances","refusal_permille":1000})");
  CHECK(Send(plain_service, "GET", "/page")->head.status == 503);
  const auto truth = Send(plain_service, "GET", "/truth")->json();
  CHECK(truth.at("refused").as_int64() == 1);
  CHECK(truth.at("executions").as_array()[0].at("key") == "k");

  WeightStoreModel store(environment, {});
  StoreService store_service(store);
  Send(store_service, "POST", "/fault", R"({"kind":"down"})");
  const auto down = Send(store_service, "GET", "/weights/m/1");
  scheduler.RunFor(seconds(1));
  CHECK(down->head.status == 503);

  MachineListModel list(environment, {.lag = seconds(5)});
  MachinesService machines(list);
  list.Add({"10.0.0.1", MachineState::kLive});
  CHECK(Send(machines, "POST", "/fault", R"({"kind":"machine","address":"10.0.0.1","state":"odd"})")
            ->head.status == 400);
  Send(machines, "POST", "/fault", R"({"kind":"machine","address":"10.0.0.1","state":"gone"})");
  scheduler.RunFor(seconds(5));
  CHECK(list.Listed().front().state == MachineState::kGone);
  CHECK(Send(machines, "POST", "/fault", R"({"kind":"crash"})")->head.status == 400);
}

}  // namespace
}  // namespace millstair::testing
