#include "bench/scale/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

#include "absl/status/status.h"
#include "fmt/format.h"

namespace millstair {
namespace {

/// Fields between the closing bracket of the name and utime in /proc/<pid>/stat.
constexpr int kFieldsBeforeUserTime = 11;

}  // namespace

absl::StatusOr<ProcessUsage> ReadProcessUsage(int pid) {
  std::ifstream stat(fmt::format("/proc/{}/stat", pid));
  std::string line;
  if (!std::getline(stat, line)) return absl::NotFoundError(fmt::format("no process {}", pid));
  const size_t name_end = line.rfind(')');
  if (name_end == std::string::npos) return absl::DataLossError("unreadable process state");
  std::istringstream fields(line.substr(name_end + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) fields >> skipped;
  uint64_t user_ticks = 0;
  uint64_t system_ticks = 0;
  fields >> user_ticks >> system_ticks;

  std::ifstream memory(fmt::format("/proc/{}/statm", pid));
  uint64_t total_pages = 0;
  uint64_t resident_pages = 0;
  memory >> total_pages >> resident_pages;

  ProcessUsage usage;
  const double ticks_per_second = static_cast<double>(sysconf(_SC_CLK_TCK));
  usage.processor_time =
      FromSeconds(static_cast<double>(user_ticks + system_ticks) / ticks_per_second);
  usage.resident_bytes = resident_pages * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
  return usage;
}

}  // namespace millstair
