/// Creates the state machine and the leader of stream groups on a control node.
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
  /// How long a new leader collects reports of running attempts before it grants any.
  Duration settle = std::chrono::seconds(1);
  /// False grants samples in order without holds, restarts or hedges; for benchmarks.
  bool tail_handling = true;
};

/// `environment` and `transport` must outlive the factory and everything it creates. A leader must
/// be destroyed before its group and state machine.
std::unique_ptr<StreamFactory> MakeStreamFactory(Environment& environment, PeerTransport& transport,
                                                 StreamLeaderOptions options = {},
                                                 StreamFaults faults = {});

}  // namespace millstair
