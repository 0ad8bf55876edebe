#include "transport/tcp_peer_transport.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <random>
#include <vector>

#include "api/generated/hello.pb.h"
#include "runtime/endpoint.h"
#include "transport/frame.h"
#include "wire/nanopb_message.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Received {
  NodeId from;
  std::string payload;
};

/// The runtime of some nodes and their stats. A transport that was destroyed still ends its
/// connections on the threads of the runtime, so the stats are destroyed last.
struct Network {
  explicit Network(RuntimeOptions options = {}) : runtime(options) {}

  std::deque<StatsRegistry> stats;
  Runtime runtime;
};

/// One node: a transport and the messages that it received.
class Node : public PeerReceiver {
 public:
  Node(Network& network, const std::string& name, const std::string& cluster = "c",
       const std::string& listen = "127.0.0.1:0")
      : stats(network.stats.emplace_back()), executor_(network.runtime.NewExecutor()) {
    PeerTransportOptions options;
    options.self = NodeId(name);
    options.incarnation = Incarnation(1);
    options.cluster_id = cluster;
    options.listen = listen;
    options.max_frame_bytes = 1024 * 1024;
    options.max_queue_messages = 1000;
    options.hello_timeout = milliseconds(300);
    transport_ = *TcpPeerTransport::Listen(network.runtime, executor_, options, &stats);
    transport_->SetReceiver(this);
  }
  ~Node() override {
    executor_->PostAndWait([this] { transport_.reset(); });
    executor_->Stop();
  }

  void Receive(const NodeId& from, const PeerMessage& message) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    received_.push_back({from, message.payload});
    changed_.notify_all();
  }
  void Send(const std::string& to, const std::string& payload) {
    executor_->PostAndWait([&] { transport_->Send(NodeId(to), {MessageKind::kCommand, payload}); });
  }
  void Know(const Node& other, const std::string& name) { Know(other.address(), name); }
  void Know(const std::string& address, const std::string& name) {
    executor_->PostAndWait([&] { transport_->SetAddress(NodeId(name), address); });
  }
  /// Waits until `count` messages have arrived.
  bool WaitFor(size_t count) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, seconds(10), [&] { return received_.size() >= count; });
  }
  std::vector<Received> received() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return received_;
  }
  double Stat(const std::string& name, const std::string& label = "") const {
    for (const StatSample& sample : stats.Read()) {
      if (sample.name.name == name && sample.name.label_value == label) return sample.value;
    }
    return 0;
  }
  /// Waits until a stat has reached `value`.
  bool WaitForStat(const std::string& name, const std::string& label, double value) const {
    for (int i = 0; i < 1000; ++i) {
      if (Stat(name, label) >= value) return true;
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }
  std::string address() const { return transport_->address(); }

  StatsRegistry& stats;

 private:
  std::shared_ptr<SerialExecutor> executor_;
  std::unique_ptr<TcpPeerTransport> transport_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Received> received_;
};

std::string HelloFrame(const std::string& node, const std::string& cluster = "c",
                       uint32_t version = kPeerProtocolVersion) {
  WireArena arena;
  millstair_Hello hello = millstair_Hello_init_zero;
  hello.protocol_version = version;
  hello.cluster_id = arena.NewString(cluster);
  hello.node = arena.NewString(node);
  return EncodeFrame(kHelloKind, EncodeNanopb(millstair_Hello_fields, &hello));
}

/// Sends raw bytes to a transport and waits until it closes the connection, with a timeout.
void SendRaw(const std::string& address, const std::string& bytes, bool end = false) {
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  socket.connect(*ParseEndpoint(address));
  const timeval limit{5, 0};
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  boost::system::error_code ignored;
  boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
  if (end) socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  char piece[4096];
  while (::recv(socket.native_handle(), piece, sizeof(piece), 0) > 0) {
  }
}

TEST_CASE("Messages arrive in order, and the peer can reply without knowing an address") {
  Network network({.workers = 4});
  Node a(network, "a");
  Node b(network, "b");
  a.Know(b, "b");
  for (int i = 0; i < 100; ++i) a.Send("b", std::to_string(i));
  REQUIRE(b.WaitFor(100));
  const std::vector<Received> received = b.received();
  for (int i = 0; i < 100; ++i) {
    CHECK(received[static_cast<size_t>(i)].from == NodeId("a"));
    CHECK(received[static_cast<size_t>(i)].payload == std::to_string(i));
  }
  b.Send("a", std::string(500000, 'y'));
  REQUIRE(a.WaitFor(1));
  CHECK(a.received()[0].payload.size() == 500000);
  CHECK(a.Stat("millstair_peer_dials_total") == 1);
  CHECK(b.Stat("millstair_peer_dials_total") == 0);
}

