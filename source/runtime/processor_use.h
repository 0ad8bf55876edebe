/// What the kernel counts for this process: tells a process that waited for a processor from one
/// that waited for a disk or a lock, and from one that computed.
#pragma once

#include <cstdint>
#include <string>

#include "common/time.h"

namespace millstair {

/// Sums over all threads since the start of the process. Counts of threads that have ended are
/// missing in `run_delay`.
struct ProcessorUse {
  /// Processor time, in user and kernel mode.
  Duration processor{0};
  /// Time in which threads were ready to run and no processor was free for them, from
  /// /proc/self/task/*/schedstat; 0 where the kernel does not count it.
  Duration run_delay{0};
  /// Context switches of threads that waited for something.
  int64_t voluntary_switches = 0;
  /// Context switches of threads that were preempted.
  int64_t involuntary_switches = 0;
  /// Page faults that needed a disk.
  int64_t major_faults = 0;

  friend ProcessorUse operator-(const ProcessorUse& later, const ProcessorUse& earlier);
};

/// Reads one small file for each thread.
ProcessorUse ReadProcessorUse();

/// For logs: "run_delay_ms=... processor_ms=... voluntary=... involuntary=... major_faults=...".
std::string ToString(const ProcessorUse& use);

}  // namespace millstair
