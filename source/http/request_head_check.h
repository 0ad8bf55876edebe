/// Strict test of a request head before the HTTP library parses it. What two parsers could read in
/// different ways is refused, since a proxy that accepts it lets requests be smuggled past it.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace millstair {

struct HeadFault {
  /// Status of the answer: 400, 431, 501 or 505.
  int status = 400;
  /// Short name for the counters: "duplicate-length", "obs-fold", ...
  std::string reason;
};

/// Most header lines of a request.
inline constexpr int kMaxHeaderLines = 128;

/// Tests `head`, which ends with the empty line. None if it is sound.
std::optional<HeadFault> CheckRequestHead(std::string_view head);

}  // namespace millstair
