#include "retry/retry_policy.h"

#include <catch2/catch.hpp>

namespace millstair {
namespace {

constexpr Duration kLongTime = std::chrono::seconds(30);

class Policy {
 public:
  explicit Policy(RetryFaults faults = {}) : policy_(RetryTiming{}, budget_, random_, faults) {}
  bool Retries(CallFailure failure, bool repeatable, Duration time_left = kLongTime,
               int attempts = 1) {
    FailedAttempt failed;
    failed.failure = failure;
    failed.repeatable = repeatable;
    failed.time_left = time_left;
    failed.attempts = attempts;
    return policy_.Decide(failed).retry;
  }

 private:
  RetryBudget budget_;
  RandomEngine random_{7};
  RetryPolicy policy_;
};

TEST_CASE("a request that must not run twice is retried only if it certainly did not run") {
  Policy policy;
  CHECK(policy.Retries(CallFailure::kNotSent, false));
  CHECK(policy.Retries(CallFailure::kRefused, false));
  CHECK_FALSE(policy.Retries(CallFailure::kUnknown, false));
  CHECK_FALSE(policy.Retries(CallFailure::kCut, false));
}

TEST_CASE("a repeatable request is retried after any failure, while there is time") {
  Policy policy;
  CHECK(policy.Retries(CallFailure::kUnknown, true));
  CHECK(policy.Retries(CallFailure::kCut, true));
  CHECK_FALSE(policy.Retries(CallFailure::kCut, true, Duration(0)));
  CHECK_FALSE(policy.Retries(CallFailure::kCut, true, kLongTime, RetryTiming{}.max_attempts));
}

TEST_CASE("the injected fault retries requests that may have run") {
  Policy policy(RetryFaults{.repeat_possibly_run = true});
  CHECK(policy.Retries(CallFailure::kUnknown, false));
}

TEST_CASE("retries are limited to a share of first attempts") {
  RetryBudget budget(RetryBudgetLimits{.share = 0.2, .reserve = 3});
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.RecordFirstAttempt();
    while (budget.Spend()) ++retries;
  }
  CHECK(retries >= 200);
  CHECK(retries <= 203);
}

TEST_CASE("backoff is jittered below a growing bound") {
  RandomEngine random(3);
  const RetryTiming timing;
  Duration largest_of_first{0};
  Duration largest_of_late{0};
  for (int i = 0; i < 200; ++i) {
    largest_of_first = std::max(largest_of_first, JitteredBackoff(timing, 1, random));
    largest_of_late = std::max(largest_of_late, JitteredBackoff(timing, 40, random));
  }
  CHECK(largest_of_first <= timing.initial_backoff);
  CHECK(largest_of_first > timing.initial_backoff / 2);
  CHECK(largest_of_late <= timing.max_backoff);
  CHECK(largest_of_late > timing.max_backoff / 2);
}

TEST_CASE("an outcome that may have run never turns into not run") {
  CHECK(Combine(Outcome::kNotRun, Outcome::kNotRun) == Outcome::kNotRun);
  CHECK(Combine(Outcome::kUnknown, Outcome::kNotRun) == Outcome::kUnknown);
  CHECK(Combine(Outcome::kNotRun, Outcome::kUnknown) == Outcome::kUnknown);
  CHECK(Combine(Outcome::kRan, Outcome::kUnknown) == Outcome::kRan);
}

}  // namespace
}  // namespace millstair
