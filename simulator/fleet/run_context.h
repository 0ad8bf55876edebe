/// Shared infrastructure of the parties of a run.
#pragma once

#include <cstdint>

#include "common/ids.h"
#include "common/random.h"
#include "common/virtual_environment.h"
#include "simulator/checks/history.h"
#include "simulator/network/engine_fabric.h"
#include "simulator/network/http_fabric.h"
#include "simulator/network/network.h"
#include "simulator/network/peer_fabric.h"

namespace millstair::simulator {

/// Must outlive all parties of the run.
struct RunContext {
  VirtualScheduler& scheduler;
  Network& network;
  HttpFabric& http;
  PeerFabric& peers;
  EngineFabric& engines;
  checks::History& history;

  Duration Now() const { return scheduler.Now(); }
  /// Incarnation of a process that starts now on a machine with this wall-clock offset; the product
  /// uses the time of day. Runs begin at one hour, so that negative offsets are possible.
  Incarnation NewIncarnation(Duration offset) const {
    const Duration time_of_day = std::chrono::hours(1) + Now() + offset;
    return Incarnation(static_cast<uint64_t>(time_of_day.count()));
  }
  /// Draws a seed for a component of the run.
  uint64_t DrawSeed() { return scheduler.Random()(); }
};

}  // namespace millstair::simulator
