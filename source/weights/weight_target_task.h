/// Decides on the cluster leader which version of a model engines fetch and which they serve.
///
/// A published version is staged at once, unless an earlier one is still on its way: that one is
/// served first. It is served once enough engines hold it, or after a time that staging ought to
/// have taken. An older version is never served again.
#pragma once

#include <functional>
#include <memory>

#include "cluster/cluster_commands.h"
#include "cluster/control_node.h"
#include "common/environment.h"

namespace millstair {

struct WeightTargetOptions {
  /// Share of a model's live engines that need not hold a version before it is served; at least one
  /// of three or more, so that a dead engine that still counts as live holds nobody up.
  double unstaged_share = 0.1;
  /// Least and largest time given to staging; in between it is twice what the store's rate asks.
  Duration min_staging_time = std::chrono::seconds(5);
  Duration max_staging_time = std::chrono::seconds(120);
  /// A proposal is repeated if it has had no effect after this long.
  Duration repropose_interval = std::chrono::seconds(1);
};

/// `propose` proposes to the cluster group; whatever becomes of it shows in the configuration.
std::unique_ptr<LeaderTask> MakeWeightTargetTask(Environment& environment,
                                                 std::function<void(ClusterCommand)> propose,
                                                 WeightTargetOptions options = {});

}  // namespace millstair
