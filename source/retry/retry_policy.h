/// Decides whether a failed try is repeated. A request is tried again only if it truly did not run
/// or if it may run more than once.
#pragma once

#include <optional>

#include "common/environment.h"
#include "http/outcome.h"
#include "retry/retry_budget.h"

namespace millstair {

struct RetryTiming {
  Duration initial_backoff = std::chrono::milliseconds(20);
  Duration max_backoff = std::chrono::seconds(1);
  /// Tries of one request, the first included.
  int max_attempts = 6;
};

/// What a finished try means for the request.
struct FailedAttempt {
  CallFailure failure = CallFailure::kUnknown;
  /// The request may run more than once.
  bool repeatable = false;
  /// Part of the answer went to the caller already and cannot be continued elsewhere.
  bool answer_started = false;
  /// Tries made so far.
  int attempts = 1;
  /// Time left until the request's deadline.
  Duration time_left{0};
};

enum class RetryRefusal { kMayHaveRun, kAnswerStarted, kTooManyAttempts, kNoBudget, kNoTime };

struct RetryDecision {
  bool retry = false;
  /// When `retry`: how long to wait first.
  Duration backoff{0};
  /// When not `retry`.
  RetryRefusal refusal = RetryRefusal::kMayHaveRun;
};

/// Faults that a test switches on to prove that its checks notice them.
struct RetryFaults {
  /// Repeats a request that may have run, even if it must not run twice.
  bool repeat_possibly_run = false;
};

/// Waiting time before try `attempts + 1`: full jitter below an exponentially growing bound.
Duration JitteredBackoff(const RetryTiming& timing, int attempts, RandomEngine& random);

/// Lives on the node's serial executor.
class RetryPolicy {
 public:
  RetryPolicy(RetryTiming timing, RetryBudget& budget, RandomEngine& random,
              RetryFaults faults = {})
      : timing_(timing), budget_(budget), random_(random), faults_(faults) {}

  /// Spends from the budget when the answer is to retry. A refusal by a back end costs nothing
  /// there, but still counts against the budget, so that refusals cannot multiply the load.
  RetryDecision Decide(const FailedAttempt& failed);

 private:
  RetryTiming timing_;
  RetryBudget& budget_;
  RandomEngine& random_;
  RetryFaults faults_;
};

}  // namespace millstair
