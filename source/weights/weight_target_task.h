/// Leader task that decides which version of a model engines stage and which they serve.
///
/// A published version is staged at once, unless an earlier one is still being staged; that one is
/// served first. A version is served once enough engines have staged it, or after a timeout. An
/// older version is never served again.
#pragma once

#include <functional>
#include <memory>

#include "cluster/cluster_commands.h"
#include "cluster/control_node.h"
#include "common/environment.h"

namespace millstair {

struct WeightTargetOptions {
  /// Fraction of a model's live engines that need not have staged a version before it is served; at
  /// least one engine of three or more, so that a dead engine that still counts as live does not
  /// block the others.
  double unstaged_share = 0.1;
  /// Bounds of the staging timeout, which is twice the time needed at the rate of the store.
  Duration min_staging_time = std::chrono::seconds(5);
  Duration max_staging_time = std::chrono::seconds(120);
  /// A proposal without effect is repeated after this long.
  Duration repropose_interval = std::chrono::seconds(1);
};

/// `propose` submits a command to the cluster group; its effect is observed through the
/// configuration.
std::unique_ptr<LeaderTask> MakeWeightTargetTask(Environment& environment,
                                                 std::function<void(ClusterCommand)> propose,
                                                 WeightTargetOptions options = {});

}  // namespace millstair
