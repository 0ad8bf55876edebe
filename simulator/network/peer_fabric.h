/// Messages between the system's own nodes over the simulated network.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "common/peer_transport.h"
#include "simulator/network/network.h"

namespace millstair::simulator {

/// Delivers to whichever process runs under a node's name. In order between two nodes, unless the
/// network reorders; lost while the link is cut or the receiver is down.
class PeerFabric {
 public:
  explicit PeerFabric(Network& network) : network_(network) {}

  /// The node's place; for its whole run.
  void AddNode(const NodeId& node, const std::string& address, HostId host);
  /// The node's process started (or ended, with null). `receiver` must stay until replaced.
  void SetReceiver(const NodeId& node, PeerReceiver* receiver);

  /// A transport for one process of `node`; messages sent through it after the process was
  /// replaced or ended are dropped.
  std::unique_ptr<PeerTransport> MakeTransport(const NodeId& node);

  uint64_t messages() const { return messages_; }
  uint64_t bytes() const { return bytes_; }

 private:
  friend class FabricTransport;

  struct Node {
    HostId host;
    std::string address;
    PeerReceiver* receiver = nullptr;
    /// Counts processes under this name.
    uint64_t incarnation = 0;
    /// Nodes that this process has an address of or was dialled by.
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
