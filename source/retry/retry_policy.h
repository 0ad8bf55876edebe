/// Decides whether a failed attempt is retried. A request is retried only if it certainly did not
/// run, or if it may run more than once.
#pragma once

#include <optional>

#include "common/environment.h"
#include "http/outcome.h"
#include "retry/retry_budget.h"

namespace millstair {

struct RetryTiming {
  Duration initial_backoff = std::chrono::milliseconds(20);
  Duration max_backoff = std::chrono::seconds(1);
  /// Attempts of one request, including the first.
  int max_attempts = 6;
};

struct FailedAttempt {
  CallFailure failure = CallFailure::kUnknown;
  /// The request may run more than once.
  bool repeatable = false;
  /// Part of the response was passed on to the caller and can't be resumed elsewhere.
  bool answer_started = false;
  /// Attempts made so far.
  int attempts = 1;
  /// Time left until the request's deadline.
  Duration time_left{0};
};

enum class RetryRefusal { kMayHaveRun, kAnswerStarted, kTooManyAttempts, kNoBudget, kNoTime };

struct RetryDecision {
  bool retry = false;
  /// Delay before the retry.
  Duration backoff{0};
  /// Valid if `retry` is false.
  RetryRefusal refusal = RetryRefusal::kMayHaveRun;
};

/// Faults that tests inject to prove that their checks detect them.
struct RetryFaults {
  /// Retries requests that may have run, even if they must not run twice.
  bool repeat_possibly_run = false;
};

/// Delay before attempt `attempts + 1`: full jitter below an exponentially growing bound.
Duration JitteredBackoff(const RetryTiming& timing, int attempts, RandomEngine& random);

/// Lives on the node's serial executor.
class RetryPolicy {
 public:
  RetryPolicy(RetryTiming timing, RetryBudget& budget, RandomEngine& random,
              RetryFaults faults = {})
      : timing_(timing), budget_(budget), random_(random), faults_(faults) {}

  /// Spends from the budget when it decides to retry. Refusals by back ends count against the
  /// budget too, so that they can't multiply the load.
  RetryDecision Decide(const FailedAttempt& failed);

 private:
  RetryTiming timing_;
  RetryBudget& budget_;
  RandomEngine& random_;
  RetryFaults faults_;
};

}  // namespace millstair
