/// Labels and selectors, by which operators match machines, models and workloads.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace millstair {

using Labels = std::map<std::string, std::string>;

enum class SelectorOperator { kIn, kNotIn, kExists, kDoesNotExist };

struct SelectorRequirement {
  std::string key;
  SelectorOperator op = SelectorOperator::kExists;
  /// For kIn and kNotIn.
  std::vector<std::string> values;
  friend bool operator==(const SelectorRequirement&, const SelectorRequirement&) = default;
};

/// All of `match_labels` and all of `match_expressions` must hold. An empty selector matches
/// everything; a missing one (std::nullopt where it is optional) matches nothing.
struct Selector {
  Labels match_labels;
  std::vector<SelectorRequirement> match_expressions;
  friend bool operator==(const Selector&, const Selector&) = default;
};

bool Matches(const Selector& selector, const Labels& labels);

}  // namespace millstair
