#include "resources/selector.h"

#include <algorithm>

namespace millstair {
namespace {

bool Holds(const SelectorRequirement& requirement, const Labels& labels) {
  const auto found = labels.find(requirement.key);
  const bool present = found != labels.end();
  const auto listed = [&] {
    return std::find(requirement.values.begin(), requirement.values.end(), found->second) !=
           requirement.values.end();
  };
  switch (requirement.op) {
    case SelectorOperator::kIn:
      return present && listed();
    case SelectorOperator::kNotIn:
      return !present || !listed();
    case SelectorOperator::kExists:
      return present;
    case SelectorOperator::kDoesNotExist:
      return !present;
  }
  return false;
}

}  // namespace

bool Matches(const Selector& selector, const Labels& labels) {
  for (const auto& [key, value] : selector.match_labels) {
    const auto found = labels.find(key);
    if (found == labels.end() || found->second != value) return false;
  }
  return std::all_of(
      selector.match_expressions.begin(), selector.match_expressions.end(),
      [&](const SelectorRequirement& requirement) { return Holds(requirement, labels); });
}

}  // namespace millstair
