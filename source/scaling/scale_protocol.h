/// Calls by which the lease holder orders servers from the platform. Implemented by the interface
/// in use.
#pragma once

#include <cstdint>
#include <string_view>

#include "cluster/pool_records.h"
#include "duties/usage_report_protocol.h"
#include "http/exchange.h"

namespace millstair {

enum class ScaleAnswer : uint8_t {
  kAccepted,
  kUnavailable,  ///< no servers are available in the zone now
  kBusy,         ///< rate limited and not carried out
  kRefused,      ///< rejected as invalid and not carried out
  kUnknown,      ///< it may have been accepted
};

/// "accepted", "unavailable" and so on, for logs and metrics.
std::string_view ScaleAnswerName(ScaleAnswer answer);

/// Stateless; used on any thread.
class ScaleProtocol {
 public:
  virtual ~ScaleProtocol() = default;
  /// Sets the number of on-demand servers of `size` to its wanted number.
  virtual HttpRequest MakeScaleCall(const PoolSize& size, const TaskLeaseHolder& holder) const = 0;
  /// `status` is 0 if there was no response.
  virtual ScaleAnswer ReadAnswer(int status) const = 0;
};

}  // namespace millstair