TEST_CASE("Texts are sent compressed and arrive unchanged") {
  Network network({.workers = 4});
  Node first(network, "a");
  Node second(network, "b");
  first.Know(second, "b");
  std::string text;
  std::mt19937 random(7);
  while (text.size() < 100'000) text += static_cast<char>('a' + random() % 26);
  first.Send("b", text);
  first.Send("b", "short");
  REQUIRE(second.WaitFor(2));
  CHECK(second.received()[0].payload == text);
  CHECK(second.received()[1].payload == "short");
  CHECK(second.Stat("millstair_peer_bytes_received_total") < 0.7 * 100'000);
  CHECK(first.Stat("millstair_peer_queued_bytes_total", "command") == 100'005);
}

TEST_CASE("Damaged compressed frames are refused and counted") {
  Network network({.workers = 4});
  Node node(network, "a");
  SendRaw(node.address(), HelloFrame("old") + EncodeFrame(kCompressedKind, "no compressed frames"));
  CHECK(node.WaitForStat("millstair_peer_refused_total", "bad-compressed", 1));
}

TEST_CASE("A node reaches itself, and messages to unknown nodes are counted") {
  Network network;
  Node a(network, "a");
  a.Send("a", "self");
  REQUIRE(a.WaitFor(1));
  a.Send("nobody", "x");
  CHECK(a.WaitForStat("millstair_peer_messages_dropped_total", "unknown-node", 1));
  a.Send("a", std::string(1024 * 1024 + 1, 'x'));
  CHECK(a.Stat("millstair_peer_messages_dropped_total", "too-large") == 1);
}

TEST_CASE("Two nodes that dial each other simultaneously keep one connection") {
  Network network({.workers = 4});
  for (int round = 0; round < 20; ++round) {
    Node a(network, "a");
    Node b(network, "b");
    a.Know(b, "b");
    b.Know(a, "a");
    std::thread other([&] { b.Send("a", "from b"); });
    a.Send("b", "from a");
    other.join();
    REQUIRE(a.WaitFor(1));
    REQUIRE(b.WaitFor(1));
    for (int i = 0; i < 500 && (a.Stat("millstair_peer_connections") > 1 ||
                                b.Stat("millstair_peer_connections") > 1);
         ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK(a.Stat("millstair_peer_connections") == 1);
    CHECK(b.Stat("millstair_peer_connections") == 1);
    a.Send("b", "again");
    b.Send("a", "again");
    CHECK(a.WaitFor(2));
    CHECK(b.WaitFor(2));
  }
}

TEST_CASE("A node is dialled again after a restart at the same address") {
  Network network({.workers = 4});
  Node a(network, "a");
  auto b = std::make_unique<Node>(network, "b");
  const std::string address = b->address();
  a.Know(*b, "b");
  a.Send("b", "first");
  REQUIRE(b->WaitFor(1));
  b.reset();
  // Messages may still go to the old connection until its end is detected. Dials must back off
  // while nobody listens, instead of being repeated for each message.
  for (int i = 0; i < 1000 && a.Stat("millstair_peer_dials_failed_total") < 1; ++i) {
    for (int message = 0; message < 50; ++message) a.Send("b", "lost");
    std::this_thread::sleep_for(milliseconds(10));
  }
  REQUIRE(a.Stat("millstair_peer_dials_failed_total") >= 1);
  CHECK(a.Stat("millstair_peer_dials_total") < 10);
  Node again(network, "b", "c", address);
  for (int i = 0; i < 500 && again.received().empty(); ++i) {
    a.Send("b", "second");
    std::this_thread::sleep_for(milliseconds(10));
  }
  REQUIRE_FALSE(again.received().empty());
  CHECK(again.received().back().payload == "second");
}

/// A peer whose connections can fall silent: packets are dropped without a reset.
class SilentPeer {
 public:
  SilentPeer()
      : acceptor_(io_, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    const timeval limit{0, 100'000};
    ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }
  std::string address() const { return FormatEndpoint(acceptor_.local_endpoint()); }

  /// Accepts a connection within `limit` and exchanges hellos; false if none came.
  bool Accept(std::chrono::milliseconds limit) {
    const auto until = std::chrono::steady_clock::now() + limit;
    int accepted = -1;
    while (accepted < 0 && std::chrono::steady_clock::now() < until) {
      accepted = ::accept(acceptor_.native_handle(), nullptr, nullptr);
    }
    if (accepted < 0) return false;
    sockets_.emplace_back(io_);
    sockets_.back().assign(boost::asio::ip::tcp::v4(), accepted);
    boost::asio::write(sockets_.back(), boost::asio::buffer(HelloFrame("b")));
    return true;
  }
  /// Waits until `size` bytes were read from the last connection.
  void Read(size_t size) {
    std::string bytes(size, '\0');
    boost::asio::read(sockets_.back(), boost::asio::buffer(bytes));
  }
  void FallSilent() {
    std::array<sock_filter, 1> drop_all = {{{BPF_RET | BPF_K, 0, 0, 0}}};
    const sock_fprog program{1, drop_all.data()};
    REQUIRE(::setsockopt(sockets_.back().native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                         sizeof(program)) == 0);
  }

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::deque<boost::asio::ip::tcp::socket> sockets_;
};

void Connect(Node& node, SilentPeer& peer) {
  node.Know(peer.address(), "b");
  node.Send("b", "first");
  REQUIRE(peer.Accept(seconds(5)));
  peer.Read(1);
}

/// Time in which nodes reach each other again after their machines have returned.
constexpr seconds kContact{3};

TEST_CASE("A peer that returned is not waited for on a connection that it no longer knows") {
  Network network({.workers = 4});
  SilentPeer peer;
  Node node(network, "a");
  Connect(node, peer);
  peer.FallSilent();
  bool again = false;
  const auto until = std::chrono::steady_clock::now() + kContact;
  while (!again && std::chrono::steady_clock::now() < until) {
    node.Send("b", "second");
    again = peer.Accept(milliseconds(100));
  }
  CHECK(again);
}

TEST_CASE("An idle connection that the peer no longer knows is closed before it is needed") {
  Network network({.workers = 4});
  SilentPeer peer;
  Node node(network, "a");
  Connect(node, peer);
  CHECK(node.WaitForStat("millstair_peer_connections", "", 1));
  // All bytes sent so far are acknowledged.
  std::this_thread::sleep_for(milliseconds(100));
  peer.FallSilent();
  const auto until = std::chrono::steady_clock::now() + kContact;
  while (node.Stat("millstair_peer_connections") > 0 && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(milliseconds(20));
  }
  CHECK(node.Stat("millstair_peer_connections") == 0);
}

TEST_CASE("Wrong clusters, versions and names and invalid frames are refused and counted") {
  Network network;
  Node a(network, "a");
  const std::string command = EncodeFrame(static_cast<uint8_t>(MessageKind::kCommand), "x");
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"other-cluster", HelloFrame("b", "other")},
      {"other-version", HelloFrame("b", "c", 99)},
      {"bad-node", HelloFrame("")},
      {"bad-node", HelloFrame("a")},
      {"bad-hello", EncodeFrame(kHelloKind, "\xff\xff\xff")},
      {"no-hello", command},
      {"empty", std::string(5, '\0')},
      {"unknown-kind", HelloFrame("b") + EncodeFrame(250, "x")},
      {"second-hello", HelloFrame("b") + HelloFrame("b")},
      {"too-large", std::string("\x00\x00\x20\x00\x00", 5)},
      {"too-large", HelloFrame("b") + std::string("\x7f\xff\xff\xff\x05", 5)},
  };
  for (const auto& [reason, bytes] : cases) {
    INFO(reason);
    const double before = a.Stat("millstair_peer_refused_total", reason);
    SendRaw(a.address(), bytes);
    CHECK(a.WaitForStat("millstair_peer_refused_total", reason, before + 1));
  }
  SendRaw(a.address(), HelloFrame("b") + command.substr(0, 3), true);
  CHECK(a.WaitForStat("millstair_peer_refused_total", "truncated", 1));
  CHECK(a.received().empty());
}

TEST_CASE("A dialled node with another name or cluster gets no messages") {
  Network network({.workers = 4});
  Node a(network, "a");
  Node b(network, "b");
  Node stranger(network, "s", "other");
  a.Know(b, "wrong-name");
  a.Know(stranger, "s");
  a.Send("wrong-name", "x");
  a.Send("s", "x");
  CHECK(a.WaitForStat("millstair_peer_refused_total", "other-node", 1));
  CHECK(stranger.WaitForStat("millstair_peer_refused_total", "other-cluster", 1));
  CHECK(b.received().empty());
  CHECK(stranger.received().empty());
}

TEST_CASE("Random and mutated streams never stop the transport") {
  Network network({.workers = 4});
  Node a(network, "a");
  std::mt19937_64 random(20261203);
  std::string valid = HelloFrame("fuzz");
  for (int i = 0; i < 5; ++i) {
    valid += EncodeFrame(static_cast<uint8_t>(MessageKind::kHeartbeat), std::string(20, 'p'));
  }
  for (int round = 0; round < 300; ++round) {
    std::string bytes = valid;
    for (uint64_t change = 1 + random() % 6; change > 0; --change) {
      bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
    }
    if (random() % 4 == 0) bytes.resize(random() % bytes.size());
    SendRaw(a.address(), bytes, true);
  }
  Node b(network, "b");
  b.Know(a, "a");
  const size_t before = a.received().size();
  b.Send("a", "alive");
  REQUIRE(a.WaitFor(before + 1));
  CHECK(a.received().back().payload == "alive");
}

}  // namespace
}  // namespace millstair
