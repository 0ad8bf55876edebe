/// What the holder of a duty says to the platform. Implemented by the interface in use.
#pragma once

#include <cstdint>
#include <string>

#include "http/exchange.h"
#include "metering/usage_types.h"

namespace millstair {

/// Who holds a duty, and the number that rises when the holder changes.
struct DutyHolder {
  std::string machine;
  uint64_t fence = 0;
};

/// The sum of a closed window.
struct UsageStatement {
  UsageWindow window;
  TenantCounts counts;
};

enum class DutyAnswer : uint8_t {
  kTaken,
  kBusy,     ///< too many calls now
  kRefused,  ///< the platform takes no such call; it was not carried out
  kUnknown,  ///< it may have been taken
};

/// "taken", "busy" and so on, for logs.
std::string_view DutyAnswerName(DutyAnswer answer);

/// Stateless; used on any thread.
class DutyProtocol {
 public:
  virtual ~DutyProtocol() = default;
  virtual HttpRequest MakeUsageCall(const UsageStatement& statement,
                                    const DutyHolder& holder) const = 0;
  /// `status` 0 is no answer.
  virtual DutyAnswer ReadAnswer(int status) const = 0;
};

}  // namespace millstair
