/// Text forms of the scalar values that settings and resources share: durations and byte counts
/// with units, IP numbers, names.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "common/time.h"

namespace millstair {

/// A whole number with a unit: us, ms, s, m or h ("250ms"). A bare "0" needs none.
absl::StatusOr<Duration> ParseDuration(std::string_view text);
/// The largest unit that divides `duration` wholly.
std::string FormatDuration(Duration duration);

/// A whole number of bytes, or one with a unit: B, KB, MB, GB (powers of 1000) or KiB, MiB, GiB.
absl::StatusOr<uint64_t> ParseBytes(std::string_view text);

/// An IPv4 or IPv6 number. A host name is an error that says so.
absl::Status CheckIpNumber(std::string_view text);
/// "ip:port", or "[ip]:port" for IPv6; the port is 1..65535.
absl::Status CheckIpAndPort(std::string_view text);

/// 1..128 characters: letters, digits, '.', '_' and '-', beginning with a letter or digit.
absl::Status CheckName(std::string_view text);
/// Like a name, but '/' is allowed within.
absl::Status CheckLabelKey(std::string_view text);
/// Like a label key, or empty.
absl::Status CheckLabelValue(std::string_view text);

}  // namespace millstair
