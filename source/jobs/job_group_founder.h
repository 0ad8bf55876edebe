/// Fixes the founders of the group of batch jobs once enough storage nodes are there, spread over
/// their zones.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "cluster/control_node.h"
#include "common/environment.h"

namespace millstair {

inline const GroupId kJobGroup("jobs/0");

struct JobGroupFounderOptions {
  size_t voters = 3;
  /// The group is founded after this long with the storage nodes that are there.
  Duration patience = std::chrono::seconds(3);
  /// With enough of them it is founded once no further one was heard of for this long. All nodes of
  /// a fleet that starts as a whole are heard of within a heartbeat and a digest, some 0.8 s.
  Duration settled_for = std::chrono::seconds(1);
};

/// A duty of the cluster leader; proposes through `propose`.
std::unique_ptr<LeaderTask> MakeJobGroupFounder(Environment& environment,
                                                JobGroupFounderOptions options,
                                                std::function<void(ClusterCommand)> propose);

}  // namespace millstair
