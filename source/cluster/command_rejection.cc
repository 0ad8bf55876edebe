#include "cluster/command_rejection.h"

#include <cstdint>
#include <string>

#include "absl/strings/cord.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace millstair {
namespace {

constexpr char kNotRunUrl[] = "millstair/not-run";
/// Payload: microseconds in decimal digits.
constexpr char kRetryAfterUrl[] = "millstair/retry-after";

}  // namespace

absl::Status NotRunError(std::string_view message) {
  absl::Status status = absl::UnavailableError(std::string(message));
  status.SetPayload(kNotRunUrl, absl::Cord());
  return status;
}

bool IsNotRun(const absl::Status& status) { return status.GetPayload(kNotRunUrl).has_value(); }

absl::Status CommandRejectedError(std::string_view message, Duration retry_after) {
  absl::Status status = absl::ResourceExhaustedError(std::string(message));
  status.SetPayload(kNotRunUrl, absl::Cord());
  status.SetPayload(kRetryAfterUrl, absl::Cord(absl::StrCat(retry_after.count())));
  return status;
}

std::optional<Duration> RejectionRetryAfter(const absl::Status& status) {
  const auto payload = status.GetPayload(kRetryAfterUrl);
  int64_t microseconds = 0;
  if (!payload || !absl::SimpleAtoi(std::string(*payload), &microseconds)) return std::nullopt;
  return Duration(microseconds);
}

}  // namespace millstair
