#include "storage/slow_operation.h"

#include <catch2/catch.hpp>
#include <string>

#include "test/common/log_pipe.h"

namespace millstair {
namespace {

// Guards against a disk that stands still without a trace in the log, and a line for each write.
TEST_CASE("Only operations that reach the limit are logged") {
  LogPipe log;
  const std::string path = "/data/log-1";
  { const SlowOperation quick(path, "sync", std::chrono::hours(1)); }
  CHECK(log.Read().empty());
  { const SlowOperation slow(path, "sync", std::chrono::milliseconds(0)); }
  CHECK(log.Read().find("name=FileOperationSlow action=sync duration_ms=0 path=\"/data/log-1\"") !=
        std::string::npos);
}

}  // namespace
}  // namespace millstair
