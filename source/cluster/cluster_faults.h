/// Injected faults. Tests and the simulator enable them to prove that their checks detect the
/// fault; all are off in production.
#pragma once

namespace millstair {

struct ClusterFaults {
  /// Snapshots omit the sessions, and a stamp of an unknown session counts as new.
  bool sessions_not_in_snapshot = false;
  /// Every claim is granted, even if the key is claimed.
  bool claim_skipped = false;
  /// Heartbeats get a reply from the local state without a confirmed read.
  bool heartbeat_unconfirmed = false;
  /// Nodes apply deltas of a smaller revision than they hold.
  bool smaller_revision_accepted = false;
  /// Compare-and-set ignores the expected version.
  bool expected_version_ignored = false;
  /// Heartbeats carry no feature level, like those of the first builds.
  bool no_feature_level = false;
};

}  // namespace millstair
