#include "ingress/cold_backend_assignment.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace millstair {

void ColdBackendAssignment::Update(const Configuration& configuration) {
  std::set<NodeId> live;
  for (const auto& [node, record] : configuration.nodes) {
    if (record.gateway && record.state == MemberState::kLive) live.insert(node);
  }
  if (live == live_) return;
  const TimePoint now = environment_.Now();
  for (const NodeId& node : live_) {
    if (!live.contains(node)) departed_[node] = now;
  }
  for (const NodeId& node : live) departed_.erase(node);
  live_ = std::move(live);
  candidates_.reset();
  if (!live_.contains(self_)) {
    member_since_.reset();
  } else if (!member_since_) {
    member_since_ = now;
  }
}

bool ColdBackendAssignment::IsAssignedToSelf(std::string_view subject,
                                             std::optional<TimePoint> confirmed_since) {
  if (!confirmed_since || !member_since_) return false;
  if (environment_.Now() - std::max(*confirmed_since, *member_since_) < lease_) return false;
  ForgetDeparted();
  if (!candidates_) {
    std::vector<NodeId> nodes(live_.begin(), live_.end());
    for (const auto& [node, at] : departed_) nodes.push_back(node);
    candidates_.emplace(nodes);
  }
  const std::vector<NodeId> chosen = candidates_->Choose(subject, 1);
  return !chosen.empty() && chosen.front() == self_;
}

void ColdBackendAssignment::ForgetDeparted() {
  const TimePoint now = environment_.Now();
  const size_t expired =
      std::erase_if(departed_, [&](const auto& entry) { return now - entry.second > lease_; });
  if (expired > 0) candidates_.reset();
}

}  // namespace millstair
