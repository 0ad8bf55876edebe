/// Sends a node's commands to the leader of a group through any control node.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "cluster/configuration_client.h"
#include "common/environment.h"
#include "common/ids.h"
#include "common/peer_transport.h"

namespace millstair {

/// How the receiving control node treats a command.
enum class CommandMode : uint8_t {
  kPropose = 1,  ///< appended to the group's log; the reply is the state machine's result
  kQuery = 2,    ///< read by the leader after it confirmed its leadership
};

/// Lives on the node's serial executor. Each command carries its own protection against duplicates
/// (session, key, step id, sample id), so an unanswered one is resent until its deadline.
class ControlClient {
 public:
  using Callback = std::function<void(absl::StatusOr<std::string>)>;

  virtual ~ControlClient() = default;
  /// `done` gets the encoded result; DeadlineExceeded means that the outcome is unknown.
  virtual void Submit(const GroupId& group, CommandMode mode, std::string command, Duration timeout,
                      Callback done) = 0;
  /// Messages of kind kCommandReply.
  virtual void Receive(const NodeId& from, const PeerMessage& message) = 0;
  /// The leader of a group as far as this node knows, which is tried first. Unset: no leader is
  /// known.
  using KnownLeader = std::function<std::optional<NodeId>(const GroupId&)>;
  virtual void SetKnownLeader(KnownLeader) {}
};

/// Control nodes of `own_zone` are tried first.
std::unique_ptr<ControlClient> MakeControlClient(Environment& environment, PeerTransport& transport,
                                                 const NodeId& self,
                                                 std::vector<ControlEndpoint> control_nodes,
                                                 const Zone& own_zone = Zone());

}  // namespace millstair
