/// Selects the initial members of the job group once enough storage nodes have joined, spread over
/// their zones.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "cluster/control_node.h"
#include "common/environment.h"

namespace millstair {

inline const GroupId kJobGroup("jobs/0");

struct JobGroupBootstrapperOptions {
  size_t voters = 3;
  /// The group is bootstrapped after this time even with fewer storage nodes.
  Duration max_wait = std::chrono::seconds(3);
  /// With enough storage nodes, the group is bootstrapped once no further one has joined for this
  /// time. Longer than the nodes of a fleet that starts at once take to join.
  Duration settle_time = std::chrono::seconds(1);
};

/// A leader task of the cluster group; proposes through `propose`.
std::unique_ptr<LeaderTask> MakeJobGroupBootstrapper(Environment& environment,
                                                     JobGroupBootstrapperOptions options,
                                                     std::function<void(ClusterCommand)> propose);

}  // namespace millstair
