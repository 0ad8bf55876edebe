#include "cluster/holder_leases.h"

#include <algorithm>
#include <utility>

namespace millstair {

HolderLeases::HolderLeases(Environment& environment, NodeId self, Duration lease)
    : environment_(environment), self_(std::move(self)), lease_(lease) {}

void HolderLeases::NoteAnnouncement(const HolderAnnouncement& announcement) {
  const TimePoint now = environment_.Now();
  for (auto& [subject, held] : held_) {
    const bool same_term = held.announcement.holder == announcement.holder &&
                           held.announcement.term == announcement.term;
    if (!same_term) continue;
    const Duration passed = announcement.announced_at - held.announcement.announced_at;
    held.until = std::min(held.until, now + lease_ - passed);
  }
  std::erase_if(held_, [now](const auto& entry) { return entry.second.until <= now; });
  held_.erase(announcement.subject);
  // This node's own acts are no other holder's.
  if (announcement.holder == self_) return;
  held_[announcement.subject] = {announcement, now + lease_};
}

bool HolderLeases::MayAct(const std::string& subject) const {
  const auto held = held_.find(subject);
  return held == held_.end() || environment_.Now() >= held->second.until;
}

}  // namespace millstair
