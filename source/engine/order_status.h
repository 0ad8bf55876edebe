/// HTTP status codes of the responses to engine orders.
#pragma once

#include <string>

#include "absl/status/status.h"

namespace millstair {

/// 200; 400 for a malformed order; 409 for an old fence or failed precondition; 422 for a digest
/// mismatch; 429 and 503 if the weight store is busy or down; 500 for a failed swap and anything
/// else.
int HttpStatusOfOrder(const absl::Status& status);

/// Inverse of HttpStatusOfOrder; `detail` becomes the message.
absl::Status OrderStatusFromHttp(int http_status, const std::string& detail);

}  // namespace millstair
