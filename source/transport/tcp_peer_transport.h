/// PeerTransport over TCP: length-framed messages, one connection per pair of nodes.
///
/// A connection is made when there is something to send and none is up, and carries both
/// directions, so nodes that dialled us are reached without an address. Each side first sends a
/// hello (protocol version, cluster, node); whatever does not fit is refused and counted. Queues
/// are bounded: a message that finds no room is dropped, which decision code has to stand anyway.
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

/// Version of the frames and messages between nodes; both sides must have the same.
inline constexpr uint32_t kPeerProtocolVersion = 1;

struct PeerTransportOptions {
  NodeId self;
  Incarnation incarnation;
  std::string cluster_id;
  /// "ip:port"; port 0 picks a free one.
  std::string listen = "127.0.0.1:0";
  size_t max_frame_bytes = 16 * 1024 * 1024;
  /// Per peer.
  size_t max_queue_bytes = 32 * 1024 * 1024;
  /// Of all peers together.
  size_t max_queued_bytes = 64 * 1024 * 1024;
  size_t max_queue_messages = 16384;
  Duration connect_timeout = std::chrono::seconds(2);
  Duration hello_timeout = std::chrono::seconds(3);
  /// Without progress of a write for this long the connection is given up.
  Duration write_timeout = std::chrono::seconds(5);
  /// Wait before the next try to connect: doubles from the first to the last, with jitter.
  Duration min_backoff = std::chrono::milliseconds(50);
  Duration max_backoff = std::chrono::seconds(2);
};

class PeerHub;

/// Made, used and destroyed on the serial executor, or while that does not run.
class TcpPeerTransport : public PeerTransport {
 public:
  /// Listens and hands messages to `receiver`, which is set later by SetReceiver. `stats` outlives
  /// the runtime, and may be null. InvalidArgument for a bad address, Unavailable if it is taken.
  static absl::StatusOr<std::unique_ptr<TcpPeerTransport>> Listen(
      Runtime& runtime, std::shared_ptr<SerialExecutor> executor, PeerTransportOptions options,
      StatsRegistry* stats = nullptr);
  ~TcpPeerTransport() override;

  /// Messages that arrive without a receiver are dropped. It is called on the executor.
  void SetReceiver(PeerReceiver* receiver);
  void Send(const NodeId& to, PeerMessage message) override;
  void SetAddress(const NodeId& node, const std::string& address) override;

  /// Where it listens, with the port picked.
  const std::string& address() const { return address_; }

 private:
  TcpPeerTransport(std::shared_ptr<PeerHub> hub, std::string address);

  std::shared_ptr<PeerHub> hub_;
  std::string address_;
};

}  // namespace millstair
