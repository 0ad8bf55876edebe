/// Matches requests to traffic groups by host, path and model.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/configuration.h"
#include "resources/resource.h"

namespace millstair {

/// A traffic group, as of the configuration that a request was matched against.
struct MatchedGroup {
  std::string name;
  TrafficGroupSpec spec;

  ResourceKey key() const { return {ResourceKind::kTrafficGroup, name}; }
};

/// Lives on the node's serial executor.
class TrafficMatcher {
 public:
  /// Rebuilds the groups unless the revision is unchanged.
  void Update(const Configuration& configuration);

  /// Group of a request to plain back ends; null if none matches.
  std::shared_ptr<const MatchedGroup> MatchPlain(std::string_view host,
                                                 std::string_view path) const;
  /// Group of a completion by `model`; null if none matches.
  std::shared_ptr<const MatchedGroup> MatchModel(std::string_view host, std::string_view path,
                                                 const ModelName& model) const;

 private:
  std::shared_ptr<const MatchedGroup> Match(std::string_view host, std::string_view path,
                                            const ModelName& model) const;

  bool filled_ = false;
  Revision revision_;
  /// Sorted by descending path prefix length; at equal length, groups with hosts first, then by
  /// name.
  std::vector<std::shared_ptr<const MatchedGroup>> groups_;
};

}  // namespace millstair
