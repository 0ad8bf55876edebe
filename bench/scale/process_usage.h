/// Processor time and memory of processes of this machine, from /proc.
#pragma once

#include <cstdint>

#include "absl/status/statusor.h"
#include "common/time.h"

namespace millstair {

struct ProcessUsage {
  /// User and system time since the start of the process.
  Duration processor_time{0};
  /// Resident memory, bytes.
  uint64_t resident_bytes = 0;
};

/// Usage of process `pid`. NotFound if there is no such process.
absl::StatusOr<ProcessUsage> ReadProcessUsage(int pid);

}  // namespace millstair
