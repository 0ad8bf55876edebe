/// Fixes the founders of the group of batch jobs once enough storage nodes are there.
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
  /// With fewer storage nodes than voters the group is founded after this long.
  Duration patience = std::chrono::seconds(3);
};

/// A duty of the cluster leader; proposes through `propose`.
std::unique_ptr<ClusterDuty> MakeJobGroupFounder(Environment& environment,
                                                 JobGroupFounderOptions options,
                                                 std::function<void(ClusterCommand)> propose);

}  // namespace millstair
