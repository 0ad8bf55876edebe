/// Checks the responses that callers received against the executions at back ends.
#pragma once

#include "simulator/checks/check_result.h"
#include "simulator/checks/history.h"
#include "simulator/checks/stream_checks.h"

namespace millstair::checks {

/// A completed call received the complete response to its own request and nothing of another.
CheckResult CheckCompleteOwnAnswer(const History& history, const TextOracle& oracle);

/// An attempt reported as "not-run" was not executed by any back end or engine.
CheckResult CheckNotRunClaims(const History& history);

/// No idempotency key was executed more than once over all back ends.
CheckResult CheckAtMostOnce(const History& history);

/// Every error response states the outcome of the request.
CheckResult CheckOutcomeStated(const History& history);

}  // namespace millstair::checks
