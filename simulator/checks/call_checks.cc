#include "simulator/checks/call_checks.h"

#include <map>
#include <set>
#include <string>

#include "fmt/format.h"
#include "simulator/checks/token_text.h"

namespace millstair::checks {
namespace {

constexpr int kFirstErrorStatus = 400;

std::string Describe(const CallAttempt& call) {
  return fmt::format("attempt {} at {} sent {} ms: status {}", call.attempt_id,
                     call.gateway.value(), call.sent.count() / 1000, call.status);
}

/// A completion that reports no versions may come from any published version.
std::optional<std::string> FindUnclaimedDifference(const History& history, const CallAttempt& call,
                                                   const TextOracle& oracle) {
  const uint32_t due = oracle.generation_length(call.prompt, call.max_tokens);
  if (call.tokens.size() != due) {
    return fmt::format("{} tokens instead of {}", call.tokens.size(), due);
  }
  for (uint32_t i = 0; i < due; ++i) {
    bool known = false;
    for (const VersionPublish& publish : history.publishes) {
      known = known || call.tokens[i] == oracle.token_text(call.prompt, i, publish.version);
    }
    if (!known)
      return fmt::format("token {} is '{}', which no published version generates", i,
                         call.tokens[i]);
  }
  return std::nullopt;
}

std::optional<std::string> FindCompletionFault(const History& history, const CallAttempt& call,
                                               const TextOracle& oracle) {
  if (call.spans.empty()) return FindUnclaimedDifference(history, call, oracle);
  if (const auto fault = FindSpanFault(call.spans, static_cast<uint32_t>(call.tokens.size()))) {
    return fault;
  }
  return FindDifference(oracle, call.prompt, call.max_tokens, call.tokens, call.spans);
}

}  // namespace

CheckResult CheckCompleteOwnAnswer(const History& history, const TextOracle& oracle) {
  CheckResult result{.name = "own-whole-answer"};
  for (const CallAttempt& call : history.calls) {
    if (call.end != CallEnd::kComplete) continue;
    ++result.tried;
    if (call.kind == CallKind::kCompletion) {
      const auto fault = FindCompletionFault(history, call, oracle);
      if (fault) result.Break(*fault + ": " + Describe(call));
    } else if (call.body != call.expected_body) {
      result.Break(fmt::format("'{}' instead of '{}': {}", call.body.substr(0, 80),
                               call.expected_body.substr(0, 80), Describe(call)));
    }
  }
  return result;
}

CheckResult CheckNotRunClaims(const History& history) {
  CheckResult result{.name = "not-run-truth"};
  std::set<std::string> executed;
  for (const BackendExecution& execution : history.executions)
    executed.insert(execution.attempt_id);
  std::set<std::string> generated;
  for (const GeneratedTokens& tokens : history.generated) generated.insert(tokens.prompt);
  for (const CallAttempt& call : history.calls) {
    if (call.outcome != ClaimedOutcome::kNotRun) continue;
    ++result.tried;
    const bool ran = executed.contains(call.attempt_id) ||
                     (!call.prompt.empty() && generated.contains(call.prompt));
    if (ran) result.Break("reported as not-run, but it was executed: " + Describe(call));
  }
  return result;
}

CheckResult CheckAtMostOnce(const History& history) {
  CheckResult result{.name = "at-most-once"};
  std::map<std::string, const BackendExecution*> first;
  for (const BackendExecution& execution : history.executions) {
    if (execution.key.empty()) continue;
    const auto [earlier, added] = first.emplace(execution.key, &execution);
    if (added) {
      ++result.tried;
      continue;
    }
    result.Break(
        fmt::format("key {} was executed at {} ({} ms, attempt {}) and at {} ({} ms, attempt {})",
                    execution.key, earlier->second->backend.value(),
                    earlier->second->at.count() / 1000, earlier->second->attempt_id,
                    execution.backend.value(), execution.at.count() / 1000, execution.attempt_id));
  }
  return result;
}

CheckResult CheckOutcomeStated(const History& history) {
  CheckResult result{.name = "outcome-stated"};
  for (const CallAttempt& call : history.calls) {
    if (call.end != CallEnd::kRefused || call.status < kFirstErrorStatus) continue;
    ++result.tried;
    if (call.outcome == ClaimedOutcome::kNone) {
      result.Break("error response without an outcome: " + Describe(call));
    }
  }
  return result;
}

}  // namespace millstair::checks
