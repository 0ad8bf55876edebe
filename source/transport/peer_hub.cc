#include "transport/peer_hub.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <random>
#include <utility>

#include "api/generated/hello.pb.h"
#include "common/event_log.h"
#include "fmt/format.h"
#include "runtime/endpoint.h"
#include "wire/nanopb_message.h"

namespace millstair {
namespace {

namespace asio = boost::asio;

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr size_t kReadBytes = 16 * 1024;
/// Messages are batched up to this size for one write.
constexpr size_t kBatchBytes = 256 * 1024;
/// Further connections are closed immediately.
constexpr size_t kMaxConnections = 8192;
/// Delay after a failed accept (out of descriptors).
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};
/// Minimum interval between log lines about messages dropped for one peer.
constexpr std::chrono::seconds kDropLogInterval{10};

/// An idle connection is probed after this time, and then at this interval. The smallest that the
/// kernel takes.
constexpr std::chrono::seconds kProbeInterval{1};

void SetTcpOption(PeerHub::Tcp::socket& socket, int option, int64_t value) {
  const auto number = static_cast<int>(value);
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &number, sizeof(number));
}

/// Has the kernel end the connection if the peer's machine acknowledges nothing for `timeout`.
void SetSocketOptions(PeerHub::Tcp::socket& socket, Duration timeout) {
  boost::system::error_code ignored;
  socket.set_option(PeerHub::Tcp::no_delay(true), ignored);
  SetTcpOption(socket, TCP_USER_TIMEOUT, ToMilliseconds(timeout));
}

/// Has the kernel probe the connection while it is idle. Done by the node that dialled: the other
/// one is dialled again by a peer that returned.
void ProbeWhileIdle(PeerHub::Tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  SetTcpOption(socket, TCP_KEEPIDLE, kProbeInterval.count());
  SetTcpOption(socket, TCP_KEEPINTVL, kProbeInterval.count());
}

}  // namespace

PeerHub::PeerHub(Runtime& runtime, std::shared_ptr<SerialExecutor> executor,
                 PeerTransportOptions options, StatsRegistry* stats)
    : executor_(std::move(executor)),
      options_(std::move(options)),
      own_stats_(stats == nullptr ? std::make_unique<StatsRegistry>() : nullptr),
      stats_(stats == nullptr ? *own_stats_ : *stats),
      strand_(asio::make_strand(runtime.io().get_executor())),
      acceptor_(strand_),
      random_(std::random_device()()) {}

absl::StatusOr<std::string> PeerHub::Bind() {
  const absl::StatusOr<Tcp::endpoint> endpoint = ParseEndpoint(options_.listen);
  if (!endpoint.ok()) return endpoint.status();
  boost::system::error_code error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error) acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(*endpoint, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return absl::UnavailableError(
        fmt::format("can't listen on {}: {}", options_.listen, error.message()));
  }
  return FormatEndpoint(acceptor_.local_endpoint());
}

void PeerHub::Start() {
  asio::co_spawn(
      strand_, [self = shared_from_this()] { return self->Accept(); }, asio::detached);
}

void PeerHub::Stop() {
  asio::post(strand_, [self = shared_from_this()] {
    self->stopped_ = true;
    boost::system::error_code ignored;
    self->acceptor_.close(ignored);
    for (const ConnectionPointer& connection : self->connections_) connection->Close();
    for (auto& [node, peer] : self->peers_) peer.backoff_timer.cancel();
  });
}

void PeerHub::Send(NodeId to, PeerMessage message) {
  if (message.payload.size() > options_.max_frame_bytes) {
    stats_.CountDropped("too-large");
    return;
  }
  if (to == options_.self) {
    executor_->Post([self = shared_from_this(), message = std::move(message)] {
      if (self->receiver != nullptr) self->receiver->Receive(self->options_.self, message);
    });
    return;
  }
  stats_.CountQueued(message.kind, message.payload.size());
  std::string frame = EncodeFrame(static_cast<uint8_t>(message.kind), message.payload);
  asio::post(strand_,
             [self = shared_from_this(), to = std::move(to), frame = std::move(frame)]() mutable {
               self->Enqueue(to, std::move(frame));
             });
}

