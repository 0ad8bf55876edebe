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

Duration JitteredBackoff(const RetryTiming& timing, int tries, RandomEngine& random) {
  Duration bound = timing.first_backoff;
  for (int i = 1; i < tries && bound < timing.largest_backoff; ++i) bound *= 2;
  bound = std::min(bound, timing.largest_backoff);
  return Duration(
      static_cast<Duration::rep>(DrawBelow(random, static_cast<uint64_t>(bound.count()) + 1)));
}

RetryDecision RetryPolicy::Decide(const FailedTry& failed) {
  const bool may_have_run = OutcomeOf(failed.failure) != Outcome::kNotRun;
  if (may_have_run && !failed.repeatable && !faults_.repeat_possibly_run) {
    return Refuse(RetryRefusal::kMayHaveRun);
  }
  if (failed.answer_started) return Refuse(RetryRefusal::kAnswerStarted);
  if (failed.tries >= timing_.max_tries) return Refuse(RetryRefusal::kTooManyTries);
  RetryDecision decision;
  decision.backoff = JitteredBackoff(timing_, failed.tries, random_);
  if (decision.backoff >= failed.time_left) return Refuse(RetryRefusal::kNoTime);
  if (!budget_.Spend()) return Refuse(RetryRefusal::kNoBudget);
  decision.retry = true;
  return decision;
}

}  // namespace millstair
