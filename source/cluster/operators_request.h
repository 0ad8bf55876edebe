/// Parsing of the operators' HTTP requests.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "cluster/cluster_commands.h"
#include "http/exchange.h"

namespace millstair {

/// Decoded path and query of a request.
struct OperatorsTarget {
  /// Path segments.
  std::vector<std::string> path;
  std::map<std::string, std::string> query;
};

/// InvalidArgument for an invalid percent encoding.
absl::StatusOr<OperatorsTarget> ParseTarget(const std::string& target);

/// An unsigned decimal integer; nullopt for anything else.
std::optional<uint64_t> ParseNumber(std::string_view text);

/// The session stamp in `Idempotency-Key: <session>/<sequence>`; nullopt without the header.
absl::StatusOr<std::optional<SessionStamp>> ParseSessionStamp(const HttpHeaders& headers);

/// The version expected by `If-Match: "N"` or `If-None-Match: *`; nullopt without either.
absl::StatusOr<std::optional<Revision>> ParseExpected(const HttpHeaders& headers);

}  // namespace millstair
