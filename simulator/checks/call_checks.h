/// Checks of what callers were told against what back ends did.
#pragma once

#include "simulator/checks/check_result.h"
#include "simulator/checks/history.h"
#include "simulator/checks/stream_checks.h"

namespace millstair::checks {

/// A completed call holds the whole answer to its own request, and nothing of another.
CheckResult CheckCompleteOwnAnswer(const History& history, const TextOracle& oracle);

/// A try that was told "not-run" left no trace at any back end or engine.
CheckResult CheckNotRunClaims(const History& history);

/// No once-only key was executed twice, over all back ends.
CheckResult CheckAtMostOnce(const History& history);

/// Every answer that the system itself made says what became of the request.
CheckResult CheckOutcomeStated(const History& history);

}  // namespace millstair::checks
