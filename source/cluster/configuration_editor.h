/// Operations of the cluster group that change the configuration. Each is atomic and records the
/// keys it changed.
#pragma once

#include "cluster/change_history.h"
#include "cluster/cluster_commands.h"
#include "cluster/cluster_faults.h"
#include "cluster/ended_instances.h"

namespace millstair {

/// Used for one command only.
class ConfigurationEditor {
 public:
  /// `index` becomes the revision of the changes. `now` is the state machine's clock. `ended` must
  /// be derived from `configuration`.
  ConfigurationEditor(Configuration& configuration, EndedInstances& ended, Revision index,
                      WallTime now, size_t max_published_versions, const ClusterFaults& faults)
      : configuration_(configuration),
        ended_(ended),
        index_(index),
        now_(now),
        max_published_versions_(max_published_versions),
        faults_(faults) {}

  ClusterResult Run(const PutResources& put);
  ClusterResult Run(const DeleteResource& erase);
  ClusterResult Run(const PublishVersion& publish);
  ClusterResult Run(const SetModelTarget& set);
  ClusterResult Run(const UpdateMembers& update);
  ClusterResult Run(const ReplaceRouting& replace);
  ClusterResult Run(const UpdateInstance& update);
  ClusterResult Run(const UpdateInstances& update);
  ClusterResult Run(const NameVersion& name);
  ClusterResult Run(const BootstrapJobGroup& bootstrap);
  ClusterResult Run(const PlaceJobGroup& place);
  ClusterResult Run(const RetireNode& retire);
  ClusterResult Run(const ReportCrashes& report);
  ClusterResult Run(const BeginTrial& begin);
  ClusterResult Run(const ClearSuspect& clear);
  ClusterResult Run(const EvacuateZone& evacuate);
  /// Removes expired suspect requests.
  void ExpireSuspects();

  const ChangeSet& changes() const { return changes_; }

 private:
  /// Whether the stored resource is at `expected`; if not, it is added to `conflicting`.
  bool ExpectedHolds(const ResourceKey& key, const std::optional<Revision>& expected,
                     std::vector<Resource>& conflicting) const;
  void Store(const Resource& resource);
  void Erase(const ResourceKey& key);
  void UpdateNode(const NodeRecord& record);
  void UpdateMachine(const MachineStatus& status);
  void UpdateEngine(const EngineStatus& status);
  void TrimPublished(ModelStatus& status) const;
  void ForgetOldInstances();
  /// The current instance of the server that `instance` belongs to; null if there is none.
  BackendInstance* CurrentInstance(const InstanceId& instance);
  /// Whether a report of another instance than `current` makes that instance the current one.
  bool ShouldSupersede(const BackendInstance& reported, BackendInstance& current);
  void Supersede(BackendInstance& former);
  void UpdateCurrent(BackendInstance& known, const BackendInstance& reported);
  SuspectLedger suspects();

  /// Records that `instance` was changed, added or erased.
  void Touch(const InstanceId& instance);

  Configuration& configuration_;
  EndedInstances& ended_;
  Revision index_;
  WallTime now_;
  size_t max_published_versions_;
  const ClusterFaults& faults_;
  ChangeSet changes_;
};

}  // namespace millstair
