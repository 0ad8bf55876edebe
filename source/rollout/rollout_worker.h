/// The rollout worker of a gateway: leases attempts for the free slots of its engines, generates,
/// scores and appends samples.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "cluster/configuration_client.h"
#include "cluster/control_client.h"
#include "common/environment.h"
#include "common/peer_transport.h"
#include "engine/engine_types.h"
#include "http/exchange.h"
#include "rollout/stream_faults.h"
#include "routing/engine_placement.h"

namespace millstair {

struct RolloutWorkerOptions {
  NodeId self;
  Zone zone;
  std::vector<ControlEndpoint> control_nodes;
  /// Interval between requests for work while the gateway is busy and has free slots.
  Duration work_poll = std::chrono::milliseconds(200);
  /// Interval between requests otherwise. Leaders push work that becomes available in between.
  Duration idle_poll = std::chrono::seconds(1);
  /// False disables moving stragglers to other engines; for benchmarks.
  bool tail_handling = true;
  StreamFaults faults;
};

/// Counters since the start, for metrics.
struct RolloutCounts {
  uint64_t attempts_started = 0;
  uint64_t samples_appended = 0;
  uint64_t samples_refused = 0;
  uint64_t samples_voided = 0;
  uint64_t attempts_returned = 0;
  uint64_t attempts_cancelled = 0;
  uint64_t resumed_elsewhere = 0;
  uint64_t stragglers_moved = 0;
  uint64_t scorings_failed = 0;
  uint64_t tokens = 0;
};

/// Lives on the node's serial executor.
class RolloutWorker {
 public:
  virtual ~RolloutWorker() = default;
  virtual void Start() = 0;
  /// Handles messages of kind kWorkReply.
  virtual void Receive(const NodeId& from, const PeerMessage& message) = 0;
  /// Accepts no new work, returns unfinished attempts with their tokens, completes the scoring and
  /// appending of finished ones, then calls `done`. Bounded in time.
  virtual void Drain(std::function<void()> done) = 0;
  virtual const RolloutCounts& counts() const = 0;
  /// Number of running attempts.
  virtual uint32_t running() const = 0;
};

/// All references must outlive the worker.
std::unique_ptr<RolloutWorker> MakeRolloutWorker(Environment& environment, PeerTransport& transport,
                                                 EngineClient& engines, HttpCaller& http,
                                                 EnginePlacement& placement, ControlClient& control,
                                                 ConfigurationClient& configuration,
                                                 RolloutWorkerOptions options);

}  // namespace millstair
