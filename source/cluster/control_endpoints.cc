#include "cluster/control_endpoints.h"

#include <algorithm>
#include <utility>

#include "common/random.h"

namespace millstair {

ControlEndpoints::ControlEndpoints(std::vector<ControlEndpoint> endpoints, Zone own_zone,
                                   RandomEngine& random)
    : own_zone_(std::move(own_zone)) {
  // std::shuffle differs between standard libraries; simulated runs must be reproducible
  // everywhere.
  for (size_t i = endpoints.size(); i > 1; --i) {
    std::swap(endpoints[i - 1], endpoints[DrawBelow(random, i)]);
  }
  for (ControlEndpoint& endpoint : endpoints) ordered_.push_back({std::move(endpoint)});
  Sort();
  current_ = 0;
}

std::vector<ControlEndpoint> ControlEndpoints::all() const {
  std::vector<ControlEndpoint> endpoints;
  for (const Entry& entry : ordered_) endpoints.push_back(entry.endpoint);
  return endpoints;
}

bool ControlEndpoints::Update(const std::vector<ControlEndpoint>& known, RandomEngine& random) {
  bool changed = false;
  for (const ControlEndpoint& endpoint : known) {
    if (Entry* entry = Find(endpoint.node)) {
      if (entry->in_configuration && entry->endpoint == endpoint) continue;
      // Endpoints configured by address alone get their zones here.
      *entry = {endpoint};
    } else {
      const size_t position = DrawBelow(random, ordered_.size() + 1);
      ordered_.insert(ordered_.begin() + static_cast<std::ptrdiff_t>(position), {endpoint});
      if (position <= current_ && ordered_.size() > 1) ++current_;
    }
    changed = true;
  }
  for (Entry& entry : ordered_) {
    const bool in_configuration = std::any_of(
        known.begin(), known.end(),
        [&entry](const ControlEndpoint& endpoint) { return endpoint.node == entry.endpoint.node; });
    changed = changed || entry.in_configuration != in_configuration;
    entry.in_configuration = in_configuration;
  }
  if (changed) Sort();
  return changed;
}

void ControlEndpoints::Choose(const NodeId& node) {
  const Entry* entry = Find(node);
  if (entry != nullptr) current_ = static_cast<size_t>(entry - ordered_.data());
}

bool ControlEndpoints::InForeignZone() const {
  return OwnZoneCount() > 0 && RankOf(ordered_[current_]) != Rank::kOwnZone;
}

bool ControlEndpoints::IsInOwnZone(const NodeId& node) const {
  return std::any_of(ordered_.begin(), ordered_.end(), [&](const Entry& entry) {
    return entry.endpoint.node == node && RankOf(entry) == Rank::kOwnZone;
  });
}

const ControlEndpoint& ControlEndpoints::FirstCandidate() {
  candidate_ = ordered_.size() - 1;
  return NextCandidate();
}

const ControlEndpoint& ControlEndpoints::NextCandidate() {
  candidate_ = (candidate_ + 1) % ordered_.size();
  // The one in use already has heartbeats in flight.
  if (candidate_ == current_) candidate_ = (candidate_ + 1) % ordered_.size();
  return ordered_[candidate_].endpoint;
}

const ControlEndpoint& ControlEndpoints::NextOfOwnZone() {
  own_zone_candidate_ = (own_zone_candidate_ + 1) % OwnZoneCount();
  return ordered_[own_zone_candidate_].endpoint;
}

ControlEndpoints::Rank ControlEndpoints::RankOf(const Entry& entry) const {
  if (!entry.in_configuration) return Rank::kNotInConfiguration;
  return entry.endpoint.zone == own_zone_ ? Rank::kOwnZone : Rank::kOtherZone;
}

size_t ControlEndpoints::OwnZoneCount() const {
  return static_cast<size_t>(
      std::count_if(ordered_.begin(), ordered_.end(),
                    [this](const Entry& entry) { return RankOf(entry) == Rank::kOwnZone; }));
}

ControlEndpoints::Entry* ControlEndpoints::Find(const NodeId& node) {
  const auto found = std::find_if(ordered_.begin(), ordered_.end(), [&node](const Entry& entry) {
    return entry.endpoint.node == node;
  });
  return found == ordered_.end() ? nullptr : &*found;
}

void ControlEndpoints::Sort() {
  if (ordered_.empty()) return;
  const NodeId in_use = ordered_[current_].endpoint.node;
  std::stable_sort(ordered_.begin(), ordered_.end(),
                   [this](const Entry& a, const Entry& b) { return RankOf(a) < RankOf(b); });
  Choose(in_use);
}

}  // namespace millstair
