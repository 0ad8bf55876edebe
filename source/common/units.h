/// Values with units, as written in settings and resources: "250ms", "64MiB".
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "common/time.h"

namespace millstair {

/// Parses a number with one of the units us, ms, s, min, h.
absl::StatusOr<Duration> ParseDuration(std::string_view text);
/// Parses a number with one of the units B, KiB, MiB, GiB that gives an integral number of bytes.
absl::StatusOr<uint64_t> ParseSize(std::string_view text);
/// Parses a non-negative integer without a unit.
absl::StatusOr<uint64_t> ParseCount(std::string_view text);

/// Formats with the largest unit that gives an integer.
std::string FormatDuration(Duration duration);
std::string FormatSize(uint64_t bytes);

}  // namespace millstair
