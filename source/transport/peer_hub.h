/// Connections to all peers of one node. Internal to transport/.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "common/random.h"
#include "transport/frame.h"
#include "transport/frame_compression.h"
#include "transport/peer_stats.h"
#include "transport/tcp_peer_transport.h"

namespace millstair {

/// Maximum frame payload of a peer whose hello was not accepted yet.
inline constexpr size_t kMaxHelloBytes = 4096;

/// One TCP connection to a peer. Lives on the strand of its hub.
struct PeerConnection {
  PeerConnection(boost::asio::ip::tcp::socket connected, bool dialled_by_us)
      : socket(std::move(connected)),
        dialled(dialled_by_us),
        reader(kMaxHelloBytes),
        write_wake_timer(socket.get_executor()),
        delivered_timer(socket.get_executor()),
        watchdog(socket.get_executor()) {}

  void Close() {
    closed = true;
    boost::system::error_code ignored;
    socket.close(ignored);
    write_wake_timer.cancel();
    delivered_timer.cancel();
    watchdog.cancel();
  }

  boost::asio::ip::tcp::socket socket;
  const bool dialled;
  NodeId node;
  Incarnation incarnation;
  /// From the peer's hello.
  bool takes_compressed = false;
  FrameReader reader;
  /// When bytes were received last, or the connection was made.
  std::chrono::steady_clock::time_point received_at = std::chrono::steady_clock::now();
  /// Cancelled to wake the writing coroutine.
  boost::asio::steady_timer write_wake_timer;
  /// Cancelled once the executor has processed the frames read.
  boost::asio::steady_timer delivered_timer;
  boost::asio::steady_timer watchdog;
  bool delivered = true;
  bool closed = false;
  /// Replaced by the other of two crossed connections; retired after its current write.
  bool retiring = false;
};

/// Lives on a strand, except for members marked as used on the executor.
class PeerHub : public std::enable_shared_from_this<PeerHub> {
 public:
  using Tcp = boost::asio::ip::tcp;

  PeerHub(Runtime& runtime, std::shared_ptr<SerialExecutor> executor, PeerTransportOptions options,
          StatsRegistry* stats);

  /// Binds the listener and returns its address. Called first.
  absl::StatusOr<std::string> Bind();

  // From any thread.
  void Start();
  void Stop();
  void Send(NodeId to, PeerMessage message);
  void SetAddress(NodeId node, std::string address);

  /// Used on the executor; messages are dropped while it is null.
  PeerReceiver* receiver = nullptr;
  const PeerTransportOptions& options() const { return options_; }

 private:
  using ConnectionPointer = std::shared_ptr<PeerConnection>;
  using SteadyTime = std::chrono::steady_clock::time_point;

  struct Peer {
    explicit Peer(const boost::asio::any_io_executor& executor) : backoff_timer(executor) {}
    std::string address;
    std::deque<std::string> queue;
    size_t queue_bytes = 0;
    ConnectionPointer connection;
    /// A dial is in progress or waits for its backoff.
    bool dialling = false;
    Duration backoff{0};
    boost::asio::steady_timer backoff_timer;
    /// Messages dropped since they were last logged, and when that was.
    size_t dropped = 0;
    std::optional<SteadyTime> drop_logged_at;
  };

  Peer& PeerOf(const NodeId& node);
  void Enqueue(const NodeId& to, std::string frame);
  void DropQueue(const NodeId& node, Peer& peer, const std::string& reason);
  /// Counts messages that were not sent and logs them, rate-limited per peer.
  void RecordDropped(const NodeId& node, Peer& peer, const std::string& reason, size_t count);
  /// Removes messages from the head of the queue and returns their concatenated bytes.
  std::string TakeBatch(Peer& peer);
  /// Appends the frames of a compressed payload to `frames`; false if it is damaged or contains
  /// anything but messages.
  bool Unpack(const std::string& payload, std::deque<Frame>& frames);

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> ServeAccepted(ConnectionPointer connection);
  boost::asio::awaitable<void> Dial(NodeId node);
  /// Connects to `address` and exchanges hellos; null on failure, with the queue untouched.
  boost::asio::awaitable<ConnectionPointer> Connect(NodeId node, std::string address);
  boost::asio::awaitable<bool> SendHello(ConnectionPointer connection);
  /// Reads the peer's hello; false if it is missing or refused, which is counted.
  boost::asio::awaitable<bool> ReadHello(ConnectionPointer connection);
  bool AcceptHello(PeerConnection& connection, const Frame& frame);

  /// Starts to serve `connection` after the exchange of hellos. It may replace an older one.
  void Adopt(const ConnectionPointer& connection);
  /// Stops sending on `connection`; what the peer sent before is still read.
  void Retire(const ConnectionPointer& connection);
  /// True if the two connections are crossed and `connection` is the one to close.
  bool LosesTo(const PeerConnection& connection, const PeerConnection& other) const;
  /// True if each node dialled one of the two connections, with the peer in the same incarnation.
  /// Independent of timing, so that both nodes agree and never close both connections.
  bool Crossed(const PeerConnection& connection, const PeerConnection& other) const;
  boost::asio::awaitable<void> ReadFrames(ConnectionPointer connection);
  boost::asio::awaitable<void> WriteQueue(ConnectionPointer connection);
  boost::asio::awaitable<void> Deliver(ConnectionPointer connection, std::deque<Frame> frames);
  void CountFault(const PeerConnection& connection, bool ended);
  /// Counts and logs a connection that ended by `error`, unless one of the nodes closed it.
  void RecordEnd(const PeerConnection& connection, const boost::system::error_code& error);
  void Forget(const ConnectionPointer& connection);
  void Track(const ConnectionPointer& connection);
  void CloseAfter(const ConnectionPointer& connection, Duration timeout);
  Duration NextBackoff(Peer& peer);

  const std::shared_ptr<SerialExecutor> executor_;
  const PeerTransportOptions options_;
  std::unique_ptr<StatsRegistry> own_stats_;
  PeerStats stats_;
  FrameCompression compression_;
  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  Tcp::acceptor acceptor_;
  RandomEngine random_;
  std::map<NodeId, Peer> peers_;
  /// Bytes in the queues of all peers. Limited in total, since per-peer limits alone add up with
  /// hundreds of peers.
  size_t queued_bytes_ = 0;
  std::set<ConnectionPointer> connections_;
  bool stopped_ = false;
};

}  // namespace millstair
