/// What a caller's headers say about how its request is to be treated.
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
/// Milliseconds since the Unix epoch at which the caller made its idempotency key.
inline constexpr char kKeyIssuedHeader[] = "Millstair-Key-Issued-Ms";

struct RequestMeta {
  RequestPriority priority = RequestPriority::kLive;
  /// Time that the request may take in all.
  Duration time_limit{0};
  bool repeatable = true;
  std::string idempotency_key;
  std::optional<WallTime> key_issued;
};

/// Headers override the group's defaults, except that a group's repeatable=false stays.
/// InvalidArgument names the header that cannot be read, or a key that is missing.
absl::StatusOr<RequestMeta> ReadRequestMeta(const HttpRequest& request,
                                            const TrafficGroupSpec& group);

/// Path of `target` without the query.
std::string_view PathOf(const HttpRequest& request);

}  // namespace millstair
