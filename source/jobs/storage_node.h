/// The storage role of a node: holds replicas of the job groups and, as the leader of a group, runs
/// its jobs.
#pragma once

#include <memory>

#include "cluster/configuration_client.h"
#include "common/environment.h"
#include "common/peer_transport.h"
#include "consensus/group_host.h"
#include "http/exchange.h"
#include "ingress/backend_protocol.h"
#include "ingress/route_table.h"
#include "jobs/job_replica_manager.h"
#include "jobs/job_scheduler.h"
#include "jobs/job_service.h"
#include "jobs/job_state_machine.h"
#include "jobs/load_scheduler.h"

namespace millstair {

struct StorageNodeOptions {
  NodeRecord self;
  std::string cluster_id;
  std::vector<ControlEndpoint> control_nodes;
  ConfigurationTiming configuration_timing;
  ConsensusTiming consensus_timing;
  ConsensusLimits consensus_limits;
  JobLimits jobs;
  JobServiceLimits job_service;
  JobReplicaOptions replicas;
  JobSchedulerOptions scheduler;
  LoadOptions loads;
  ColdBound cold_bound;
  /// Report to the leader of the cluster group what jobs need of servers that can be ordered.
  bool reports_pool_needs = false;
  /// Must outlive the node; may be null.
  StatsRegistry* stats = nullptr;
};

/// Lives on the node's serial executor.
class StorageNode : public PeerReceiver {
 public:
  virtual absl::Status Start() = 0;
  virtual const Configuration& configuration() const = 0;
  virtual GroupHost& groups() = 0;
  /// Transfers all leaderships before a planned stop, then calls `done`.
  virtual void Drain(std::function<void()> done) = 0;
};

/// `protocol` and `reader` must outlive the node.
std::unique_ptr<StorageNode> MakeStorageNode(Environment& environment, PeerTransport& transport,
                                             FileSystem& files, HttpCaller& http,
                                             const BackendProtocol& protocol,
                                             const RoutingDocumentReader& reader,
                                             StorageNodeOptions options);

}  // namespace millstair
