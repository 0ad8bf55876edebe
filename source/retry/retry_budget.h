/// Keeps retries and hedges a bounded share of first attempts, so that a struggling fleet is not
/// buried under repeats.
#pragma once

#include <algorithm>

namespace millstair {

struct RetryBudgetLimits {
  /// Retries allowed per first try.
  double share = 0.2;
  /// Retries that may be saved up; also the balance at the start, so that a quiet service can
  /// still retry.
  double reserve = 10;
};

/// Lives on the node's serial executor.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetLimits limits = {}) : limits_(limits), balance_(limits.reserve) {}

  void RecordFirstAttempt() { balance_ = std::min(limits_.reserve, balance_ + limits_.share); }

  /// Takes one retry from the budget; false if none is left.
  bool Spend() {
    if (balance_ < 1) return false;
    balance_ -= 1;
    return true;
  }

  double balance() const { return balance_; }

 private:
  RetryBudgetLimits limits_;
  double balance_;
};

}  // namespace millstair
