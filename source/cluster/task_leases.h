/// Decides which subjects of a leader task (engines that take orders, or the platform's accounts)
/// this node may operate on. The lease holder of a subject is the node that made the latest
/// announcement in the group's log; other nodes wait until its lease on that subject has expired.
///
/// The lease starts when the announcement is applied locally, which is never before it was made.
/// Announcements of one term also carry the holder's steady time, so that a node that applies many
/// old entries at once only waits for the remaining time.
#pragma once

#include <map>
#include <string>

#include "common/environment.h"
#include "common/ids.h"

namespace millstair {

/// An operation starts within this time of its announcement or is dropped. Covers the commit and a
/// slow scheduler, and is far shorter than any lease.
inline constexpr Duration kAnnouncementValidity = std::chrono::milliseconds(250);
/// Added to the lease, since an operation may arrive late, for example over a new connection.
inline constexpr Duration kLeaseMargin = std::chrono::milliseconds(400) + kAnnouncementValidity;

/// The lease holder is about to operate on a subject, within kAnnouncementValidity.
struct LeaseAnnouncement {
  NodeId holder;
  std::string subject;
  /// Term in which the holder leads the group; also the fencing token of its operations.
  Term term;
  /// Steady time of the holder, comparable only with its announcements of the same term.
  Duration announced_at{0};
  friend bool operator==(const LeaseAnnouncement&, const LeaseAnnouncement&) = default;
};

/// Lives on the node's serial executor. A new leader may query it only after it has applied all
/// entries committed by earlier leaders, which include the last announcements of other holders.
class TaskLeases {
 public:
  /// `lease` starts at an announcement and must cover the duration of the operation.
  TaskLeases(Environment& environment, NodeId self, Duration lease);

  /// Handles an applied announcement. Must be called in log order.
  void OnAnnouncement(const LeaseAnnouncement& announcement);
  /// Whether this node, leader in `term`, may operate on `subject`. False while another node may
  /// hold the lease, and while this node's own operation from an earlier term may still be in
  /// flight: its smaller fencing token would arrive after one of this term.
  bool MayOperateOn(const std::string& subject, Term term) const;
  /// Same as MayOperateOn for an operation whose announcement, made at `announced_at`, has been
  /// committed. Also false if the commit took longer than kAnnouncementValidity.
  bool MayStillOperateOn(const std::string& subject, Term term, TimePoint announced_at) const;

 private:
  struct Entry {
    LeaseAnnouncement announcement;
    TimePoint until;
  };

  Environment& environment_;
  const NodeId self_;
  const Duration lease_;
  /// Leases of other nodes. Expired ones are removed at the next announcement.
  std::map<std::string, Entry> held_;
  /// This node's latest announcement by subject, while its operation may be in flight.
  std::map<std::string, Entry> own_announcements_;
};

}  // namespace millstair
