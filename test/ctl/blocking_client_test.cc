#include "ctl/blocking_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include "http/http_server.h"
#include "runtime/runtime.h"

namespace millstair {
namespace {

/// Sends complete, streamed, truncated or no responses depending on the path.
class PathHandler : public RequestHandler {
 public:
  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override {
    if (request.target == "/whole") {
      Respond(*writer, {200, {{"X-Method", request.method}}}, request.body);
    } else if (request.target == "/stream" || request.target == "/cut") {
      writer->SendHead({200, {}});
      writer->SendBody("one ");
      writer->SendBody("two");
      if (request.target == "/cut") return held_.push_back(std::move(writer));
      writer->Finish();
    } else {
      held_.push_back(std::move(writer));
    }
  }

 private:
  std::vector<std::shared_ptr<ResponseWriter>> held_;
};

struct Server {
  Server() {
    executor->PostAndWait([this] {
      auto listening = HttpServer::Listen(runtime, executor, "127.0.0.1:0", handler);
      REQUIRE(listening.ok());
      server = *std::move(listening);
    });
  }
  ~Server() {
    executor->PostAndWait([this] { server.reset(); });
    executor->Stop();
    runtime.Stop();
  }

  Runtime runtime;
  std::shared_ptr<SerialExecutor> executor = runtime.NewExecutor();
  PathHandler handler;
  std::unique_ptr<HttpServer> server;
};

/// An address without a listener.
std::string FreeAddress() {
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

constexpr Duration kLong = std::chrono::seconds(20);
constexpr Duration kShort = std::chrono::milliseconds(200);

TEST_CASE("complete and streamed responses are read to their end") {
  Server server;
  BlockingClient client;
  const std::string address = server.server->address();
  const BlockingReply complete = client.Call(address, {"POST", "/whole", {}, "body"}, kLong);
  REQUIRE(complete.complete());
  REQUIRE(complete.status == 200);
  REQUIRE(complete.body == "body");
  REQUIRE(FindHeader(complete.headers, "x-method") == "POST");
  std::string seen;
  const BlockingReply streamed =
      client.Call(address, {"GET", "/stream", {}, ""}, kLong, [&](std::string_view bytes) {
        seen += bytes;
        return true;
      });
  REQUIRE(streamed.complete());
  REQUIRE(streamed.body == "one two");
  REQUIRE(seen == "one two");
}

TEST_CASE("a failure tells how far the call progressed") {
  Server server;
  BlockingClient client;
  const std::string address = server.server->address();
  SECTION("the answer began and did not end") {
    const BlockingReply reply = client.Call(address, {"GET", "/cut", {}, ""}, kShort);
    REQUIRE(reply.failure == CallFailure::kCut);
    REQUIRE(reply.body == "one two");
  }
  SECTION("sent, and no answer") {
    const BlockingReply reply = client.Call(address, {"GET", "/never", {}, ""}, kShort);
    REQUIRE(reply.failure == CallFailure::kUnknown);
    REQUIRE(reply.status == 0);
  }
  SECTION("the caller ends it") {
    const BlockingReply reply = client.Call(address, {"GET", "/cut", {}, ""}, kLong,
                                            [](std::string_view) { return false; });
    REQUIRE(reply.failure == CallFailure::kCut);
  }
  SECTION("not connected, or no address") {
    REQUIRE(client.Call(FreeAddress(), {"GET", "/", {}, ""}, kLong).failure ==
            CallFailure::kNotSent);
    REQUIRE(client.Call("host:1", {"GET", "/", {}, ""}, kLong).failure == CallFailure::kNotSent);
  }
}

}  // namespace
}  // namespace millstair
