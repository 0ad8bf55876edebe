#include "engine/order_status.h"

namespace millstair {

int HttpStatusOfOrder(const absl::Status& status) {
  switch (status.code()) {
    case absl::StatusCode::kOk:
      return 200;
    case absl::StatusCode::kInvalidArgument:
      return 400;
    case absl::StatusCode::kFailedPrecondition:
      return 409;
    case absl::StatusCode::kDataLoss:
      return 422;
    case absl::StatusCode::kResourceExhausted:
      return 429;
    case absl::StatusCode::kUnavailable:
      return 503;
    default:
      return 500;
  }
}

absl::Status OrderStatusFromHttp(int http_status, const std::string& detail) {
  switch (http_status) {
    case 200:
      return absl::OkStatus();
    case 400:
      return absl::InvalidArgumentError(detail);
    case 409:
      return absl::FailedPreconditionError(detail);
    case 422:
      return absl::DataLossError(detail);
    case 429:
      return absl::ResourceExhaustedError(detail);
    case 500:
      return absl::AbortedError(detail);
    case 503:
      return absl::UnavailableError(detail);
    default:
      return absl::UnknownError(detail);
  }
}

}  // namespace millstair
