#include "emulator/link_relay.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>

#include "boost/json.hpp"
#include "emulator/link_service.h"
#include "runtime/endpoint.h"

namespace millstair::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

/// Maximum wait for a condition; reached only in a failing run.
constexpr std::chrono::seconds kMaxWait(20);

/// An echo server, a relay to it, and clients, all on one thread.
struct LinkFixture {
  explicit LinkFixture(std::chrono::microseconds latency = milliseconds(0))
      : acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    Accept();
    relays.push_back(*LinkRelay::Listen(
        io, {"zone-a/1", "127.0.0.1:0", FormatEndpoint(acceptor.local_endpoint()), latency}));
  }

  void Accept() {
    acceptor.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      ++accepted;
      Echo(std::make_shared<tcp::socket>(std::move(socket)), std::make_shared<std::string>());
      Accept();
    });
  }

  void Echo(std::shared_ptr<tcp::socket> socket, std::shared_ptr<std::string> buffer) {
    buffer->resize(65536);
    socket->async_read_some(asio::buffer(*buffer), [=, this](error_code error, size_t size) {
      received += size;
      if (error) {
        ended = true;
        return;
      }
      asio::async_write(*socket, asio::buffer(buffer->data(), size),
                        [=, this](error_code failed, size_t) {
                          if (!failed) Echo(socket, buffer);
                        });
    });
  }

  bool RunUntil(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + kMaxWait;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > deadline) return false;
      io.run_one_for(milliseconds(50));
    }
    return true;
  }

  /// Runs the pending handlers for `span`.
  void Settle(milliseconds span = milliseconds(100)) { io.run_for(span); }

  size_t Fault(const LinkFault& fault) { return ApplyLinkFault(relays, fault); }

  asio::io_context io;
  tcp::acceptor acceptor;
  std::vector<std::unique_ptr<LinkRelay>> relays;
  int accepted = 0;
  size_t received = 0;
  bool ended = false;
};

struct Client {
  explicit Client(LinkFixture& fixture) : fixture(fixture), socket(fixture.io) {
    socket.connect(*ParseEndpoint(fixture.relays.front()->address()));
    Read();
  }
  void Read() {
    socket.async_read_some(asio::buffer(buffer), [this](error_code failed, size_t size) {
      text.append(buffer.data(), size);
      error = failed;
      if (!failed) Read();
    });
  }
  void Write(const std::string& bytes) { asio::write(socket, asio::buffer(bytes)); }

  LinkFixture& fixture;
  tcp::socket socket;
  std::array<char, 65536> buffer;
  std::string text;
  error_code error;
};

TEST_CASE("a relay forwards bytes and the end of the stream after its latency") {
  LinkFixture fixture(milliseconds(30));
  Client client(fixture);
  const auto begin = std::chrono::steady_clock::now();
  client.Write("hello");
  REQUIRE(fixture.RunUntil([&] { return client.text == "hello"; }));
  CHECK(std::chrono::steady_clock::now() - begin >= milliseconds(60));
  client.socket.shutdown(tcp::socket::shutdown_send);
  REQUIRE(fixture.RunUntil([&] { return fixture.ended; }));
  REQUIRE(fixture.RunUntil([&] { return client.error == asio::error::eof; }));
  CHECK(fixture.RunUntil([&] { return fixture.relays.front()->connections() == 0; }));
}

TEST_CASE("a relay forwards many bytes in order") {
  LinkFixture fixture(milliseconds(1));
  Client client(fixture);
  std::string sent;
  for (int i = 0; i < 200000; ++i) sent += std::to_string(i) + " ";
  bool written = false;
  asio::async_write(client.socket, asio::buffer(sent), [&](error_code, size_t) { written = true; });
  REQUIRE(fixture.RunUntil([&] { return client.text.size() == sent.size(); }));
  CHECK(written);
  CHECK(client.text == sent);
}

