/// Messages between the system's nodes over the simulated network.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "common/peer_transport.h"
#include "simulator/network/network.h"

namespace millstair::simulator {

/// Delivers to the current process of a node. Messages between two nodes keep their order unless
/// the network reorders them; they are lost while the link is cut or the receiver is down.
class PeerFabric {
 public:
  explicit PeerFabric(Network& network) : network_(network) {}

  /// Assigns a node to a host for the whole run.
  void AddNode(const NodeId& node, const std::string& address, HostId host);
  /// Sets the receiver of the node's process, null when it ended. Must stay valid until replaced.
  void SetReceiver(const NodeId& node, PeerReceiver* receiver);

  /// Makes the transport for a new process of `node`; the transports of earlier processes drop
  /// their messages from then on.
  std::unique_ptr<PeerTransport> MakeTransport(const NodeId& node);

  uint64_t messages() const { return messages_; }
  uint64_t bytes() const { return bytes_; }

 private:
  friend class FabricTransport;

  struct Node {
    HostId host;
    std::string address;
    PeerReceiver* receiver = nullptr;
    /// Counts the processes of this node.
    uint64_t incarnation = 0;
    /// Nodes whose address this process knows or that have sent to it.
    std::set<NodeId> known;
    std::map<NodeId, Duration> last_arrival;
  };

  void Send(const NodeId& from, uint64_t incarnation, const NodeId& to, PeerMessage message);
  void Launch(Node& sender, const NodeId& from, const NodeId& to, PeerMessage message);
  void Deliver(const NodeId& from, const NodeId& to, const PeerMessage& message);

  Network& network_;
  std::map<NodeId, Node> nodes_;
  uint64_t messages_ = 0;
  uint64_t bytes_ = 0;
};

}  // namespace millstair::simulator
