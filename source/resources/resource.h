/// The labelled resources that operators manage.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/ids.h"
#include "common/time.h"
#include "resources/selector.h"

namespace millstair {

/// A machine that back ends run on. Its labels also count for the engines on it.
struct MachineSpec {
  Zone zone;
  /// IP number under which the platform's machine list names it.
  std::string address;
  /// Set by operators to take the machine out of service: it gets no new work.
  bool drain = false;
  friend bool operator==(const MachineSpec&, const MachineSpec&) = default;
};

enum class EngineType { kModel, kHttp };

/// A back end: a model engine, or a plain HTTP server.
struct EngineSpec {
  EngineType type = EngineType::kModel;
  /// Name of its Machine.
  std::string machine;
  /// "ip:port".
  std::string address;
  bool drain = false;
  friend bool operator==(const EngineSpec&, const EngineSpec&) = default;
};

struct ModelSpec {
  /// Address of the weight store, "ip:port".
  std::string weight_store;
  /// Bytes a second that the store serves to all engines together.
  uint64_t store_bytes_per_second = 0;
  uint64_t version_bytes = 0;
  /// Share of the model's engines that keep serving while others swap, 0..1.
  double live_capacity_floor = 0.5;
  friend bool operator==(const ModelSpec&, const ModelSpec&) = default;
};

struct AdapterSpec {
  ModelName model;
  WeightDigest digest;
  /// Path in the weight store.
  std::string location;
  friend bool operator==(const AdapterSpec&, const AdapterSpec&) = default;
};

/// Capacity that rollouts may use.
struct PoolSpec {
  ModelName model;
  /// Weight relative to other pools that share engines.
  double share = 1.0;
  /// Concurrent generations over all gateways.
  uint32_t max_in_flight = 64;
  friend bool operator==(const PoolSpec&, const PoolSpec&) = default;
};

/// A stream of samples to one trainer.
struct StreamSpec {
  /// Name of its Pool.
  std::string pool;
  /// Maximum of (newest published version - oldest version in the sample) at delivery.
  uint64_t staleness_bound = 1;
  /// Weight of trainer idle time against staleness in scheduling: 1 is only idle time, 0 only
  /// staleness.
  double idle_time_weight = 0.5;
  uint32_t max_tokens = 256;
  /// "ip:port" of the scoring service; empty delivers samples unscored.
  std::string scorer;
  friend bool operator==(const StreamSpec&, const StreamSpec&) = default;
};

/// A class of live traffic: which requests belong to it and how they are handled.
struct TrafficGroupSpec {
  /// Host header values; empty is any.
  std::vector<std::string> hosts;
  std::string path_prefix = "/";
  /// Model for completions; empty proxies to plain HTTP back ends.
  ModelName model;
  bool repeatable = true;
  /// 1 (rollout) to 3 (urgent live), see RequestPriority.
  uint32_t priority = 2;
  uint32_t max_concurrent = 256;
  uint32_t max_queued = 256;
  Duration deadline = std::chrono::seconds(30);
  /// Continue to serve after the gateway's configuration lease has expired. A leaving back end may
  /// then get new work.
  bool serve_when_isolated = false;
  /// Hedged attempt at another back end after this time without a response; 0 is never.
  Duration hedge_after{0};
  friend bool operator==(const TrafficGroupSpec&, const TrafficGroupSpec&) = default;
};

/// Assigns models and workloads to engines by labels. Engines that match `engines` (by their own
/// labels and their machine's) hold the models that match `models` and serve the workloads (Pools
/// and TrafficGroups) that match `workloads`. A missing selector matches nothing.
struct MatchSpec {
  std::optional<Selector> workloads;
  std::optional<Selector> models;
  std::optional<Selector> engines;
  friend bool operator==(const MatchSpec&, const MatchSpec&) = default;
};

using ResourceSpec = std::variant<MachineSpec, EngineSpec, ModelSpec, AdapterSpec, PoolSpec,
                                  StreamSpec, TrafficGroupSpec, MatchSpec>;

/// In the order of ResourceSpec's alternatives.
enum class ResourceKind : uint8_t {
  kMachine,
  kEngine,
  kModel,
  kAdapter,
  kPool,
  kStream,
  kTrafficGroup,
  kMatch
};

struct ResourceKey {
  ResourceKind kind = ResourceKind::kMachine;
  std::string name;
  friend auto operator<=>(const ResourceKey&, const ResourceKey&) = default;  // NOLINT
};

struct Resource {
  std::string name;
  Labels labels;
  ResourceSpec spec;
  /// Revision of the last change; compared by compare-and-set. 0 before it is stored.
  Revision version;

  ResourceKind kind() const { return static_cast<ResourceKind>(spec.index()); }
  ResourceKey key() const { return {kind(), name}; }
  friend bool operator==(const Resource&, const Resource&) = default;
};

}  // namespace millstair
