/// One hollow node: the real gateway role of a node (configuration client, engine observation,
/// orders, work requests) on real sockets, with hollow engines behind it and no HTTP front.
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "bench/scale/hollow_engines.h"
#include "cluster/control_client.h"
#include "common/stats.h"
#include "gateway/gateway_node.h"
#include "http/exchange.h"
#include "runtime/runtime.h"
#include "runtime/runtime_environment.h"
#include "transport/tcp_peer_transport.h"

namespace millstair {

struct HollowNodeOptions {
  NodeId node;
  Zone zone;
  std::string cluster_id;
  /// Addresses as this node dials them, which may lead through relays.
  std::vector<ControlEndpoint> control_nodes;
  HollowEngineOptions engines;
};

/// Something that a node saw, in microseconds of the machine's steady clock, so that processes of
/// one machine can be compared.
struct SeenRevision {
  Revision revision;
  int64_t at_us = 0;
};
struct SeenGone {
  NodeId node;
  int64_t at_us = 0;
};
struct SeenActivation {
  std::string engine_address;
  WeightVersion version;
  int64_t at_us = 0;
};

/// What a node has seen since it started; the oldest revisions are forgotten.
struct HollowRecord {
  std::vector<SeenRevision> revisions;
  std::vector<SeenGone> gone;
  std::vector<SeenActivation> activations;
  bool ready = false;
};

/// Microseconds of the machine's steady clock.
int64_t SteadyMicroseconds();

/// Refuses every call; hollow nodes have no plain back ends.
class RefusingHttpCaller : public HttpCaller {
 public:
  explicit RefusingHttpCaller(Environment& environment) : environment_(environment) {}
  std::unique_ptr<CallHandle> Start(const std::string& address, HttpRequest request,
                                    HttpCallObserver& observer) override;

 private:
  Environment& environment_;
};

/// Thread-safe outside; what is inside lives on the node's own serial executor.
class HollowNode : private PeerReceiver {
 public:
  /// `runtime` and `stats` outlive the node.
  static absl::StatusOr<std::unique_ptr<HollowNode>> Start(Runtime& runtime, StatsRegistry& stats,
                                                           HollowNodeOptions options);
  /// The node is gone at once, as in a crash.
  ~HollowNode() override;

  const NodeId& node() const { return options_.node; }
  /// Waits for the node's executor.
  HollowRecord Record();

 private:
  explicit HollowNode(HollowNodeOptions options) : options_(std::move(options)) {}
  absl::Status Build(Runtime& runtime, StatsRegistry& stats);
  void Receive(const NodeId& from, const PeerMessage& message) override;
  void NoteConfiguration();
  void NoteActivations();

  HollowNodeOptions options_;
  std::shared_ptr<SerialExecutor> executor_;
  std::unique_ptr<RuntimeEnvironment> environment_;
  std::unique_ptr<TcpPeerTransport> transport_;
  std::unique_ptr<HollowEngines> engines_;
  std::unique_ptr<RefusingHttpCaller> http_;
  std::unique_ptr<GatewayNode> gateway_;

  mutable std::mutex mutex_;
  /// Guarded by `mutex_`.
  HollowRecord record_;
};

}  // namespace millstair
