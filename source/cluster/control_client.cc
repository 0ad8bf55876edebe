#include "cluster/control_client.h"

#include <map>
#include <utility>

#include "cluster/control_endpoints.h"
#include "cluster/group_client.h"

namespace millstair {
namespace {

/// One GroupClient for each group; all of them use the same control nodes, which forward commands
/// to leaders.
class GroupsControlClient : public ControlClient {
 public:
  GroupsControlClient(Environment& environment, PeerTransport& transport,
                      std::vector<ControlEndpoint> control_nodes, const Zone& own_zone)
      : environment_(environment), transport_(transport) {
    const ControlEndpoints endpoints(std::move(control_nodes), own_zone, environment.Random());
    for (const ControlEndpoint& endpoint : endpoints.all()) {
      transport_.SetAddress(endpoint.node, endpoint.address);
      nodes_.push_back(endpoint.node);
    }
  }

  void Submit(const GroupId& group, CommandMode mode, std::string command, Duration timeout,
              Callback done) override {
    auto& client = clients_[group];
    if (client == nullptr) {
      client = std::make_unique<GroupClient>(environment_, transport_, group,
                                             [this, group] { return Candidates(group); });
    }
    client->Submit(mode, std::move(command), timeout, std::move(done));
  }

  void Receive(const NodeId& from, const PeerMessage& message) override {
    if (message.kind != MessageKind::kCommandReply) return;
    for (const auto& [group, client] : clients_) {
      if (client->Receive(from, message)) return;
    }
  }

  void SetKnownLeader(KnownLeader leader) override { known_leader_ = std::move(leader); }

 private:
  std::vector<NodeId> Candidates(const GroupId& group) const {
    std::vector<NodeId> candidates;
    const auto leader = known_leader_ ? known_leader_(group) : std::nullopt;
    if (leader) candidates.push_back(*leader);
    for (const NodeId& node : nodes_) {
      if (node != leader) candidates.push_back(node);
    }
    return candidates;
  }

  Environment& environment_;
  PeerTransport& transport_;
  /// In the order of attempts.
  std::vector<NodeId> nodes_;
  std::map<GroupId, std::unique_ptr<GroupClient>> clients_;
  KnownLeader known_leader_;
};

}  // namespace

std::unique_ptr<ControlClient> MakeControlClient(Environment& environment, PeerTransport& transport,
                                                 const NodeId&,
                                                 std::vector<ControlEndpoint> control_nodes,
                                                 const Zone& own_zone) {
  return std::make_unique<GroupsControlClient>(environment, transport, std::move(control_nodes),
                                               own_zone);
}

}  // namespace millstair
