/// Which engines this node may give orders to. The holder of an engine's orders is whoever
/// announced the latest one in the group's log; another node waits until the holder's lease is over
/// for that engine. Time is counted from when announcements are applied here, which is never before
/// they were made; announcements of one term also tell how much of the holder's time passed between
/// them, so that a node that applies an old log at once waits only for what is left.
#pragma once

#include <map>

#include "common/environment.h"
#include "jobs/job_types.h"

namespace millstair {

/// Lives on the node's serial executor.
class OrderLeases {
 public:
  /// `lease` is counted from an announcement, and covers the time that its order may take.
  OrderLeases(Environment& environment, NodeId self, Duration lease);

  /// An announcement was applied here, in the order of the log.
  void NoteAnnouncement(const AnnounceOrder& announcement);
  /// False while another node may hold the orders of `instance`.
  bool MayOrder(const InstanceId& instance) const;

 private:
  struct Held {
    AnnounceOrder announcement;
    TimePoint until;
  };

  Environment& environment_;
  const NodeId self_;
  const Duration lease_;
  /// Leases of other nodes; those that are over go with the next announcement.
  std::map<InstanceId, Held> held_;
};

}  // namespace millstair
