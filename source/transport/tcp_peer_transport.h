/// PeerTransport over TCP: length-framed messages, one connection per pair of nodes.
///
/// A connection is opened on demand and used in both directions, so nodes that dialled this one are
/// reachable without an address. Each side first sends a hello (protocol version, cluster, node); a
/// mismatch is refused and counted. Queues are bounded: messages beyond the limit are dropped,
/// which decision code must tolerate anyway.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "common/ids.h"
#include "common/peer_transport.h"
#include "common/stats.h"
#include "common/time.h"
#include "runtime/runtime.h"

namespace millstair {

/// Version of the protocol between nodes; must be equal on both sides.
inline constexpr uint32_t kPeerProtocolVersion = 1;

struct PeerTransportOptions {
  NodeId self;
  Incarnation incarnation;
  std::string cluster_id;
  /// "ip:port"; port 0 picks a free one.
  std::string listen = "127.0.0.1:0";
  size_t max_frame_bytes = 16 * 1024 * 1024;
  /// Maximum bytes queued per peer.
  size_t max_queue_bytes = 32 * 1024 * 1024;
  /// Maximum bytes queued for all peers together.
  size_t max_queued_bytes = 64 * 1024 * 1024;
  size_t max_queue_messages = 16384;
  /// Together with `max_backoff` this bounds how long a machine that returns is not dialled: its
  /// first packets may have been lost before.
  Duration connect_timeout = std::chrono::seconds(1);
  Duration hello_timeout = std::chrono::seconds(3);
  /// A connection is closed if the peer's machine acknowledges nothing for this long, neither bytes
  /// sent nor probes of an idle connection. After a loss of power a machine need not reset the
  /// connections that it had before.
  Duration unacknowledged_timeout = std::chrono::milliseconds(1500);
  /// A connection whose write takes longer is closed.
  Duration write_timeout = std::chrono::seconds(5);
  /// Delay before the next attempt to connect: doubles from min to max, with jitter.
  Duration min_backoff = std::chrono::milliseconds(50);
  Duration max_backoff = std::chrono::milliseconds(500);
};

class PeerHub;

/// Created, used and destroyed on the serial executor, or while that does not run.
class TcpPeerTransport : public PeerTransport {
 public:
  /// Starts to listen. `stats` outlives the runtime, and may be null. InvalidArgument for an
  /// invalid address, Unavailable if it can't be bound.
  static absl::StatusOr<std::unique_ptr<TcpPeerTransport>> Listen(
      Runtime& runtime, std::shared_ptr<SerialExecutor> executor, PeerTransportOptions options,
      StatsRegistry* stats = nullptr);
  ~TcpPeerTransport() override;

  /// Sets the receiver, which is called on the executor. Without one, messages are dropped.
  void SetReceiver(PeerReceiver* receiver);
  void Send(const NodeId& to, PeerMessage message) override;
  void SetAddress(const NodeId& node, const std::string& address) override;

  /// The listening address with the actual port.
  const std::string& address() const { return address_; }

 private:
  TcpPeerTransport(std::shared_ptr<PeerHub> hub, std::string address);

  std::shared_ptr<PeerHub> hub_;
  std::string address_;
};

}  // namespace millstair
