/// Strict validation of a request head before the HTTP library parses it. Rejects anything that two
/// parsers could interpret differently, which prevents request smuggling.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace millstair {

struct HeadFault {
  /// Status of the response: 400, 431, 501 or 505.
  int status = 400;
  /// Label of the counter: "duplicate-length", "obs-fold", ...
  std::string reason;
};

/// Maximum header lines of a request.
inline constexpr int kMaxHeaderLines = 128;

/// Checks `head`, which ends with the empty line. None if it is valid.
std::optional<HeadFault> CheckRequestHead(std::string_view head);

}  // namespace millstair
