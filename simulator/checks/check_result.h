/// Result of one check over one history.
#pragma once

#include <cstdint>
#include <string>
#include <utility>

namespace millstair::checks {

struct CheckResult {
  std::string name;
  /// Cases that could have broken the invariant.
  uint64_t tried = 0;
  uint64_t broken = 0;
  /// Cases that the check gave up on; they count neither as held nor as broken.
  uint64_t undecided = 0;
  /// Place and cause of the first breach; empty if there is none.
  std::string first_example;

  void Break(std::string example) {
    if (broken == 0) first_example = std::move(example);
    ++broken;
  }
};

}  // namespace millstair::checks
