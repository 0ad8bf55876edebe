/// Values with units, as people write them in settings and resources: "250ms", "64MiB".
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "common/time.h"

namespace millstair {

/// A number with one of the units us, ms, s, min, h. InvalidArgument says what is wrong.
absl::StatusOr<Duration> ParseDuration(std::string_view text);
/// A whole number with one of the units B, KiB, MiB, GiB; gives bytes.
absl::StatusOr<uint64_t> ParseSize(std::string_view text);
/// A whole number without a unit.
absl::StatusOr<uint64_t> ParseCount(std::string_view text);

/// The text with the largest unit that leaves a whole number.
std::string FormatDuration(Duration duration);
std::string FormatSize(uint64_t bytes);

}  // namespace millstair