void PeerHub::SetAddress(NodeId node, std::string address) {
  asio::post(strand_, [self = shared_from_this(), node = std::move(node),
                       address = std::move(address)]() mutable {
    Peer& peer = self->PeerOf(node);
    if (peer.address == address) return;
    peer.address = std::move(address);
    peer.backoff = Duration(0);
    peer.backoff_timer.cancel();
    if (peer.connection && peer.connection->dialled) peer.connection->Close();
  });
}

PeerHub::Peer& PeerHub::PeerOf(const NodeId& node) {
  return peers_.try_emplace(node, asio::any_io_executor(strand_)).first->second;
}

void PeerHub::Enqueue(const NodeId& to, std::string frame) {
  if (stopped_) return;
  Peer& peer = PeerOf(to);
  if (!peer.connection && peer.address.empty()) return RecordDropped(to, peer, "unknown-node", 1);
  if (peer.queue.size() >= options_.max_queue_messages ||
      peer.queue_bytes + frame.size() > options_.max_queue_bytes) {
    return RecordDropped(to, peer, "queue-full", 1);
  }
  if (queued_bytes_ + frame.size() > options_.max_queued_bytes) {
    return RecordDropped(to, peer, "queues-full", 1);
  }
  queued_bytes_ += frame.size();
  peer.queue_bytes += frame.size();
  peer.queue.push_back(std::move(frame));
  if (peer.connection) {
    peer.connection->write_wake_timer.cancel();
  } else if (!peer.dialling) {
    peer.dialling = true;
    asio::co_spawn(
        strand_, [self = shared_from_this(), to] { return self->Dial(to); }, asio::detached);
  }
}

void PeerHub::RecordDropped(const NodeId& node, Peer& peer, const std::string& reason,
                            size_t count) {
  stats_.CountDropped(reason, count);
  peer.dropped += count;
  const SteadyTime now = std::chrono::steady_clock::now();
  if (peer.drop_logged_at && now - *peer.drop_logged_at < kDropLogInterval) return;
  LogEvent(EventId::kPeerMessagesDropped, "node={} address={} reason={} count={}", node,
           peer.address, reason, peer.dropped);
  peer.drop_logged_at = now;
  peer.dropped = 0;
}

void PeerHub::DropQueue(const NodeId& node, Peer& peer, const std::string& reason) {
  if (!peer.queue.empty()) RecordDropped(node, peer, reason, peer.queue.size());
  peer.queue.clear();
  queued_bytes_ -= peer.queue_bytes;
  peer.queue_bytes = 0;
}

std::string PeerHub::TakeBatch(Peer& peer) {
  std::string batch;
  while (!peer.queue.empty() && (batch.empty() || batch.size() < kBatchBytes)) {
    peer.queue_bytes -= peer.queue.front().size();
    queued_bytes_ -= peer.queue.front().size();
    batch += peer.queue.front();
    peer.queue.pop_front();
    stats_.messages_sent.Add();
  }
  return batch;
}

asio::awaitable<void> PeerHub::Accept() {
  const auto self = shared_from_this();
  asio::steady_timer pause(strand_);
  while (!stopped_) {
    auto [error, socket] = co_await acceptor_.async_accept(kUseTuple);
    if (error || connections_.size() >= kMaxConnections) {
      if (stopped_ || !acceptor_.is_open()) co_return;
      pause.expires_after(kAcceptRetryDelay);
      co_await pause.async_wait(kUseTuple);
      continue;
    }
    const auto connection = std::make_shared<PeerConnection>(std::move(socket), false);
    Track(connection);
    asio::co_spawn(
        strand_, [self, connection] { return self->ServeAccepted(connection); }, asio::detached);
  }
}

asio::awaitable<void> PeerHub::ServeAccepted(ConnectionPointer connection) {
  const auto self = shared_from_this();
  SetSocketOptions(connection->socket, options_.unacknowledged_timeout);
  const bool hello_accepted = co_await ReadHello(connection) && co_await SendHello(connection);
  if (!hello_accepted || stopped_) {
    Forget(connection);
    co_return;
  }
  Adopt(connection);
}

