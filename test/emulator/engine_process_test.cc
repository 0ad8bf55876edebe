// The engine's HTTP side over real sockets, as gateways call it.
#include <catch2/catch.hpp>
#include <future>

#include "emulator/engine_links.h"
#include "emulator/engine_service.h"
#include "http/beast_http_caller.h"
#include "http/http_engine_client.h"
#include "http/http_server.h"
#include "runtime/runtime_environment.h"
#include "test/emulator/engine_fixture.h"

namespace millstair::testing {
namespace {

using std::chrono::milliseconds;

/// Maximum wait for a response; reached only in a failing run.
constexpr std::chrono::seconds kMaxWait(30);

/// An engine behind a socket, and a client, on one executor.
class EngineProcess {
 public:
  explicit EngineProcess(EngineModelOptions options) {
    executor_->PostAndWait([&] {
      environment_ = std::make_unique<RuntimeEnvironment>(runtime_, executor_);
      caller_ = std::make_unique<BeastHttpCaller>(runtime_, executor_);
      engine = std::make_unique<EngineModel>(*environment_, options, MakeHttpLinks(*caller_, ""));
      service_ = std::make_unique<EngineService>(*environment_, *engine);
      server_ = *HttpServer::Listen(runtime_, executor_, "127.0.0.1:0", *service_);
      client = std::make_unique<HttpEngineClient>(*environment_, *caller_);
    });
  }
  ~EngineProcess() {
    executor_->PostAndWait([&] {
      client.reset();
      caller_.reset();
      server_.reset();
      service_.reset();
      engine.reset();
    });
    executor_->Stop();
    environment_.reset();
  }

  const std::string& address() const { return server_->address(); }
  void OnExecutor(std::function<void()> work) { executor_->PostAndWait(std::move(work)); }

  std::unique_ptr<EngineModel> engine;
  std::unique_ptr<HttpEngineClient> client;

 private:
  Runtime runtime_;
  std::shared_ptr<SerialExecutor> executor_ = runtime_.NewExecutor();
  std::unique_ptr<RuntimeEnvironment> environment_;
  std::unique_ptr<BeastHttpCaller> caller_;
  std::unique_ptr<EngineService> service_;
  std::unique_ptr<HttpServer> server_;
};

/// Collects one generation; read after `ended`.
struct Stream : GenerateObserver {
  void OnChunk(const GenerateChunk& chunk) override {
    tokens.insert(tokens.end(), chunk.tokens.begin(), chunk.tokens.end());
    if (++chunks == 1) begun.set_value();
    if (chunk.finished) ended.set_value(std::nullopt);
  }
  void OnFailed(CallFailure kind, bool is_leaving, const std::string&) override {
    leaving = is_leaving;
    ended.set_value(kind);
  }
  /// The failure; nullopt if the generation is complete.
  std::optional<CallFailure> Wait() {
    auto result = ended.get_future();
    REQUIRE(result.wait_for(kMaxWait) == std::future_status::ready);
    return result.get();
  }

  std::vector<std::string> tokens;
  int chunks = 0;
  bool leaving = false;
  std::promise<void> begun;
  std::promise<std::optional<CallFailure>> ended;
  std::unique_ptr<CallHandle> handle;
};

void Begin(EngineProcess& process, Stream& stream, const GenerateRequest& request) {
  process.OnExecutor(
      [&] { stream.handle = process.client->Generate(process.address(), request, stream); });
}

void Drop(EngineProcess& process, Stream& stream) {
  process.OnExecutor([&] { stream.handle.reset(); });
}

absl::Status Order(EngineProcess& process, const EngineOrder& order) {
  std::promise<absl::Status> answer;
  process.OnExecutor([&] {
    process.client->SendOrder(process.address(), order,
                              [&](absl::Status status) { answer.set_value(std::move(status)); });
  });
  auto result = answer.get_future();
  REQUIRE(result.wait_for(kMaxWait) == std::future_status::ready);
  return result.get();
}

EngineModelOptions FastOptions() {
  EngineModelOptions options = ExactOptions();
  options.step_time = {milliseconds(1), Duration(0), Duration(0)};
  options.activate_time = milliseconds(5);
  options.default_fetch_time = milliseconds(5);
  return options;
}

TEST_CASE("a generation arrives complete over a socket") {
  EngineProcess process(FastOptions());
  const std::string prompt = PromptOfLength(20, 100, 25);
  Stream stream;
  Begin(process, stream, EngineFixture::Request("r", prompt, 100));
  CHECK(stream.Wait() == std::nullopt);
  CHECK(stream.tokens == Expected(prompt, 0, 25, 1));
  Drop(process, stream);
}

TEST_CASE("dropping the call cancels the generation in the engine") {
  EngineModelOptions options = FastOptions();
  options.step_time.base = milliseconds(20);
  EngineProcess process(options);
  Stream stream;
  Begin(process, stream, EngineFixture::Request("r", PromptOfLength(20, 40000, 10000), 40000));
  REQUIRE(stream.begun.get_future().wait_for(kMaxWait) == std::future_status::ready);
  Drop(process, stream);
  const auto deadline = std::chrono::steady_clock::now() + kMaxWait;
  bool idle = false;
  while (!idle && std::chrono::steady_clock::now() < deadline) {
    process.OnExecutor([&] { idle = process.engine->Idle(); });
  }
  CHECK(idle);
  process.OnExecutor([&] { CHECK(process.engine->counts().cancelled == 1); });
}

TEST_CASE("the caller can distinguish a drain from a crash") {
  EngineModelOptions options = FastOptions();
  options.step_time.base = milliseconds(20);
  EngineProcess process(options);
  Stream begun;
  Begin(process, begun, EngineFixture::Request("a", PromptOfLength(20, 40000, 10000), 40000));
  REQUIRE(begun.begun.get_future().wait_for(kMaxWait) == std::future_status::ready);
  process.OnExecutor([&] { process.engine->Drain(); });
  Stream refused;
  Begin(process, refused, EngineFixture::Request("b", "x", 4));
  CHECK(refused.Wait() == CallFailure::kRefused);
  CHECK(refused.leaving);
  process.OnExecutor([&] { process.engine->Crash(); });
  CHECK(begun.Wait() == CallFailure::kCut);
  Drop(process, begun);
  Drop(process, refused);
}

TEST_CASE("orders and reports over a socket get the model's replies") {
  EngineProcess process(FastOptions());
  CHECK(Order(process, EngineFixture::Order(OrderKind::kStage, 5, 2)).ok());
  CHECK(
      absl::IsFailedPrecondition(Order(process, EngineFixture::Order(OrderKind::kActivate, 4, 2))));
  process.OnExecutor([&] { process.engine->FailNextActivation(); });
  CHECK(absl::IsAborted(Order(process, EngineFixture::Order(OrderKind::kActivate, 5, 2))));
  EngineOrder other = EngineFixture::Order(OrderKind::kActivate, 5, 2);
  other.digest = WeightDigest("other");
  CHECK(absl::IsDataLoss(Order(process, other)));
  std::promise<absl::StatusOr<EngineReport>> answer;
  process.OnExecutor([&] {
    process.client->FetchReport(process.address(), [&](absl::StatusOr<EngineReport> report) {
      answer.set_value(std::move(report));
    });
  });
  auto result = answer.get_future();
  REQUIRE(result.wait_for(kMaxWait) == std::future_status::ready);
  const absl::StatusOr<EngineReport> report = result.get();
  REQUIRE(report.ok());
  CHECK(report->shards == ShardState::kMixed);
  CHECK(report->last_fence == Revision(5));
}

}  // namespace
}  // namespace millstair::testing
