#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <random>
#include <thread>

#include "http/beast_http_caller.h"
#include "http/loopback.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using testing::RawServer;
using testing::RecordingObserver;
using testing::Tcp;

constexpr const char* kComplete = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A caller with its runtime. Starts calls on the executor and waits for them.
struct Client {
  explicit Client(HttpCallerOptions options = {})
      : caller(std::make_unique<BeastHttpCaller>(runtime, executor, options, &stats)) {}
  ~Client() {
    executor->PostAndWait([this] {
      handle.reset();
      caller.reset();
    });
    executor->Stop();
  }

  void Start(const std::string& address, HttpRequest request, HttpCallObserver& observer) {
    executor->PostAndWait([&] { handle = caller->Start(address, std::move(request), observer); });
  }
  void Call(const std::string& address, RecordingObserver& observer) {
    Start(address, {"POST", "/x", {}, "body"}, observer);
    observer.Wait();
  }
  uint64_t Stat(const std::string& name) { return stats.NewCounter({name}).value(); }

  StatsRegistry stats;
  Runtime runtime;
  std::shared_ptr<SerialExecutor> executor = runtime.NewExecutor();
  std::unique_ptr<BeastHttpCaller> caller;
  std::unique_ptr<CallHandle> handle;
};

void ServeAll(Tcp::socket& socket, const std::string& answer) {
  while (!RawServer::ReadRequest(socket).empty()) RawServer::Write(socket, answer);
}

TEST_CASE("Calls reuse a connection whose response was read to the end") {
  std::atomic<int> connections{0};
  RawServer server([&](Tcp::socket& socket, int) {
    ++connections;
    ServeAll(socket, kComplete);
  });
  Client client;
  for (int i = 0; i < 3; ++i) {
    RecordingObserver observer;
    client.Call(server.address(), observer);
    CHECK(observer.finished());
    CHECK(observer.status() == 200);
    CHECK(observer.body() == "ok");
  }
  CHECK(connections == 1);
  CHECK(client.Stat("millstair_http_call_connections_reused_total") == 2);
}