asio::awaitable<void> PeerHub::Dial(NodeId node) {
  const auto self = shared_from_this();
  Peer& peer = PeerOf(node);
  if (peer.backoff > Duration(0)) {
    peer.backoff_timer.expires_after(peer.backoff);
    co_await peer.backoff_timer.async_wait(kUseTuple);
  }
  if (!stopped_ && !peer.connection) {
    stats_.dials.Add();
    const ConnectionPointer connection = co_await Connect(node, peer.address);
    if (connection && !stopped_) {
      peer.backoff = Duration(0);
      Adopt(connection);
    } else if (!peer.connection) {
      stats_.dials_failed.Add();
      DropQueue(node, peer, "not-connected");
      peer.backoff = NextBackoff(peer);
    }
  }
  peer.dialling = false;
}

Duration PeerHub::NextBackoff(Peer& peer) {
  const Duration full = std::clamp(peer.backoff * 2, options_.min_backoff, options_.max_backoff);
  return DrawDuration(random_, full / 2, full);
}

asio::awaitable<PeerHub::ConnectionPointer> PeerHub::Connect(NodeId node, std::string address) {
  const absl::StatusOr<Tcp::endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint.ok()) co_return nullptr;
  const auto connection = std::make_shared<PeerConnection>(Tcp::socket(strand_), true);
  connection->node = node;
  Track(connection);
  CloseAfter(connection, options_.connect_timeout);
  const auto [error] = co_await connection->socket.async_connect(*endpoint, kUseTuple);
  connection->watchdog.cancel();
  if (!error && !connection->closed) {
    SetSocketOptions(connection->socket, options_.unacknowledged_timeout);
    ProbeWhileIdle(connection->socket);
    if (co_await SendHello(connection) && co_await ReadHello(connection)) co_return connection;
  }
  Forget(connection);
  co_return nullptr;
}

asio::awaitable<bool> PeerHub::SendHello(ConnectionPointer connection) {
  WireArena arena;
  millstair_Hello hello = millstair_Hello_init_zero;
  hello.protocol_version = kPeerProtocolVersion;
  hello.cluster_id = arena.NewString(options_.cluster_id);
  hello.node = arena.NewString(options_.self.value());
  hello.incarnation = options_.incarnation.value();
  hello.takes_compressed = true;
  const std::string frame = EncodeFrame(kHelloKind, EncodeNanopb(millstair_Hello_fields, &hello));
  const auto [error, count] =
      co_await asio::async_write(connection->socket, asio::buffer(frame), kUseTuple);
  stats_.bytes_sent.Add(count);
  co_return !error;
}

asio::awaitable<bool> PeerHub::ReadHello(ConnectionPointer connection) {
  CloseAfter(connection, options_.hello_timeout);
  std::array<char, 1024> bytes;
  std::optional<Frame> frame;
  while (!(frame = connection->reader.Next()).has_value()) {
    if (connection->reader.fault() != FrameFault::kNone) break;
    const auto [error, count] =
        co_await connection->socket.async_read_some(asio::buffer(bytes), kUseTuple);
    if (error) break;
    stats_.bytes_received.Add(count);
    connection->reader.Add({bytes.data(), count});
  }
  connection->watchdog.cancel();
  if (frame.has_value()) co_return AcceptHello(*connection, *frame);
  CountFault(*connection, true);
  co_return false;
}

bool PeerHub::AcceptHello(PeerConnection& connection, const Frame& frame) {
  const auto refuse = [this](const std::string& reason) {
    stats_.CountRefused(reason);
    return false;
  };
  if (frame.kind != kHelloKind) return refuse("no-hello");
  const auto hello = DecodedMessage<millstair_Hello>::Decode(millstair_Hello_fields, frame.payload);
  if (!hello.ok()) return refuse("bad-hello");
  if ((*hello)->protocol_version != kPeerProtocolVersion) return refuse("other-version");
  if (ToString((*hello)->cluster_id) != options_.cluster_id) return refuse("other-cluster");
  const NodeId node(ToString((*hello)->node));
  if (node.value().empty() || node == options_.self) return refuse("bad-node");
  if (connection.dialled && node != connection.node) return refuse("other-node");
  connection.node = node;
  connection.incarnation = Incarnation((*hello)->incarnation);
  connection.takes_compressed = (*hello)->takes_compressed;
  return true;
}

