/// The rollout work of a gateway: leases attempts for the free_slots that its engines have,
/// generates, scores and appends samples.
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
  /// Time between requests for work while there is free_slots and something changes.
  Duration work_poll = std::chrono::milliseconds(200);
  /// Time between requests when nothing changes. Leaders push work that comes up in between.
  Duration idle_poll = std::chrono::seconds(1);
  /// False never moves a straggler to another engine; for the bench.
  bool tail_handling = true;
  StreamFaults faults;
};

/// What the worker did since it started; for metrics.
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
  /// Messages of kind kWorkReply.
  virtual void Receive(const NodeId& from, const PeerMessage& message) = 0;
  /// Takes no new work, gives unfinished attempts back with their tokens, lets finished ones be
  /// scored and appended, then calls `done`. Bounded in time.
  virtual void Drain(std::function<void()> done) = 0;
  virtual const RolloutCounts& counts() const = 0;
  /// Attempts under way.
  virtual uint32_t running() const = 0;
};

/// All references must outlive the worker.
std::unique_ptr<RolloutWorker> MakeRolloutWorker(Environment& environment, PeerTransport& transport,
                                                 EngineClient& engines, HttpCaller& http,
                                                 EnginePlacement& placement, ControlClient& control,
                                                 ConfigurationClient& configuration,
                                                 RolloutWorkerOptions options);

}  // namespace millstair
