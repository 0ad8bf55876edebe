#include "cluster/ended_instances.h"

namespace millstair {

void EndedInstances::Rebuild(const Configuration& configuration) {
  by_registration_.clear();
  registered_at_.clear();
  for (const auto& [id, instance] : configuration.instances) Update(configuration, id);
}

void EndedInstances::Update(const Configuration& configuration, const InstanceId& instance) {
  if (const auto known = registered_at_.find(instance); known != registered_at_.end()) {
    by_registration_.erase({known->second, instance});
    registered_at_.erase(known);
  }
  const auto found = configuration.instances.find(instance);
  const bool ended =
      found != configuration.instances.end() && found->second.state == MemberState::kGone;
  if (!ended) return;
  registered_at_[instance] = found->second.registered_at;
  by_registration_.emplace(found->second.registered_at, instance);
}

std::optional<InstanceId> EndedInstances::OldestBeyond(size_t max_instances) const {
  if (by_registration_.size() <= max_instances) return std::nullopt;
  return by_registration_.begin()->second;
}

}  // namespace millstair