bool PeerHub::Crossed(const PeerConnection& connection, const PeerConnection& other) const {
  return connection.dialled != other.dialled && connection.incarnation == other.incarnation;
}

bool PeerHub::LosesTo(const PeerConnection& connection, const PeerConnection& other) const {
  if (!Crossed(connection, other)) return false;
  // The connection dialled by the node with the smaller name stays.
  return connection.dialled == (connection.node < options_.self);
}

void PeerHub::Adopt(const ConnectionPointer& connection) {
  connection->reader.SetMaxPayload(options_.max_frame_bytes);
  Peer& peer = PeerOf(connection->node);
  const ConnectionPointer older = peer.connection;
  const bool loses = older && LosesTo(*connection, *older);
  const auto self = shared_from_this();
  asio::co_spawn(
      strand_, [self, connection] { return self->ReadFrames(connection); }, asio::detached);
  // Of two crossed connections, each node closes only the one that it dialled itself.
  if (loses) {
    if (connection->dialled) Retire(connection);
    return;
  }
  peer.connection = connection;
  peer.backoff_timer.cancel();
  LogEvent(EventId::kPeerConnected, "node={} dialled={}", connection->node, connection->dialled);
  asio::co_spawn(
      strand_, [self, connection] { return self->WriteQueue(connection); }, asio::detached);
  if (!older) return;
  if (!Crossed(*connection, *older)) return older->Close();
  older->retiring = older->dialled;
  older->write_wake_timer.cancel();
}

void PeerHub::Retire(const ConnectionPointer& connection) {
  boost::system::error_code ignored;
  connection->socket.shutdown(Tcp::socket::shutdown_send, ignored);
  CloseAfter(connection, options_.hello_timeout);
}

asio::awaitable<void> PeerHub::ReadFrames(ConnectionPointer connection) {
  const auto self = shared_from_this();
  std::vector<char> bytes(kReadBytes);
  bool ended = false;
  while (!connection->closed) {
    std::deque<Frame> frames;
    while (std::optional<Frame> frame = connection->reader.Next()) {
      if (frame->kind == kHelloKind) {
        stats_.CountRefused("second-hello");
        connection->Close();
        break;
      }
      if (frame->kind != kCompressedKind) {
        frames.push_back(*std::move(frame));
      } else if (!Unpack(frame->payload, frames)) {
        stats_.CountRefused("bad-compressed");
        connection->Close();
        break;
      }
    }
    if (!frames.empty()) co_await Deliver(connection, std::move(frames));
    if (connection->closed || connection->reader.fault() != FrameFault::kNone) break;
    const auto [error, count] =
        co_await connection->socket.async_read_some(asio::buffer(bytes), kUseTuple);
    if (error) {
      ended = true;
      RecordEnd(*connection, error);
      break;
    }
    connection->received_at = std::chrono::steady_clock::now();
    stats_.bytes_received.Add(count);
    connection->reader.Add({bytes.data(), count});
  }
  if (!connection->closed) CountFault(*connection, ended);
  Forget(connection);
}

bool PeerHub::Unpack(const std::string& payload, std::deque<Frame>& frames) {
  const size_t limit = kBatchBytes + options_.max_frame_bytes + kFrameHeaderBytes;
  const auto bytes = compression_.Decompress(payload, limit);
  if (!bytes.ok()) return false;
  FrameReader reader(options_.max_frame_bytes);
  reader.Add(*bytes);
  while (std::optional<Frame> frame = reader.Next()) {
    if (!IsMessageKind(frame->kind)) return false;
    frames.push_back(*std::move(frame));
  }
  return reader.fault() == FrameFault::kNone && !reader.partial();
}

