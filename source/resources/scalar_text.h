/// Validation of scalar values in resources: IP addresses, names, labels.
#pragma once

#include <string_view>

#include "absl/status/status.h"

namespace millstair {

/// An IPv4 or IPv6 address; the error for a host name says so.
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
