#include "gateway/traffic_matcher.h"

#include <algorithm>

#include "absl/strings/match.h"

namespace millstair {
namespace {

/// Host without port.
std::string_view HostName(std::string_view host) {
  if (!host.empty() && host.front() == '[') return host.substr(0, host.find(']') + 1);
  return host.substr(0, host.find(':'));
}

bool HostMatches(const std::vector<std::string>& hosts, std::string_view host) {
  if (hosts.empty()) return true;
  const std::string host_and_port(host);
  const std::string name(HostName(host));
  return std::any_of(hosts.begin(), hosts.end(), [&](const std::string& wanted) {
    return absl::EqualsIgnoreCase(wanted, host_and_port) || absl::EqualsIgnoreCase(wanted, name);
  });
}

/// Matches complete path segments: "/book" matches "/book" and "/book/1", not "/booking".
bool PathMatches(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix)) return false;
  if (prefix.empty() || prefix.back() == '/' || path.size() == prefix.size()) return true;
  return path[prefix.size()] == '/';
}

}  // namespace

void TrafficMatcher::Update(const Configuration& configuration) {
  if (filled_ && revision_ == configuration.revision) return;
  filled_ = true;
  revision_ = configuration.revision;
  groups_.clear();
  for (const auto& [key, resource] : configuration.resources) {
    const auto* spec = std::get_if<TrafficGroupSpec>(&resource.spec);
    if (spec == nullptr) continue;
    groups_.push_back(std::make_shared<const MatchedGroup>(MatchedGroup{resource.name, *spec}));
  }
  std::stable_sort(groups_.begin(), groups_.end(), [](const auto& a, const auto& b) {
    const size_t a_length = a->spec.path_prefix.size();
    const size_t b_length = b->spec.path_prefix.size();
    if (a_length != b_length) return a_length > b_length;
    return !a->spec.hosts.empty() && b->spec.hosts.empty();
  });
}

std::shared_ptr<const MatchedGroup> TrafficMatcher::MatchPlain(std::string_view host,
                                                               std::string_view path) const {
  return Match(host, path, ModelName());
}

std::shared_ptr<const MatchedGroup> TrafficMatcher::MatchModel(std::string_view host,
                                                               std::string_view path,
                                                               const ModelName& model) const {
  if (model.value().empty()) return nullptr;
  return Match(host, path, model);
}

std::shared_ptr<const MatchedGroup> TrafficMatcher::Match(std::string_view host,
                                                          std::string_view path,
                                                          const ModelName& model) const {
  for (const auto& group : groups_) {
    if (group->spec.model != model) continue;
    if (!HostMatches(group->spec.hosts, host)) continue;
    if (PathMatches(group->spec.path_prefix, path)) return group;
  }
  return nullptr;
}

}  // namespace millstair