asio::awaitable<void> PeerHub::Deliver(ConnectionPointer connection, std::deque<Frame> frames) {
  const auto self = shared_from_this();
  stats_.messages_received.Add(frames.size());
  connection->delivered = false;
  executor_->Post([self, connection, frames = std::move(frames)]() mutable {
    for (Frame& frame : frames) {
      if (self->receiver == nullptr) break;
      self->receiver->Receive(connection->node, PeerMessage{static_cast<MessageKind>(frame.kind),
                                                            std::move(frame.payload)});
    }
    asio::post(self->strand_, [connection] {
      connection->delivered = true;
      connection->delivered_timer.cancel();
    });
  });
  // Reading continues once these frames were processed, so that a slow node applies backpressure.
  while (!connection->delivered && !connection->closed) {
    connection->delivered_timer.expires_at(SteadyTime::max());
    co_await connection->delivered_timer.async_wait(kUseTuple);
  }
}

asio::awaitable<void> PeerHub::WriteQueue(ConnectionPointer connection) {
  const auto self = shared_from_this();
  Peer& peer = PeerOf(connection->node);
  while (!connection->closed && peer.connection == connection) {
    const std::string batch = TakeBatch(peer);
    if (batch.empty()) {
      connection->write_wake_timer.expires_at(SteadyTime::max());
      co_await connection->write_wake_timer.async_wait(kUseTuple);
      continue;
    }
    const auto compressed =
        connection->takes_compressed ? compression_.Compress(batch) : std::nullopt;
    const std::string& bytes = compressed ? *compressed : batch;
    CloseAfter(connection, options_.write_timeout);
    const auto [error, count] =
        co_await asio::async_write(connection->socket, asio::buffer(bytes), kUseTuple);
    connection->watchdog.cancel();
    stats_.bytes_sent.Add(count);
    if (error) break;
  }
  if (peer.connection == connection) {
    Forget(connection);
    co_return;
  }
  if (connection->retiring && !connection->closed) Retire(connection);
}

void PeerHub::CountFault(const PeerConnection& connection, bool ended) {
  switch (connection.reader.fault()) {
    case FrameFault::kTooLarge:
      return stats_.CountRefused("too-large");
    case FrameFault::kEmpty:
      return stats_.CountRefused("empty");
    case FrameFault::kUnknownKind:
      return stats_.CountRefused("unknown-kind");
    case FrameFault::kNone:
      break;
  }
  if (ended && connection.reader.partial()) stats_.CountRefused("truncated");
}

void PeerHub::RecordEnd(const PeerConnection& connection, const boost::system::error_code& error) {
  if (connection.closed || error == asio::error::eof) return;
  stats_.connections_lost.Add();
  const auto silence = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() -
                                                            connection.received_at);
  LogEvent(EventId::kPeerConnectionLost, "node={} dialled={} silent_ms={} error=\"{}\"",
           connection.node, connection.dialled, ToMilliseconds(silence), error.message());
}

void PeerHub::Track(const ConnectionPointer& connection) {
  connections_.insert(connection);
  stats_.connections.Set(static_cast<double>(connections_.size()));
}

void PeerHub::Forget(const ConnectionPointer& connection) {
  connection->Close();
  connections_.erase(connection);
  stats_.connections.Set(static_cast<double>(connections_.size()));
  const auto peer = peers_.find(connection->node);
  if (peer == peers_.end() || peer->second.connection != connection) return;
  peer->second.connection = nullptr;
  // A dial in progress may still send the queue.
  if (!peer->second.dialling) DropQueue(peer->first, peer->second, "disconnected");
  LogEvent(EventId::kPeerDisconnected, "node={}", connection->node);
}

void PeerHub::CloseAfter(const ConnectionPointer& connection, Duration timeout) {
  connection->watchdog.expires_after(timeout);
  connection->watchdog.async_wait(
      [weak = std::weak_ptr<PeerConnection>(connection)](const boost::system::error_code& error) {
        const ConnectionPointer alive = weak.lock();
        if (!error && alive) alive->Close();
      });
}

}  // namespace millstair
