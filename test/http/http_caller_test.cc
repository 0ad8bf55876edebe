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

// Guards against a second copy of a refusal that is taken for the answer to the next send.
TEST_CASE("A request that was refused is not repeated on the same connection") {
  std::atomic<int> connections{0};
  RawServer server([&](Tcp::socket& socket, int number) {
    ++connections;
    RawServer::ReadRequest(socket);
    if (number > 0) {
      RawServer::Write(socket, kComplete);
      return ServeAll(socket, kComplete);
    }
    const std::string refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    RawServer::Write(socket, refusal);
    // The next request on this connection gets the second copy.
    if (!RawServer::ReadRequest(socket).empty()) RawServer::Write(socket, refusal);
  });
  HttpCallerOptions options;
  options.call_ids = false;
  Client client(options);
  const auto call = [&](const std::string& request_id) {
    RecordingObserver observer;
    client.Start(server.address(), {"POST", "/x", {}, "body", request_id}, observer);
    observer.Wait();
    return observer.status();
  };
  CHECK(call("one") == 503);
  CHECK(call("one") == 200);
  // After an answer with success the connection may carry the request again.
  CHECK(call("one") == 200);
  CHECK(connections == 2);
}

// Guards against a new connection for each request that a busy back end refuses.
TEST_CASE("A connection that carried a refusal serves other requests, and later the same one") {
  std::atomic<int> connections{0};
  RawServer server([&](Tcp::socket& socket, int) {
    ++connections;
    ServeAll(socket, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  });
  HttpCallerOptions options;
  options.call_ids = false;
  options.surplus_window = milliseconds(100);
  Client client(options);
  const auto call = [&](const std::string& request_id) {
    RecordingObserver observer;
    client.Start(server.address(), {"POST", "/x", {}, "body", request_id}, observer);
    observer.Wait();
  };
  for (const std::string request_id : {"one", "two", "three"}) call(request_id);
  CHECK(connections == 1);
  std::this_thread::sleep_for(milliseconds(150));
  call("one");
  CHECK(connections == 1);
  call("one");
  CHECK(connections == 2);
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

/// Reads until the connection ends; true if it was reset instead of closed in order.
bool EndsWithReset(Tcp::socket& socket) {
  char byte = 0;
  ssize_t count = 1;
  while (count > 0) count = ::recv(socket.native_handle(), &byte, 1, 0);
  return count < 0 && errno == ECONNRESET;
}

// After an orderly close the kernel retransmits the request, so that a back end that was cut off
// received it after its caller had gone.
TEST_CASE("A call that ends without a complete response resets its connection") {
  const std::string part = GENERATE("", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  const bool cancelled = GENERATE(true, false);
  std::promise<void> received;
  std::promise<bool> reset;
  RawServer server([&](Tcp::socket& socket, int) {
    RawServer::ReadRequest(socket);
    RawServer::Write(socket, part);
    received.set_value();
    reset.set_value(EndsWithReset(socket));
  });
  Client client({.read_timeout = milliseconds(cancelled ? 10000 : 200)});
  RecordingObserver observer;
  client.Start(server.address(), {"POST", "/x", {}, "body"}, observer);
  received.get_future().wait();
  if (!part.empty()) observer.WaitForBody("half");
  if (cancelled) {
    client.executor->PostAndWait([&] { client.handle.reset(); });
  } else {
    observer.Wait();
    CHECK_FALSE(observer.finished());
  }
  CHECK(reset.get_future().get());
}

// A request that is still being written must not be completed after its call was cancelled.
TEST_CASE("A call that is cancelled while it writes resets its connection") {
  std::promise<void> connected;
  std::promise<void> cancelled;
  std::promise<bool> reset;
  RawServer server([&](Tcp::socket& socket, int) {
    RawServer::ReadRequest(socket);
    connected.set_value();
    cancelled.get_future().wait();
    reset.set_value(EndsWithReset(socket));
  });
  Client client;
  RecordingObserver observer;
  constexpr size_t kMoreThanBuffers = 32 * 1024 * 1024;
  client.Start(server.address(), {"POST", "/x", {}, std::string(kMoreThanBuffers, 'x')}, observer);
  connected.get_future().wait();
  client.executor->PostAndWait([&] { client.handle.reset(); });
  // The connection is closed on another thread.
  std::this_thread::sleep_for(milliseconds(100));
  cancelled.set_value();
  CHECK(reset.get_future().get());
}

// A reset could discard the last bytes that the caller or the back end has not read yet.
TEST_CASE("A connection that is not kept after its response is closed in order") {
  std::promise<bool> reset;
  RawServer server([&](Tcp::socket& socket, int) {
    RawServer::ReadRequest(socket);
    RawServer::Write(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
    reset.set_value(EndsWithReset(socket));
  });
  Client client;
  RecordingObserver observer;
  client.Call(server.address(), observer);
  client.executor->PostAndWait([&] { client.handle.reset(); });
  CHECK(observer.finished());
  CHECK_FALSE(reset.get_future().get());
}

/// A server that is silent on "/silent", answers "/pair" once there are two connections, and
/// everything else at once.
struct SilentOnDemand {
  std::atomic<int> connections{0};
  std::atomic<int> silent{0};
  RawServer server{[this](Tcp::socket& socket, int) {
    ++connections;
    while (true) {
      const std::string request = RawServer::ReadRequest(socket);
      if (request.empty()) return;
      if (request.find("/silent") != std::string::npos) {
        ++silent;
        continue;
      }
      const bool pair = request.find("/pair") != std::string::npos;
      while (pair && connections < 2) std::this_thread::sleep_for(milliseconds(1));
      RawServer::Write(socket, kComplete);
    }
  }};

  /// Starts two calls at once, so that two connections are kept.
  void KeepTwoConnections(Client& client) {
    RecordingObserver observers[2];
    std::unique_ptr<CallHandle> handles[2];
    client.executor->PostAndWait([&] {
      for (int i = 0; i < 2; ++i) {
        handles[i] = client.caller->Start(server.address(), {"GET", "/pair", {}, ""}, observers[i]);
      }
    });
    for (RecordingObserver& observer : observers) observer.Wait();
    client.executor->PostAndWait([&] {
      for (auto& handle : handles) handle.reset();
    });
    REQUIRE(connections == 2);
  }
  void StartSilentCall(Client& client, HttpCallObserver& observer) {
    client.Start(server.address(), {"GET", "/silent", {}, ""}, observer);
    while (silent == 0) std::this_thread::sleep_for(milliseconds(1));
  }
};

// The packets of all connections to a back end that is cut off are lost: a request on a kept one
// would hang up to its deadline, where a new connection fails within the connect time-out.
TEST_CASE("Connections to a silent back end are not reused") {
  SilentOnDemand back_end;
  Client client({.min_silence = milliseconds(20)});
  back_end.KeepTwoConnections(client);
  RecordingObserver dropped;
  back_end.StartSilentCall(client, dropped);
  std::this_thread::sleep_for(milliseconds(50));
  client.executor->PostAndWait([&] { client.handle.reset(); });
  // The connections are closed on another thread.
  for (int i = 0; i < 5000 && client.Stat("millstair_http_call_connections_silent_total") == 0;
       ++i) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  CHECK(client.Stat("millstair_http_call_connections_silent_total") > 0);
  RecordingObserver next;
  client.Call(back_end.server.address(), next);
  CHECK(next.finished());
  CHECK(back_end.connections == 3);
  // After its response the new connection is reused.
  RecordingObserver later;
  client.Call(back_end.server.address(), later);
  CHECK(later.finished());
  CHECK(back_end.connections == 3);
}

// Cancelled calls alone must not cost a back end that answers its kept connections.
TEST_CASE("Connections are kept if the cancelled call was short or others got a response") {
  const bool short_call = GENERATE(true, false);
  SilentOnDemand back_end;
  Client client({.min_silence = short_call ? milliseconds(60000) : milliseconds(20)});
  back_end.KeepTwoConnections(client);
  RecordingObserver dropped;
  back_end.StartSilentCall(client, dropped);
  std::unique_ptr<CallHandle> silent = std::move(client.handle);
  if (!short_call) {
    RecordingObserver answered;
    client.Call(back_end.server.address(), answered);
    CHECK(answered.finished());
    std::this_thread::sleep_for(milliseconds(50));
  }
  client.executor->PostAndWait([&] { silent.reset(); });
  std::this_thread::sleep_for(milliseconds(50));
  RecordingObserver next;
  client.Call(back_end.server.address(), next);
  CHECK(next.finished());
  CHECK(back_end.connections == 2);
  CHECK(client.Stat("millstair_http_call_connections_silent_total") == 0);
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

// Guards against answers without a final status, such as "000" of a server in trouble, that are
// passed on as answers.
TEST_CASE("A response whose status is below 200 is none, whatever its body") {
  const std::string status = GENERATE("000", "001", "099", "100", "199");
  const std::string framing = GENERATE("Content-Length: 2\r\n\r\nno",
                                       "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n");
  RawServer server([&](Tcp::socket& socket, int) {
    ServeAll(socket, "HTTP/1.1 " + status + " Trouble\r\n" + framing);
  });
  Client client;
  RecordingObserver observer;
  client.Start(server.address(), {"GET", "/x", {}, ""}, observer);
  observer.Wait();
  CHECK_FALSE(observer.finished());
  CHECK(observer.failure() == CallFailure::kUnknown);
}

constexpr size_t kPieceBytes = 64 * 1024;
constexpr size_t kEndless = 64 * 1024 * 1024;
/// What a call may take of an endless answer: its own limit, and buffers of both sockets.
constexpr size_t kMaxTaken = 16 * 1024 * 1024;

/// Sends `begin`, then `piece` until the peer closes or kEndless bytes were sent; returns the
/// number.
size_t SendEndlessly(Tcp::socket& socket, const std::string& begin, const std::string& piece) {
  RawServer::Write(socket, begin);
  std::string pieces;
  while (pieces.size() < kPieceBytes) pieces += piece;
  size_t sent = 0;
  boost::system::error_code error;
  while (!error && sent < kEndless) {
    sent += boost::asio::write(socket, boost::asio::buffer(pieces), error);
  }
  return sent;
}

// Guards against a gateway that ends because a server's answer has a line without an end.
TEST_CASE("An answer whose head or framing never ends is given up") {
  struct Form {
    std::string begin;
    std::string piece;
  };
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const Form form = GENERATE_COPY(
      Form{"", "x"}, Form{"HTTP/1.1 200 ", "x"}, Form{"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
      Form{"HTTP/1.1 200 OK\r\nName: ", "x"}, Form{chunked, "0"}, Form{chunked, "x"},
      Form{chunked + "2;", "x"}, Form{chunked + "2;a=\"", "x"}, Form{chunked + "2\r\nok", "x"},
      Form{chunked + "2\r\nok\r\n0\r\n", "Name: value\r\n"},
      Form{chunked + "2\r\nok\r\n0\r\n", "x"}, Form{chunked + "2\r\nok\r\n0\r\nName: ", "x"});
  CAPTURE(form.begin, form.piece);
  std::promise<size_t> taken;
  RawServer server([&](Tcp::socket& socket, int number) {
    if (number > 0) return;
    RawServer::ReadRequest(socket);
    taken.set_value(SendEndlessly(socket, form.begin, form.piece));
  });
  Client client;
  RecordingObserver observer;
  client.Call(server.address(), observer);
  CHECK_FALSE(observer.finished());
  CHECK(taken.get_future().get() < kMaxTaken);
}

TEST_CASE("An answer that is cut anywhere before its end is no whole one") {
  const std::string whole =
      GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nStamp: s\r\n\r\nok",
               "HTTP/1.1 200 OK\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
               "2;a=b\r\nok\r\n0\r\nT: v\r\n\r\n");
  HttpCallerOptions options;
  options.until_close = true;
  Client client(options);
  for (size_t end = 0; end < whole.size(); ++end) {
    CAPTURE(end);
    RawServer server([&](Tcp::socket& socket, int number) {
      if (number > 0) return;
      RawServer::ReadRequest(socket);
      RawServer::Write(socket, whole.substr(0, end));
      socket.shutdown(Tcp::socket::shutdown_both);
    });
    RecordingObserver observer;
    client.Call(server.address(), observer);
    CHECK_FALSE(observer.finished());
  }
}

}  // namespace
}  // namespace millstair
