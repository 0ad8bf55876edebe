#include "cluster/task_leases.h"

#include <algorithm>
#include <utility>

namespace millstair {

TaskLeases::TaskLeases(Environment& environment, NodeId self, Duration lease)
    : environment_(environment), self_(std::move(self)), lease_(lease) {}

void TaskLeases::OnAnnouncement(const LeaseAnnouncement& announcement) {
  const TimePoint now = environment_.Now();
  for (auto& [subject, held] : held_) {
    const bool same_term = held.announcement.holder == announcement.holder &&
                           held.announcement.term == announcement.term;
    if (!same_term) continue;
    const Duration passed = announcement.announced_at - held.announcement.announced_at;
    held.until = std::min(held.until, now + lease_ - passed);
  }
  const auto expired = [now](const auto& entry) { return entry.second.until <= now; };
  std::erase_if(held_, expired);
  std::erase_if(own_announcements_, expired);
  held_.erase(announcement.subject);
  // This node's announcement ends any other holder's lease: it was only made when MayOperateOn
  // allowed it, after all entries of earlier leaders were applied, so the earlier lease had
  // expired.
  if (announcement.holder == self_) {
    own_announcements_[announcement.subject] = {announcement, now + kLeaseMargin};
    return;
  }
  held_[announcement.subject] = {announcement, now + lease_};
}

bool TaskLeases::MayOperateOn(const std::string& subject, Term term) const {
  const TimePoint now = environment_.Now();
  const auto held = held_.find(subject);
  if (held != held_.end() && now < held->second.until) return false;
  const auto own_announcement = own_announcements_.find(subject);
  const bool in_flight =
      own_announcement != own_announcements_.end() && now < own_announcement->second.until;
  return !in_flight || own_announcement->second.announcement.term >= term;
}

bool TaskLeases::MayStillOperateOn(const std::string& subject, Term term,
                                   TimePoint announced_at) const {
  return environment_.Now() - announced_at <= kAnnouncementValidity && MayOperateOn(subject, term);
}

}  // namespace millstair
