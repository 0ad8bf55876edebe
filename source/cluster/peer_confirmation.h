/// Confirmations among gateways, for one that reaches no control node that confirms.
///
/// A gateway whose configuration is confirmed knows how long ago it was the newest. It passes its
/// configuration and that age on, so that the receiver, which counts the age back from the send
/// time of its heartbeat, never believes a configuration to be newer than it was. So gateways that
/// all lost the control nodes cannot keep each other confirmed.
#pragma once

#include <optional>

#include "cluster/configuration.h"
#include "cluster/control_messages.h"
#include "common/environment.h"

namespace millstair {

/// A random live gateway that is not a control node; null if there is none beside `self`.
const NodeRecord* ChooseConfirmingPeer(const Configuration& configuration, const NodeId& self,
                                       RandomEngine& random);

/// The reply to another node's heartbeat. `age`: how long ago `configuration` was last known to be
/// the newest; nullopt if it is not confirmed, so that the heartbeat is refused.
NodeHeartbeatReply ConfirmToPeer(const NodeHeartbeat& heartbeat, const Configuration& configuration,
                                 std::optional<Duration> age);

}  // namespace millstair
