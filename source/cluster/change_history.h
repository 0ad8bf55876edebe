/// Change sets of the configuration, and the bounded history from which deltas are computed.
#pragma once

#include <deque>
#include <set>
#include <string>

#include "cluster/configuration.h"

namespace millstair {

/// Keys changed by one command. Their values are looked up when a delta is computed.
struct ChangeSet {
  std::set<ResourceKey> resources;
  std::set<ModelName> models;
  std::set<NodeId> nodes;
  std::set<std::string> machines;
  std::set<EngineName> engines;
  bool routing = false;
  std::set<InstanceId> instances;
  std::set<ModelName> versions;
  std::set<GroupId> job_groups;
  std::set<NodeId> retired_nodes;
  std::set<RequestFingerprint> suspects;
  std::set<Zone> evacuations;

  bool empty() const;
  void Merge(const ChangeSet& other);
};

/// Keys that `delta` changes.
ChangeSet ChangesOf(const ConfigurationDelta& delta);

/// The most recent changes, oldest first.
class ChangeHistory {
 public:
  explicit ChangeHistory(size_t max_changes) : max_changes_(max_changes) {}

  void Add(Revision revision, ChangeSet changes);
  /// Discards the history up to `revision`; deltas from before it are full.
  void Reset(Revision revision);
  /// Delta of `configuration` since `from`; full if the history does not reach back that far.
  ConfigurationDelta Since(Revision from, const Configuration& configuration) const;

 private:
  struct Change {
    Revision revision;
    ChangeSet changes;
  };

  size_t max_changes_;
  /// Revision just before the oldest retained change.
  Revision start_;
  std::deque<Change> changes_;
};

/// The complete `configuration` as a delta.
ConfigurationDelta FullDelta(const Configuration& configuration);

}  // namespace millstair
