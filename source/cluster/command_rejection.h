/// Statuses of group commands that are certain not to have been run. They travel in
/// GroupCommandReply::not_run and retry_after.
#pragma once

#include <optional>
#include <string_view>

#include "absl/status/status.h"
#include "common/time.h"

namespace millstair {

/// Unavailable: the replying node did not propose this copy of the command.
absl::Status NotRunError(std::string_view message);
bool IsNotRun(const absl::Status& status);

/// ResourceExhausted: the leader rejects the command, which may be sent anew, with another
/// identifier, after `retry_after`.
absl::Status CommandRejectedError(std::string_view message, Duration retry_after);
/// None if `status` is not from CommandRejectedError.
std::optional<Duration> RejectionRetryAfter(const absl::Status& status);

}  // namespace millstair
