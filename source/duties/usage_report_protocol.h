/// Calls by which the lease holder reports usage to the platform. Implemented by the interface in
/// use.
#pragma once

#include <cstdint>
#include <string>

#include "http/exchange.h"
#include "metering/usage_types.h"

namespace millstair {

/// The holder of a task lease, with a fencing token that rises when the holder changes.
struct TaskLeaseHolder {
  std::string machine;
  uint64_t fence = 0;
};

/// The sum of a closed window.
struct UsageStatement {
  UsageWindow window;
  TenantCounts counts;
};

enum class UsageReportAnswer : uint8_t {
  kTaken,
  kBusy,     ///< rate limited
  kRefused,  ///< rejected as invalid and not carried out
  kUnknown,  ///< it may have been accepted
};

/// "taken", "busy" and so on, for logs.
std::string_view UsageReportAnswerName(UsageReportAnswer answer);

/// Stateless; used on any thread.
class UsageReportProtocol {
 public:
  virtual ~UsageReportProtocol() = default;
  virtual HttpRequest MakeUsageCall(const UsageStatement& statement,
                                    const TaskLeaseHolder& holder) const = 0;
  /// `status` is 0 if there was no response.
  virtual UsageReportAnswer ReadAnswer(int status) const = 0;
};

}  // namespace millstair
