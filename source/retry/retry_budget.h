/// Limits retries and hedges to a share of first attempts, so that they don't multiply the load on
/// an overloaded fleet.
#pragma once

#include <algorithm>

namespace millstair {

struct RetryBudgetLimits {
  /// Retries allowed per first attempt.
  double share = 0.2;
  /// Maximum balance, and the initial one, so that a service with little traffic can retry.
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
