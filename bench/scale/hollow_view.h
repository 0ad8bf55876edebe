/// What the measuring side reads from the state pages of the hollow hosts.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "bench/scale/hollow_node.h"
#include "ctl/blocking_client.h"

namespace millstair {

struct HollowHostState {
  int pid = 0;
  uint64_t bytes = 0;
  uint64_t messages = 0;
  std::map<NodeId, HollowRecord> nodes;
};

/// The state pages of all hosts together.
struct HollowFleetState {
  std::vector<HollowHostState> hosts;

  size_t Nodes() const;
  size_t Ready() const;
  uint64_t Bytes() const;
  uint64_t Messages() const;
  /// Per node, when it first held `revision` or a later one; none for a node that does not.
  std::vector<std::optional<int64_t>> HeldSince(Revision revision) const;
  /// Per node but `lost` itself, when it saw that `lost` is gone.
  std::vector<std::optional<int64_t>> SawGone(const NodeId& lost) const;
  /// Per engine, when the first of its observers had it on `version`.
  std::map<std::string, int64_t> ActiveSince(WeightVersion version) const;
};

/// Reads all hosts; an error names the one that does not answer.
absl::StatusOr<HollowFleetState> ReadHollowFleet(BlockingCaller& caller,
                                                 const std::vector<std::string>& hosts);
/// Ends `node` on the host that has it; the time at which it was gone.
absl::StatusOr<int64_t> KillHollowNode(BlockingCaller& caller,
                                       const std::vector<std::string>& hosts, const NodeId& node);

}  // namespace millstair
