/// Messages between the processes of the system, as sent by decision code.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/ids.h"

namespace millstair {

/// Type of the payload of a peer message; each kind is one nanopb message of api/.
enum class MessageKind : uint8_t {
  kRaft = 1,               ///< RaftBatch (consensus): messages of all groups between two replicas
  kHeartbeat = 2,          ///< node -> control: liveness, applied revision, backend reports
  kHeartbeatReply = 3,     ///< control -> node: confirmed revision, configuration changes
  kConfigurationPush = 4,  ///< control -> node: configuration changes, no lease
  kCommand = 5,            ///< node -> control: a command for a group
  kCommandReply = 6,       ///< control -> node
  kWorkRequest = 7,        ///< gateway -> stream leader: requests leased attempts
  kWorkReply = 8,          ///< stream leader -> gateway
  kEngineReport = 9,       ///< gateway -> gateways of its zone: observed engine state
};

inline constexpr size_t kMessageKinds = 9;

/// Label of the kind in metrics.
constexpr std::string_view MessageKindName(MessageKind kind) {
  switch (kind) {
    case MessageKind::kRaft:
      return "raft";
    case MessageKind::kHeartbeat:
      return "heartbeat";
    case MessageKind::kHeartbeatReply:
      return "heartbeat-reply";
    case MessageKind::kConfigurationPush:
      return "configuration-push";
    case MessageKind::kCommand:
      return "command";
    case MessageKind::kCommandReply:
      return "command-reply";
    case MessageKind::kWorkRequest:
      return "work-request";
    case MessageKind::kWorkReply:
      return "work-reply";
    case MessageKind::kEngineReport:
      return "engine-report";
  }
  return "unknown";
}

struct PeerMessage {
  MessageKind kind = MessageKind::kRaft;
  /// Encoded nanopb message; each module encodes and decodes its own kinds.
  std::string payload;
};

/// Sends messages to other nodes by name. Delivery is unreliable and may reorder messages across
/// reconnects, so decision code retransmits where needed.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  /// Queues `message`; drops it when `to` is unknown or its queue is full.
  virtual void Send(const NodeId& to, PeerMessage message) = 0;
  /// Sets the address ("ip:port") of `node`. Nodes that dialled this one are reachable without it.
  virtual void SetAddress(const NodeId& node, const std::string& address) = 0;
};

/// Receives messages of other nodes, on the node's serial executor.
class PeerReceiver {
 public:
  virtual ~PeerReceiver() = default;
  virtual void Receive(const NodeId& from, const PeerMessage& message) = 0;
};

}  // namespace millstair
