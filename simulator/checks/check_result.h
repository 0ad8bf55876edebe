/// Result of a check of one history.
#pragma once

#include <cstdint>
#include <string>
#include <utility>

namespace millstair::checks {

struct CheckResult {
  std::string name;
  /// Cases in which the invariant was evaluated.
  uint64_t tried = 0;
  uint64_t broken = 0;
  /// Cases abandoned at the search limit; counted neither as held nor as broken.
  uint64_t undecided = 0;
  /// Location and cause of the first violation; empty if there is none.
  std::string first_example;

  void Break(std::string example) {
    if (broken == 0) first_example = std::move(example);
    ++broken;
  }
};

}  // namespace millstair::checks
