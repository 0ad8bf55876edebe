#include "runtime/processor_use.h"

#include <sys/resource.h>

#include <filesystem>
#include <fstream>
#include <system_error>

#include "fmt/format.h"

namespace millstair {
namespace {

Duration ToDuration(const timeval& time) {
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                              std::chrono::microseconds(time.tv_usec));
}

Duration ReadRunDelay() {
  std::chrono::nanoseconds sum{0};
  std::error_code error;
  // A thread may end meanwhile; what can't be read counts nothing. A range-based loop would throw.
  std::filesystem::directory_iterator thread("/proc/self/task", error);
  for (; thread != std::filesystem::directory_iterator(); thread.increment(error)) {
    std::ifstream file(thread->path() / "schedstat");
    int64_t processor = 0;
    int64_t delay = 0;
    if (file >> processor >> delay) sum += std::chrono::nanoseconds(delay);
  }
  return std::chrono::duration_cast<Duration>(sum);
}

}  // namespace

ProcessorUse operator-(const ProcessorUse& later, const ProcessorUse& earlier) {
  ProcessorUse difference;
  difference.processor = later.processor - earlier.processor;
  difference.run_delay = later.run_delay - earlier.run_delay;
  difference.voluntary_switches = later.voluntary_switches - earlier.voluntary_switches;
  difference.involuntary_switches = later.involuntary_switches - earlier.involuntary_switches;
  difference.major_faults = later.major_faults - earlier.major_faults;
  return difference;
}

ProcessorUse ReadProcessorUse() {
  ProcessorUse use;
  use.run_delay = ReadRunDelay();
  rusage counted{};
  if (::getrusage(RUSAGE_SELF, &counted) != 0) return use;
  use.processor = ToDuration(counted.ru_utime) + ToDuration(counted.ru_stime);
  use.voluntary_switches = counted.ru_nvcsw;
  use.involuntary_switches = counted.ru_nivcsw;
  use.major_faults = counted.ru_majflt;
  return use;
}

std::string ToString(const ProcessorUse& use) {
  return fmt::format("run_delay_ms={} processor_ms={} voluntary={} involuntary={} major_faults={}",
                     ToMilliseconds(use.run_delay), ToMilliseconds(use.processor),
                     use.voluntary_switches, use.involuntary_switches, use.major_faults);
}

}  // namespace millstair
