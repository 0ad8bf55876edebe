/// What every party of a run is built on.
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

/// Outlives all parties.
struct RunContext {
  VirtualScheduler& scheduler;
  Network& network;
  HttpFabric& http;
  PeerFabric& peers;
  EngineFabric& engines;
  checks::History& history;

  Duration Now() const { return scheduler.Now(); }
  /// For a process that starts now on a machine whose time of day is off: the time of day, as the
  /// product numbers lives. Runs begin an hour into it, so that it may be set back.
  Incarnation NewIncarnation(Duration offset) const {
    const Duration time_of_day = std::chrono::hours(1) + Now() + offset;
    return Incarnation(static_cast<uint64_t>(time_of_day.count()));
  }
  /// A seed for a part of the run.
  uint64_t DrawSeed() { return scheduler.Random()(); }
};

}  // namespace millstair::simulator
