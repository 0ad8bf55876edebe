/// Makes the state machine and the leader of stream groups for a control node.
#pragma once

#include <memory>

#include "cluster/control_node.h"
#include "common/environment.h"
#include "common/peer_transport.h"
#include "rollout/attempt_table.h"
#include "rollout/stream_faults.h"

namespace millstair {

struct StreamLeaderOptions {
  AttemptTiming attempts;
  /// How long a new leader listens to what gateways run before it grants attempts.
  Duration settle = std::chrono::seconds(1);
  /// False grants samples in order at once, with no hold, restart or hedge; for the bench.
  bool tail_handling = true;
};

/// `environment` and `transport` must outlive the factory and all that it makes. A leader must be
/// destroyed before its group and state machine.
std::unique_ptr<StreamFactory> MakeStreamFactory(Environment& environment, PeerTransport& transport,
                                                 StreamLeaderOptions options = {},
                                                 StreamFaults faults = {});

}  // namespace millstair
