/// Which subjects of a duty this node may act on: engines that take orders, or the platform's
/// accounts. The holder of a subject is whoever announced the latest act in the group's log;
/// another node waits until the holder's lease is over for that subject. Time is counted from when
/// announcements are applied here, which is never before they were made; announcements of one term
/// also tell how much of the holder's time passed between them, so that a node that applies an old
/// log at once waits only for what is left.
#pragma once

#include <map>
#include <string>

#include "common/environment.h"
#include "common/ids.h"

namespace millstair {

/// An act is carried out within this time of its announcement or not at all: it covers a commit of
/// the group and a slow scheduler, and is far below any lease.
inline constexpr Duration kAnnouncementValidity = std::chrono::milliseconds(250);
/// Beyond the lease: an act on its way may arrive late by this, a new connection among it.
inline constexpr Duration kLeaseMargin = std::chrono::milliseconds(400) + kAnnouncementValidity;

/// The holder is about to act on a subject, within kAnnouncementValidity.
struct LeaseAnnouncement {
  NodeId holder;
  std::string subject;
  /// In which the holder leads the group; also the fence of its acts.
  Term term;
  /// Steady time of the holder; comparable with its other announcements of the same term only.
  Duration announced_at{0};
  friend bool operator==(const LeaseAnnouncement&, const LeaseAnnouncement&) = default;
};

/// Lives on the node's serial executor. A new leader asks it only once everything that earlier
/// leaders committed is applied here: the last announcement of another holder is among that.
class TaskLeases {
 public:
  /// `lease` is counted from an announcement, and covers the time that its act may take.
  TaskLeases(Environment& environment, NodeId self, Duration lease);

  /// An announcement was applied here, in the order of the log.
  void OnAnnouncement(const LeaseAnnouncement& announcement);
  /// Whether this node, which leads in `term`, may act on `subject`: not while another node may
  /// hold it, nor while an act of this node's own from an earlier term may still be on its way,
  /// which would arrive with a smaller fence after one of this term.
  bool MayOperateOn(const std::string& subject, Term term) const;
  /// The same for an act whose announcement, made at `announced_at`, is committed by now: not if
  /// that took too long.
  bool MayStillOperateOn(const std::string& subject, Term term, TimePoint announced_at) const;

 private:
  struct Entry {
    LeaseAnnouncement announcement;
    TimePoint until;
  };

  Environment& environment_;
  const NodeId self_;
  const Duration lease_;
  /// Leases of other nodes; those that are over go with the next announcement.
  std::map<std::string, Entry> held_;
  /// This node's own latest announcement of each subject, while its act may be on its way.
  std::map<std::string, Entry> own_announcements_;
};

}  // namespace millstair
