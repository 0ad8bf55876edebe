#include "retry/retry_policy.h"

#include <algorithm>

#include "common/random.h"

namespace millstair {
namespace {

RetryDecision Refuse(RetryRefusal refusal) {
  RetryDecision decision;
  decision.refusal = refusal;
  return decision;
}

}  // namespace

Duration JitteredBackoff(const RetryTiming& timing, int attempts, RandomEngine& random) {
  Duration bound = timing.initial_backoff;
  for (int i = 1; i < attempts && bound < timing.max_backoff; ++i) bound *= 2;
  bound = std::min(bound, timing.max_backoff);
  return Duration(
      static_cast<Duration::rep>(DrawBelow(random, static_cast<uint64_t>(bound.count()) + 1)));
}

RetryDecision RetryPolicy::Decide(const FailedAttempt& failed) {
  const bool may_have_run = OutcomeOf(failed.failure) != Outcome::kNotRun;
  if (may_have_run && !failed.repeatable && !faults_.repeat_possibly_run) {
    return Refuse(RetryRefusal::kMayHaveRun);
  }
  if (failed.answer_started) return Refuse(RetryRefusal::kAnswerStarted);
  if (failed.attempts >= timing_.max_attempts) return Refuse(RetryRefusal::kTooManyAttempts);
  RetryDecision decision;
  decision.backoff = JitteredBackoff(timing_, failed.attempts, random_);
  if (decision.backoff >= failed.time_left) return Refuse(RetryRefusal::kNoTime);
  if (!budget_.Spend()) return Refuse(RetryRefusal::kNoBudget);
  decision.retry = true;
  return decision;
}

}  // namespace millstair
