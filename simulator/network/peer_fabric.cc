#include "simulator/network/peer_fabric.h"

#include <algorithm>
#include <utility>

#include "common/random.h"

namespace millstair::simulator {

/// Transport of one process.
class FabricTransport : public PeerTransport {
 public:
  FabricTransport(PeerFabric& fabric, NodeId self, uint64_t incarnation)
      : fabric_(fabric), self_(std::move(self)), incarnation_(incarnation) {}

  void Send(const NodeId& to, PeerMessage message) override {
    fabric_.Send(self_, incarnation_, to, std::move(message));
  }

  void SetAddress(const NodeId& node, const std::string& address) override {
    const auto known = fabric_.nodes_.find(node);
    // A stale address is not reachable.
    if (known == fabric_.nodes_.end() || known->second.address != address) return;
    PeerFabric::Node& own = fabric_.nodes_.at(self_);
    if (own.incarnation == incarnation_) own.known.insert(node);
  }

 private:
  PeerFabric& fabric_;
  NodeId self_;
  uint64_t incarnation_;
};

void PeerFabric::AddNode(const NodeId& node, const std::string& address, HostId host) {
  Node& added = nodes_[node];
  added.host = host;
  added.address = address;
}

void PeerFabric::SetReceiver(const NodeId& node, PeerReceiver* receiver) {
  Node& changed = nodes_.at(node);
  changed.receiver = receiver;
}

std::unique_ptr<PeerTransport> PeerFabric::MakeTransport(const NodeId& node) {
  Node& own = nodes_.at(node);
  ++own.incarnation;
  own.known.clear();
  own.last_arrival.clear();
  return std::make_unique<FabricTransport>(*this, node, own.incarnation);
}

void PeerFabric::Send(const NodeId& from, uint64_t incarnation, const NodeId& to,
                      PeerMessage message) {
  Node& sender = nodes_.at(from);
  const auto target = nodes_.find(to);
  if (sender.incarnation != incarnation || target == nodes_.end()) return;
  if (from != to && !sender.known.contains(to)) return;
  ++messages_;
  bytes_ += message.payload.size();
  const HostId target_host = target->second.host;
  if (from != to && !network_.Open(sender.host, target_host)) return;
  const LinkQuality quality = network_.Quality(sender.host, target_host);
  RandomEngine& random = network_.scheduler().Random();
  if (DrawChance(random, quality.loss)) return;
  if (DrawChance(random, quality.duplicate)) Launch(sender, from, to, message);
  Launch(sender, from, to, std::move(message));
}

void PeerFabric::Launch(Node& sender, const NodeId& from, const NodeId& to, PeerMessage message) {
  VirtualScheduler& scheduler = network_.scheduler();
  const HostId target_host = nodes_.at(to).host;
  Duration arrival = scheduler.Now() + network_.DrawLatency(sender.host, target_host);
  const LinkQuality quality = network_.Quality(sender.host, target_host);
  if (!DrawChance(scheduler.Random(), quality.reorder)) {
    Duration& last = sender.last_arrival[to];
    arrival = std::max(arrival, last);
    last = arrival;
  }
  scheduler.Schedule(arrival - scheduler.Now(), [this, from, to, message = std::move(message)] {
    Deliver(from, to, message);
  });
}

void PeerFabric::Deliver(const NodeId& from, const NodeId& to, const PeerMessage& message) {
  Node& target = nodes_.at(to);
  if (target.receiver == nullptr) return;
  target.known.insert(from);
  target.receiver->Receive(from, message);
}

}  // namespace millstair::simulator
