/// HTTP status codes of the answers to engine orders.
#pragma once

#include <string>

#include "absl/status/status.h"

namespace millstair {

/// 200, 400 for a bad form, 409 for a fence or precondition, 422 for bytes that do not match, 429
/// and 503 for a store that is busy or down, 500 for a swap that failed partway and all else.
int HttpStatusOfOrder(const absl::Status& status);

/// The same back; `detail` becomes the message.
absl::Status OrderStatusFromHttp(int http_status, const std::string& detail);

}  // namespace millstair