TEST_CASE("A connection with bytes after the response is never reused") {
  std::atomic<int> connections{0};
  RawServer server([&](Tcp::socket& socket, int) {
    ++connections;
    // The second response belongs to no call and must not reach a later one.
    ServeAll(socket, std::string(kComplete) + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
  });
  Client client;
  for (int i = 0; i < 3; ++i) {
    RecordingObserver observer;
    client.Call(server.address(), observer);
    CHECK(observer.finished());
    CHECK(observer.body() == "ok");
  }
  CHECK(connections == 3);
}

TEST_CASE("A pooled connection with a late response or closed by the peer is not reused") {
  std::promise<void> spoilt;
  RawServer server([&](Tcp::socket& socket, int number) {
    if (number > 0) return ServeAll(socket, kComplete);
    RawServer::ReadRequest(socket);
    RawServer::Write(socket, kComplete);
    std::this_thread::sleep_for(milliseconds(50));
    RawServer::Write(socket, "HTTP/1.1 500 Late\r\nContent-Length: 0\r\n\r\n");
    socket.close();
    spoilt.set_value();
  });
  Client client;
  RecordingObserver first;
  client.Call(server.address(), first);
  CHECK(first.finished());
  spoilt.get_future().wait();
  RecordingObserver second;
  client.Call(server.address(), second);
  CHECK(second.finished());
  CHECK(second.status() == 200);
  CHECK(client.Stat("millstair_http_call_connections_stale_total") == 1);
}

TEST_CASE("Failures report how far the call progressed") {
  Client client({.connect_timeout = milliseconds(500), .read_timeout = milliseconds(200)});
  RecordingObserver observer;
  SECTION("nobody listens") {
    client.Call("127.0.0.1:1", observer);
    CHECK(observer.failure() == CallFailure::kNotSent);
  }
  SECTION("a host name instead of an address") {
    client.Call("localhost:80", observer);
    CHECK(observer.failure() == CallFailure::kNotSent);
  }
  SECTION("a header that would split the request") {
    client.Start("127.0.0.1:1", {"GET", "/x", {{"A", "b\r\nC: d"}}, ""}, observer);
    observer.Wait();
    CHECK(observer.failure() == CallFailure::kNotSent);
    CHECK(observer.reason().find("characters") != std::string::npos);
  }
  SECTION("the back end closes without a response") {
    RawServer server([](Tcp::socket& socket, int) { RawServer::ReadRequest(socket); });
    client.Call(server.address(), observer);
    CHECK(observer.failure() == CallFailure::kUnknown);
  }
  SECTION("the back end resets in the middle of the head") {
    RawServer server([](Tcp::socket& socket, int) {
      RawServer::ReadRequest(socket);
      RawServer::Write(socket, "HTTP/1.1 200 OK\r\nConte");
      socket.set_option(boost::asio::socket_base::linger(true, 0));
      socket.close();
    });
    client.Call(server.address(), observer);
    CHECK(observer.failure() == CallFailure::kUnknown);
  }
  SECTION("no response within the timeout") {
    RawServer server([](Tcp::socket& socket, int) {
      RawServer::ReadRequest(socket);
      RawServer::ReadRequest(socket);
    });
    client.Call(server.address(), observer);
    CHECK(observer.failure() == CallFailure::kUnknown);
  }
  SECTION("the response is shorter than its length") {
    RawServer server([](Tcp::socket& socket, int) {
      RawServer::ReadRequest(socket);
      RawServer::Write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    });
    client.Call(server.address(), observer);
    CHECK(observer.failure() == CallFailure::kCut);
    CHECK(observer.body() == "half");
  }
  SECTION("the last chunk is missing") {
    RawServer server([](Tcp::socket& socket, int) {
      RawServer::ReadRequest(socket);
      RawServer::Write(socket,
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    });
    client.Call(server.address(), observer);
    CHECK(observer.failure() == CallFailure::kCut);
  }
  SECTION("a response delimited by the close counts as truncated") {
    RawServer server([](Tcp::socket& socket, int) {
      RawServer::ReadRequest(socket);
      RawServer::Write(socket, "HTTP/1.1 200 OK\r\n\r\nmaybe whole");
    });
    client.Call(server.address(), observer);
    CHECK(observer.failure() == CallFailure::kCut);
  }
  SECTION("lengths that contradict each other") {
    RawServer server([](Tcp::socket& socket, int) {
      RawServer::ReadRequest(socket);
      RawServer::Write(socket,
                       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nokk");
    });
    client.Call(server.address(), observer);
    CHECK(observer.failure() == CallFailure::kUnknown);
  }
}

TEST_CASE(
    "A response without a length is complete only if its connection closes without an error") {
  const bool reset = GENERATE(false, true);
  std::atomic<int> connections{0};
  RawServer server([&](Tcp::socket& socket, int) {
    ++connections;
    RawServer::ReadRequest(socket);
    RawServer::Write(socket, "HTTP/1.1 200 OK\r\n\r\nto the end");
    // Lets the caller read the bytes first, since a reset may discard bytes in transit.
    std::this_thread::sleep_for(milliseconds(100));
    if (reset) socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
  });
  HttpCallerOptions options;
  options.until_close = true;
  Client client(options);
  RecordingObserver observer;
  client.Call(server.address(), observer);
  CHECK(observer.body() == "to the end");
  CHECK(observer.finished() == !reset);
  if (reset) CHECK(observer.failure() == CallFailure::kCut);
  RecordingObserver next;
  client.Call(server.address(), next);
  // The connection is not reused.
  CHECK(connections == 2);
}

TEST_CASE("Dropping the handle closes the connection and silences the observer") {
  std::promise<void> answered;
  std::promise<bool> closed;
  RawServer server([&](Tcp::socket& socket, int) {
    RawServer::ReadRequest(socket);
    RawServer::Write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    answered.set_value();
    closed.set_value(RawServer::ReadRequest(socket).empty());
  });
  Client client;
  RecordingObserver observer;
  client.Start(server.address(), {"GET", "/x", {}, ""}, observer);
  observer.WaitForBody("half");
  client.executor->PostAndWait([&] { client.handle.reset(); });
  CHECK(closed.get_future().get());
  client.executor->PostAndWait([] {});
  CHECK_FALSE(observer.failure().has_value());
}

TEST_CASE("A paused observer gets at most the bytes that were read before") {
  constexpr size_t kBytes = 8 * 1024 * 1024;
  RawServer server([&](Tcp::socket& socket, int) {
    RawServer::ReadRequest(socket);
    RawServer::Write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBytes) +
                                 "\r\n\r\n" + std::string(kBytes, 'x'));
  });
  Client client;
  RecordingObserver observer;
  client.executor->PostAndWait([&] {
    client.handle = client.caller->Start(server.address(), {"GET", "/x", {}, ""}, observer);
    client.handle->PauseReading();
  });
  observer.WaitForBody("x");
  std::this_thread::sleep_for(milliseconds(50));
  client.executor->PostAndWait([&] {
    CHECK(observer.body().size() <= HttpCallerOptions().read_bytes);
    client.handle->ResumeReading();
  });
  observer.Wait();
  CHECK(observer.finished());
  CHECK(observer.body().size() == kBytes);
}

std::string ValueOf(const std::string& request, const std::string& name) {
  const size_t at = request.find("\r\n" + name + ": ") + name.size() + 4;
  return request.substr(at, request.find("\r\n", at) - at);
}

TEST_CASE("A call never gets the response of another call from a faulty back end") {
  // Each response contains the id of its request; some are duplicated, truncated, followed by stray
  // bytes, or followed by a delayed second response.
  std::atomic<uint64_t> seed{20261205};
  RawServer server([&](Tcp::socket& socket, int) {
    std::mt19937_64 random(seed++);
    while (true) {
      const std::string request = RawServer::ReadRequest(socket);
      if (request.empty()) return;
      const std::string id = ValueOf(request, "X-Id");
      const std::string answer =
          "HTTP/1.1 200 OK\r\nMillstair-Call-Id: " + ValueOf(request, "Millstair-Call-Id") +
          "\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
      switch (random() % 6) {
        case 0:
          RawServer::Write(socket, answer + answer);
          break;
        case 1:
          RawServer::Write(socket, answer.substr(0, random() % answer.size()));
          return;
        case 2:
          RawServer::Write(socket, answer + "stray");
          break;
        case 3:
          RawServer::Write(socket, answer);
          std::this_thread::sleep_for(milliseconds(2));
          RawServer::Write(socket, answer);
          break;
        default:
          RawServer::Write(socket, answer);
      }
    }
  });
  Client client;
  int finished = 0;
  for (int call = 0; call < 400; ++call) {
    const std::string id = "call-" + std::to_string(call);
    RecordingObserver observer;
    client.Start(server.address(), {"GET", "/x", {{"X-Id", id}}, ""}, observer);
    observer.Wait();
    if (!observer.finished()) continue;
    ++finished;
    CHECK(observer.body() == id);
  }
  CHECK(finished > 200);
  CHECK(client.Stat("millstair_http_call_foreign_answers_total") > 0);
}

TEST_CASE("HEAD responses with a length but no body are complete") {
  RawServer server([](Tcp::socket& socket, int) {
    ServeAll(socket, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
  });
  Client client;
  for (int i = 0; i < 2; ++i) {
    RecordingObserver observer;
    client.Start(server.address(), {"HEAD", "/x", {}, ""}, observer);
    observer.Wait();
    CHECK(observer.finished());
    CHECK(FindHeader(observer.head().headers, "content-length") == "100");
  }
}

}  // namespace
}  // namespace millstair
