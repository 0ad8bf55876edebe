/// Agreed time of the cluster: the median of its nodes' wall clocks, advanced by the steady clock
/// of the node that computes it. A few clocks that are wrong or jump do not move it.
///
/// Computed by the leader of the cluster group. A node that queries the time sends its own wall
/// time, which is the sample. Transit time is not subtracted, so the agreed time is late by a
/// median of about a millisecond.
#pragma once

#include <map>
#include <optional>

#include "common/ids.h"
#include "common/time.h"

namespace millstair {

/// Lives on the node's serial executor.
class ClockAgreement {
 public:
  /// Adds a sample: `node` reported `wall` when this node's steady clock was at `now`.
  void AddSample(const NodeId& node, WallTime wall, TimePoint now);
  /// The agreed time; nullopt while fewer than half of `expected_nodes` have a recent sample, since
  /// the few known clocks may be the wrong ones.
  std::optional<WallTime> Now(TimePoint now, size_t expected_nodes) const;
  /// Removes all samples, after a time in which this node did not collect any.
  void Clear() { samples_.clear(); }

 private:
  struct Sample {
    /// Wall time minus this node's steady time.
    Duration offset{0};
    TimePoint received_at;
  };

  std::map<NodeId, Sample> samples_;
};

}  // namespace millstair
