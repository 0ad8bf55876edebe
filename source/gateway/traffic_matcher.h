/// Finds the traffic group of a request by host, path and model.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/configuration.h"
#include "resources/resource.h"

namespace millstair {

/// A traffic group as of the configuration in which a request was matched.
struct MatchedGroup {
  std::string name;
  TrafficGroupSpec spec;

  ResourceKey key() const { return {ResourceKind::kTrafficGroup, name}; }
};

/// Lives on the node's serial executor.
class TrafficMatcher {
 public:
  /// Takes over the groups; cheap if the revision is the one held.
  void Update(const Configuration& configuration);

  /// Group for a request that is proxied to plain back ends; null if none matches.
  std::shared_ptr<const MatchedGroup> MatchPlain(std::string_view host,
                                                 std::string_view path) const;
  /// Group for a completion by `model`; null if none matches.
  std::shared_ptr<const MatchedGroup> MatchModel(std::string_view host, std::string_view path,
                                                 const ModelName& model) const;

 private:
  std::shared_ptr<const MatchedGroup> Match(std::string_view host, std::string_view path,
                                            const ModelName& model) const;

  bool filled_ = false;
  Revision revision_;
  /// Longest path prefix first; of equal ones those with hosts, then by name.
  std::vector<std::shared_ptr<const MatchedGroup>> groups_;
};

}  // namespace millstair
