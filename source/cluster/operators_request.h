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

/// Path and query of a request, decoded.
struct OperatorsTarget {
  /// Parts of the path between slashes.
  std::vector<std::string> path;
  std::map<std::string, std::string> query;
};

/// InvalidArgument for a broken percent encoding.
absl::StatusOr<OperatorsTarget> ParseTarget(const std::string& target);

/// A whole number without sign; none otherwise.
std::optional<uint64_t> ParseNumber(std::string_view text);

/// The session stamp in `Idempotency-Key: <session>/<sequence>`; none without the header.
absl::StatusOr<std::optional<SessionStamp>> ParseSessionStamp(const HttpHeaders& headers);

/// The version that `If-Match: "N"` or `If-None-Match: *` expects; none without either.
absl::StatusOr<std::optional<Revision>> ParseExpected(const HttpHeaders& headers);

}  // namespace millstair
