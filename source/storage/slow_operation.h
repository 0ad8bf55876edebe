/// Logs operations on files that take long. Internal to storage/.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "common/event_log.h"

namespace millstair {

/// Operations on files that last as long are logged. Slightly below the election timeouts in use
/// (600 ms): a leader whose disk takes longer may be replaced.
inline constexpr std::chrono::milliseconds kSlowOperation{500};

/// Measures one operation from construction to destruction.
class SlowOperation {
 public:
  /// `path` and `action` outlive this object.
  SlowOperation(const std::string& path, std::string_view action,
                std::chrono::milliseconds limit = kSlowOperation)
      : path_(path), action_(action), limit_(limit) {}
  ~SlowOperation() {
    const auto taken = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - started_at_);
    if (taken < limit_) return;
    LogEvent(EventId::kFileOperationSlow, "action={} duration_ms={} path=\"{}\"", action_,
             taken.count(), path_);
  }
  SlowOperation(const SlowOperation&) = delete;
  SlowOperation& operator=(const SlowOperation&) = delete;

 private:
  const std::string& path_;
  const std::string_view action_;
  const std::chrono::milliseconds limit_;
  const std::chrono::steady_clock::time_point started_at_ = std::chrono::steady_clock::now();
};

}  // namespace millstair
