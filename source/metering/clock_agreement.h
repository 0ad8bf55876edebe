/// One time for the cluster out of the wall clocks of its nodes: their median, counted on by the
/// steady clock of the node that keeps it. A few clocks that are wrong or jump do not move it.
///
/// Kept by the leader of the cluster group. A node that asks it for the time tells its own, which
/// is the sample. Transit is not taken off the samples: it makes the agreed time late by a median
/// of about a millisecond.
#pragma once

#include <map>
#include <optional>

#include "common/ids.h"
#include "common/time.h"

namespace millstair {

/// Lives on the node's serial executor.
class ClockAgreement {
 public:
  /// Node `node` had `wall` on its clock when this node's steady clock stood at `now`.
  void AddSample(const NodeId& node, WallTime wall, TimePoint now);
  /// The agreed time; none while fewer than half of `expected_nodes` were heard of lately, since
  /// the clocks heard first may be the wrong ones.
  std::optional<WallTime> Now(TimePoint now, size_t expected_nodes) const;
  /// What was heard is forgotten: this node did not keep the time for a while.
  void Clear() { samples_.clear(); }

 private:
  struct Sample {
    /// Wall time less this node's steady time.
    Duration offset{0};
    TimePoint received_at;
  };

  std::map<NodeId, Sample> samples_;
};

}  // namespace millstair
