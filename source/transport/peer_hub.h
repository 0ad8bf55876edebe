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

/// Until its hello was accepted, a peer may send only this much.
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
  /// As the peer's hello says.
  bool takes_compressed = false;
  FrameReader reader;
  /// Cancelled to wake the writing coroutine.
  boost::asio::steady_timer write_wake_timer;
  /// Cancelled once the executor has taken the frames read.
  boost::asio::steady_timer delivered_timer;
  boost::asio::steady_timer watchdog;
  bool delivered = true;
  bool closed = false;
  /// Given up for the other of two crossed connections once its last write is done.
  bool retiring = false;
};

/// Lives on a strand, except for what is marked as of the executor.
class PeerHub : public std::enable_shared_from_this<PeerHub> {
 public:
  using Tcp = boost::asio::ip::tcp;

  PeerHub(Runtime& runtime, std::shared_ptr<SerialExecutor> executor, PeerTransportOptions options,
          StatsRegistry* stats);

  /// Binds the listener, before anything else. Gives its address.
  absl::StatusOr<std::string> Bind();

  // From any thread.
  void Start();
  void Stop();
  void Send(NodeId to, PeerMessage message);
  void SetAddress(NodeId node, std::string address);

  /// Of the executor; null drops what arrives.
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
    /// A dial is under way, or waits for its time.
    bool dialling = false;
    Duration backoff{0};
    boost::asio::steady_timer backoff_timer;
    /// Messages dropped since the last line about it, and when that was.
    size_t dropped = 0;
    std::optional<SteadyTime> drop_logged_at;
  };

  Peer& PeerOf(const NodeId& node);
  void Enqueue(const NodeId& to, std::string frame);
  void DropQueue(const NodeId& node, Peer& peer, const std::string& reason);
  /// Counts messages that were not sent, and logs it once in a while for each peer.
  void RecordDropped(const NodeId& node, Peer& peer, const std::string& reason, size_t count);
  /// Bytes of the first messages in the queue, joined; empty if there are none.
  std::string TakeBatch(Peer& peer);
  /// Adds the frames of a compressed one; false if it is damaged or holds other than messages.
  bool Unpack(const std::string& payload, std::deque<Frame>& frames);

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> ServeAccepted(ConnectionPointer connection);
  boost::asio::awaitable<void> Dial(NodeId node);
  /// A connection to `address` whose hellos were exchanged; null with the queue untouched if not.
  boost::asio::awaitable<ConnectionPointer> Connect(NodeId node, std::string address);
  boost::asio::awaitable<bool> SendHello(ConnectionPointer connection);
  /// Reads the peer's hello; false, counted, if there is none that fits.
  boost::asio::awaitable<bool> ReadHello(ConnectionPointer connection);
  bool AcceptHello(PeerConnection& connection, const Frame& frame);

  /// Serves `connection`, whose hellos were exchanged, beside or in place of an older one.
  void Adopt(const ConnectionPointer& connection);
  /// Sends nothing more; what the peer has sent already is still read.
  void Retire(const ConnectionPointer& connection);
  /// True if both nodes dialled each other at the same time and ours is the one to be given up.
  bool LosesTo(const PeerConnection& connection, const PeerConnection& other) const;
  /// True if each of two nodes in the same lives dialled one of them. No time enters, so that both
  /// nodes decide alike and never give up both.
  bool Crossed(const PeerConnection& connection, const PeerConnection& other) const;
  boost::asio::awaitable<void> ReadFrames(ConnectionPointer connection);
  boost::asio::awaitable<void> WriteQueue(ConnectionPointer connection);
  boost::asio::awaitable<void> Deliver(ConnectionPointer connection, std::deque<Frame> frames);
  void CountFault(const PeerConnection& connection, bool ended);
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
  /// In the queues of all peers. A bound for each alone let a control node that hundreds of nodes
  /// asked at their start queue 270 MB for them, and end by it.
  size_t queued_bytes_ = 0;
  std::set<ConnectionPointer> connections_;
  bool stopped_ = false;
};

}  // namespace millstair
