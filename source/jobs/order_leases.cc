#include "jobs/order_leases.h"

#include <algorithm>
#include <utility>

namespace millstair {

OrderLeases::OrderLeases(Environment& environment, NodeId self, Duration lease)
    : environment_(environment), self_(std::move(self)), lease_(lease) {}

void OrderLeases::NoteAnnouncement(const AnnounceOrder& announcement) {
  const TimePoint now = environment_.Now();
  for (auto& [instance, held] : held_) {
    const bool same_term = held.announcement.holder == announcement.holder &&
                           held.announcement.term == announcement.term;
    if (!same_term) continue;
    const Duration passed = announcement.announced_at - held.announcement.announced_at;
    held.until = std::min(held.until, now + lease_ - passed);
  }
  std::erase_if(held_, [now](const auto& entry) { return entry.second.until <= now; });
  held_.erase(announcement.instance);
  // This node's own orders are no other holder's.
  if (announcement.holder == self_) return;
  held_[announcement.instance] = {announcement, now + lease_};
}

bool OrderLeases::MayOrder(const InstanceId& instance) const {
  const auto held = held_.find(instance);
  return held == held_.end() || environment_.Now() >= held->second.until;
}

}  // namespace millstair
