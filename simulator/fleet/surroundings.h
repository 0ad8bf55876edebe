/// What every party of a run is built on.
#pragma once

#include <cstdint>

#include "common/random.h"
#include "common/virtual_environment.h"
#include "simulator/checks/history.h"
#include "simulator/network/engine_fabric.h"
#include "simulator/network/http_fabric.h"
#include "simulator/network/network.h"
#include "simulator/network/peer_fabric.h"

namespace millstair::simulator {

/// Outlives all parties.
struct Surroundings {
  VirtualScheduler& scheduler;
  Network& network;
  HttpFabric& http;
  PeerFabric& peers;
  EngineFabric& engines;
  checks::History& history;

  Duration Now() const { return scheduler.Now(); }
  /// A seed for a part of the run.
  uint64_t DrawSeed() { return scheduler.Random()(); }
};

}  // namespace millstair::simulator
