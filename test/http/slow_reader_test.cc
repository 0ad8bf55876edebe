// Callers and back ends that read slowly, over real sockets.
#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <thread>

#include "http/beast_http_caller.h"
#include "http/http_server.h"
#include "http/loopback.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using testing::RawClient;
using testing::RawServer;
using testing::RecordingObserver;

constexpr size_t kMiB = 1024 * 1024;
constexpr size_t kBodyBytes = 16 * kMiB;

bool WaitUntil(const std::function<bool()>& condition) {
  for (int i = 0; i < 500; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return false;
}

/// Responds with a large body to "/whole"; streams without an end to "/stream".
class LargeHandler : public RequestHandler {
 public:
  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override {
    if (request.target == "/whole") {
      return Respond(*writer, {200, {}}, std::string(kBodyBytes, 'x'));
    }
    if (request.target != "/stream") return Respond(*writer, {200, {}}, "small");
    stream = std::move(writer);
    stream->SendHead({200, {}});
    stream->OnWritable([this] { Fill(); });
    stream->OnCallerDisconnected([this] { stream.reset(); });
    Fill();
  }
  void Fill() {
    while (stream->WritableBytes() > 0) stream->SendBody(std::string(16 * 1024, 'x'));
  }
  std::shared_ptr<ResponseWriter> stream;
};

struct Fixture {
  explicit Fixture(Duration write_timeout = std::chrono::seconds(60)) {
    HeldBytesOptions held_options;
    held_options.bound = 8 * kMiB;
    held_options.slow_reader = milliseconds(300);
    held = std::make_shared<HeldBytes>(held_options, &stats);
    HttpServerOptions options;
    options.held_bytes = held;
    options.request_id_header = "Request-Id";
    options.write_timeout = write_timeout;
    server = *HttpServer::Listen(runtime, executor, "127.0.0.1:0", handler, options, &stats);
  }
  ~Fixture() {
    executor->PostAndWait([this] {
      server.reset();
      handler.stream.reset();
    });
    executor->Stop();
  }

  /// `receive_buffer` bounds what the kernel takes for the caller; 0 leaves it to the kernel.
  std::unique_ptr<RawClient> Ask(const std::string& target, int receive_buffer = 0) {
    auto client = std::make_unique<RawClient>(server->address());
    if (receive_buffer > 0) {
      client->socket().set_option(boost::asio::socket_base::receive_buffer_size(receive_buffer));
    }
    client->Send("GET " + target + " HTTP/1.1\r\nHost: a\r\nRequest-Id: r-1\r\n\r\n");
    return client;
  }

  StatsRegistry stats;
  LargeHandler handler;
  Runtime runtime;
  std::shared_ptr<SerialExecutor> executor = runtime.NewExecutor();
  std::shared_ptr<HeldBytes> held;
  std::unique_ptr<HttpServer> server;
};

TEST_CASE("A response that is not read stays counted, and its reader can be cut") {
  Fixture fixture;
  const auto client = fixture.Ask("/whole");
  REQUIRE(WaitUntil([&] { return fixture.held->total() >= kBodyBytes; }));
  REQUIRE(WaitUntil([&] { return fixture.held->CutSlowestReader() > 0; }));
  REQUIRE(WaitUntil([&] { return fixture.held->total() == 0; }));
  client->ReadAll();
  CHECK(client->reset());
  CHECK(client->received().size() < kBodyBytes);
}

// Guards against a cut that hits the next request on the same connection.
TEST_CASE("A caller that reads everything is served on, and nothing stays counted") {
  Fixture fixture;
  const auto client = fixture.Ask("/whole");
  while (client->received().size() < kBodyBytes) REQUIRE(client->ReadSome());
  REQUIRE(WaitUntil([&] { return fixture.held->total() == 0; }));
  std::this_thread::sleep_for(milliseconds(400));
  CHECK(fixture.held->CutSlowestReader() == 0);
  client->Forget();
  client->Send("GET /small HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(client->ReadUntil("small"));
}

// Guards against progress that is not seen because the kernel buffers several MiB.
TEST_CASE("A caller that reads a little from time to time makes progress") {
  Fixture fixture;
  const auto client = fixture.Ask("/whole", 64 * 1024);
  REQUIRE(WaitUntil([&] { return fixture.held->total() >= kBodyBytes; }));
  for (int i = 0; i < 10; ++i) {
    // 256 KiB in 200 ms.
    const size_t until = client->received().size() + 256 * 1024;
    while (client->received().size() < until) REQUIRE(client->ReadSome());
    std::this_thread::sleep_for(milliseconds(200));
    CHECK(fixture.held->CutSlowestReader() == 0);
  }
}

// Guards against a limit on the time of the whole response, which ends slow but steady readers.
TEST_CASE("The write time-out counts from the last progress") {
  Fixture fixture(milliseconds(500));
  const auto steady = fixture.Ask("/whole");
  const auto stalled = fixture.Ask("/whole");
  while (steady->received().size() < kBodyBytes) {
    const size_t until = steady->received().size() + kBodyBytes / 16;
    while (steady->received().size() < until && steady->ReadSome()) {
    }
    REQUIRE_FALSE(steady->reset());
    std::this_thread::sleep_for(milliseconds(100));
  }
  stalled->ReadAll();
  CHECK(stalled->reset());
}

TEST_CASE("A stream fills the buffer of its caller, and less while memory is short") {
  Fixture fixture;
  const auto client = fixture.Ask("/stream");
  REQUIRE(WaitUntil([&] { return fixture.held->total() >= 256 * 1024; }));
  CHECK(fixture.held->total() < 256 * 1024 + 64 * 1024);
  client->Close();
  REQUIRE(WaitUntil([&] { return fixture.held->total() == 0; }));
  const HeldBytes::Hold others(fixture.held, 7 * kMiB);
  const auto second = fixture.Ask("/stream");
  while (second->received().size() < 4 * kMiB) REQUIRE(second->ReadSome());
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(fixture.held->total() < 7 * kMiB + 64 * 1024);
}

struct CallFixture {
  explicit CallFixture(Duration read_timeout) {
    HttpCallerOptions options;
    options.read_timeout = read_timeout;
    caller = std::make_unique<BeastHttpCaller>(runtime, executor, options);
  }
  ~CallFixture() {
    executor->PostAndWait([this] {
      handle.reset();
      caller.reset();
    });
    executor->Stop();
  }
  void Start(const std::string& address, HttpCallObserver& observer) {
    executor->PostAndWait([&] {
      auto claim = std::make_shared<RequestMemory::Claim>(memory);
      claim->Request(kBodyBytes, [] {});
      HttpBody body(std::string(kBodyBytes, 'x'), std::move(claim));
      handle = caller->Start(address, {"POST", "/x", {}, std::move(body)}, observer);
    });
  }

  Runtime runtime;
  std::shared_ptr<SerialExecutor> executor = runtime.NewExecutor();
  std::shared_ptr<RequestMemory> memory = std::make_shared<RequestMemory>(RequestMemoryOptions{});
  std::unique_ptr<BeastHttpCaller> caller;
  std::unique_ptr<CallHandle> handle;
};

TEST_CASE("A request to a back end that does not read is counted until the call ends") {
  std::promise<void> ended;
  RawServer server([&](testing::Tcp::socket&, int) { ended.get_future().wait(); });
  CallFixture fixture(milliseconds(500));
  RecordingObserver observer;
  fixture.Start(server.address(), observer);
  CHECK(fixture.memory->total() >= kBodyBytes);
  // The write makes no progress for the read time-out.
  observer.Wait();
  CHECK(observer.failure() == CallFailure::kUnknown);
  CHECK(WaitUntil([&] { return fixture.memory->total() == 0; }));
  ended.set_value();
}

TEST_CASE("A request that was written is not counted while its response is awaited") {
  std::promise<void> ended;
  RawServer server([&](testing::Tcp::socket& socket, int) {
    std::string bytes(kMiB, ' ');
    for (size_t read = 0; read < kBodyBytes;) {
      boost::system::error_code error;
      read += socket.read_some(boost::asio::buffer(bytes), error);
      if (error) break;
    }
    ended.get_future().wait();
  });
  CallFixture fixture(std::chrono::seconds(10));
  RecordingObserver observer;
  fixture.Start(server.address(), observer);
  CHECK(WaitUntil([&] { return fixture.memory->total() == 0; }));
  CHECK_FALSE(observer.failure().has_value());
  ended.set_value();
}

}  // namespace
}  // namespace millstair
