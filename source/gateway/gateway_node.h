/// The gateway role of a node: live traffic, the trainer service, rollout work, engine observation.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster/configuration_client.h"
#include "cluster/control_client.h"
#include "common/environment.h"
#include "common/peer_transport.h"
#include "common/stats.h"
#include "engine/engine_types.h"
#include "gateway/gateway_faults.h"
#include "http/exchange.h"
#include "rollout/stream_faults.h"
#include "routing/router.h"

namespace millstair {

struct GatewayTiming {
  Duration report_poll = std::chrono::milliseconds(250);
  Duration work_poll = std::chrono::milliseconds(200);
  /// Live requests that still run this long after the start of a drain are aborted.
  Duration drain_limit = std::chrono::seconds(120);
};

struct GatewayNodeOptions {
  NodeRecord self;
  std::vector<ControlEndpoint> control_nodes;
  ConfigurationTiming configuration_timing;
  GatewayTiming timing;
  RoutingPolicy routing_policy = RoutingPolicy::kEstimate;
  /// Tail handling: early issue of long samples, moves, re-issue. Benchmarks turn it off.
  bool tail_handling = true;
  /// Injected by tests and the simulator; all off in production.
  GatewayFaults faults;
  StreamFaults stream_faults;
  /// Receives the gateway's metrics; null publishes none. Must outlive the node.
  StatsRegistry* stats = nullptr;
};

/// Lives on the node's serial executor.
class GatewayNode : public PeerReceiver, public RequestHandler {
 public:
  virtual void Start() = 0;
  /// False while draining, without a configuration, or without a lease.
  virtual bool Ready() const = 0;
  /// Refuses new work, finishes or hands over running work, then calls `done`.
  virtual void Drain(std::function<void()> done) = 0;
  virtual const Configuration& configuration() const = 0;
};

std::unique_ptr<GatewayNode> MakeGatewayNode(Environment& environment, PeerTransport& transport,
                                             EngineClient& engines, HttpCaller& http,
                                             GatewayNodeOptions options);

}  // namespace millstair
