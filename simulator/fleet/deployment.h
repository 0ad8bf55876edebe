/// The two deployments of the users: zones, machines, and the resources that their operators apply
/// at the start.
#pragma once

#include <string>
#include <vector>

#include "common/ids.h"
#include "common/time.h"
#include "resources/resource.h"
#include "simulator/fleet/fleet.h"
#include "simulator/network/network.h"

namespace millstair::simulator {

/// A machine that runs one control node or gateway.
struct NodePlan {
  NodeId node;
  Zone zone;
  std::string peer_address;
  std::string http_address;
  /// Control nodes only: initial member of the cluster; otherwise a learner.
  bool initial_member = false;
};

/// A machine that runs one back end.
struct BackendPlan {
  EngineName name;
  Zone zone;
  /// IP address.
  std::string machine_address;
  std::string address;
};

struct StreamPlan {
  StreamName name;
  ModelName model;
  uint64_t staleness_bound = 0;
  double idle_time_weight = 0.5;
  /// Whether the trainer of this stream publishes the model's versions.
  bool publishes = false;
};

struct DeploymentPlan {
  std::string cluster_id;
  LatencyPlan latencies;
  std::vector<Zone> zones;
  std::vector<NodePlan> controls;
  std::vector<NodePlan> gateways;
  std::vector<BackendPlan> engines;
  std::vector<BackendPlan> servers;
  ModelName model;
  std::vector<StreamPlan> streams;
  /// Platform services, "ip:port".
  std::string weight_store;
  std::string scorer;
  std::string machine_list;
  uint64_t store_bytes_per_second = 0;
  uint64_t version_bytes = 0;
};

DeploymentPlan PlanDeployment(const FleetOptions& options);

/// Resources that the operators apply at the start.
std::vector<Resource> InitialResources(const DeploymentPlan& plan, const FleetOptions& options);

/// Digest and location of a version, as published by trainers.
WeightDigest DigestOf(const ModelName& model, WeightVersion version);
std::string LocationOf(const ModelName& model, WeightVersion version);

}  // namespace millstair::simulator
