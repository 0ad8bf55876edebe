/// Request metadata that a caller sets by headers.
#pragma once

#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "common/time.h"
#include "engine/engine_types.h"
#include "http/exchange.h"
#include "resources/resource.h"

namespace millstair {

inline constexpr char kPriorityHeader[] = "Millstair-Priority";
inline constexpr char kDeadlineHeader[] = "Millstair-Deadline-Ms";
inline constexpr char kRepeatableHeader[] = "Millstair-Repeatable";
inline constexpr char kIdempotencyHeader[] = "Idempotency-Key";
/// When the caller created its idempotency key, in milliseconds since the Unix epoch.
inline constexpr char kKeyIssuedHeader[] = "Millstair-Key-Issued-Ms";

struct RequestMeta {
  RequestPriority priority = RequestPriority::kLive;
  /// Total time limit of the request.
  Duration time_limit{0};
  bool repeatable = true;
  std::string idempotency_key;
  std::optional<WallTime> key_issued;
};

/// Headers override the group's defaults, except that a group's repeatable=false stays.
/// InvalidArgument names the header that is invalid, or missing in the case of the key.
absl::StatusOr<RequestMeta> ReadRequestMeta(const HttpRequest& request,
                                            const TrafficGroupSpec& group);

/// Path of the request target without the query.
std::string_view PathOf(const HttpRequest& request);

}  // namespace millstair
