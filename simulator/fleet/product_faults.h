/// Faults injected into the product, to verify that the checks detect them.
#pragma once

#include "cluster/cluster_faults.h"
#include "consensus/consensus_faults.h"
#include "gateway/gateway_faults.h"
#include "rollout/stream_faults.h"

namespace millstair::simulator {

struct ProductFaults {
  ConsensusFaults consensus;
  ClusterFaults cluster;
  StreamFaults stream;
  GatewayFaults gateway;
};

}  // namespace millstair::simulator