TEST_CASE("a cut link forwards nothing until it is healed, and loses nothing") {
  LinkFixture fixture;
  Client client(fixture);
  client.Write("a");
  REQUIRE(fixture.RunUntil([&] { return client.text == "a"; }));
  CHECK(fixture.Fault({.kind = "cut", .name = "zone-a/*"}) == 1);
  client.Write("b");
  Client late(fixture);
  late.Write("c");
  fixture.Settle();
  CHECK(client.text == "a");
  CHECK(fixture.received == 1);
  CHECK(fixture.accepted == 1);
  CHECK(fixture.Fault({.kind = "heal"}) == 1);
  CHECK(fixture.RunUntil([&] { return client.text == "ab" && late.text == "c"; }));
}

TEST_CASE("a half-cut link forwards in the other direction") {
  LinkFixture fixture;
  Client client(fixture);
  client.Write("a");
  REQUIRE(fixture.RunUntil([&] { return client.text == "a"; }));
  fixture.Fault({.kind = "half-cut", .direction = "backward"});
  client.Write("b");
  REQUIRE(fixture.RunUntil([&] { return fixture.received == 2; }));
  fixture.Settle();
  CHECK(client.text == "a");
  fixture.Fault({.kind = "half-cut", .direction = "forward"});
  REQUIRE(fixture.RunUntil([&] { return client.text == "ab"; }));
  client.Write("c");
  fixture.Settle();
  CHECK(fixture.received == 2);
}

TEST_CASE("a reset breaks open connections only") {
  LinkFixture fixture;
  Client client(fixture);
  client.Write("a");
  REQUIRE(fixture.RunUntil([&] { return client.text == "a"; }));
  CHECK(fixture.Fault({.kind = "reset", .name = "zone-b"}) == 0);
  CHECK(fixture.relays.front()->connections() == 1);
  CHECK(fixture.Fault({.kind = "reset", .name = "zone-a/1"}) == 1);
  REQUIRE(fixture.RunUntil([&] { return client.error.failed(); }));
  CHECK(client.error == asio::error::connection_reset);
  Client next(fixture);
  next.Write("b");
  CHECK(fixture.RunUntil([&] { return next.text == "b"; }));
}

TEST_CASE("a target that refuses the connection breaks it") {
  LinkFixture fixture;
  fixture.acceptor.close();
  Client client(fixture);
  CHECK(fixture.RunUntil([&] { return client.error.failed(); }));
  CHECK(fixture.relays.front()->connections() == 0);
}

TEST_CASE("links are listed with their state") {
  LinkFixture fixture(milliseconds(2));
  fixture.Fault({.kind = "half-cut", .direction = "forward"});
  fixture.Fault({.kind = "latency", .latency_us = 700});
  const auto listed = boost::json::parse(LinksJson(fixture.relays)).at("links").as_array();
  REQUIRE(listed.size() == 1);
  CHECK(listed[0].at("name") == "zone-a/1");
  CHECK(listed[0].at("latency_us").as_int64() == 700);
  CHECK_FALSE(listed[0].at("forward").as_bool());
  CHECK(listed[0].at("backward").as_bool());
}

TEST_CASE("link flags and faults are checked") {
  const LinkOptions options = *ParseLinkOptions("127.0.0.1:1,127.0.0.1:2,1.5,a-b");
  CHECK(options.latency == std::chrono::microseconds(1500));
  CHECK(options.name == "a-b");
  CHECK(ParseLinkOptions("127.0.0.1:1,127.0.0.1:2,0")->name == "127.0.0.1:1");
  CHECK_FALSE(ParseLinkOptions("127.0.0.1:1,127.0.0.1:2").ok());
  CHECK_FALSE(ParseLinkOptions("127.0.0.1:1,127.0.0.1:2,x").ok());
  CHECK_FALSE(ParseLinkOptions("127.0.0.1:1,127.0.0.1:2,-1").ok());
  CHECK(DecodeLinkFault(R"({"kind":"heal"})").ok());
  CHECK(DecodeLinkFault(R"({"kind":"half-cut"})").status().message() ==
        "link fault: direction: must be forward or backward");
  CHECK_FALSE(DecodeLinkFault(R"({"kind":"melt"})").ok());
  asio::io_context io;
  CHECK(absl::IsInvalidArgument(LinkRelay::Listen(io, {"x", "nowhere:1", "127.0.0.1:1"}).status()));
}

}  // namespace
}  // namespace millstair::testing
