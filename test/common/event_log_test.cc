#include "common/event_log.h"

#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "test/common/log_pipe.h"

namespace millstair {
namespace {

TEST_CASE("A line contains its time, level, event and values") {
  LogPipe pipe;
  LogEvent(EventId::kServerStopped, "node={} text=\"{}\"", "n1", "two\nlines");
  const std::string line = pipe.Read();
  CHECK(line.starts_with("time=20"));
  CHECK(line.find(" level=info event=5303 name=ServerStopped node=n1 text=\"two lines\"\n") !=
        std::string::npos);
}

TEST_CASE("A full pipe drops lines instead of blocking, and the loss is logged") {
  LogPipe pipe;
  const std::string filler(1000, 'x');
  const auto started = std::chrono::steady_clock::now();
  for (int i = 0; i < 300; ++i) LogEvent(EventId::kServerStopped, "{}", filler);
  CHECK(std::chrono::steady_clock::now() - started < std::chrono::seconds(2));
  const std::string first = pipe.Read();
  CHECK(first.find("LogLinesDropped") == std::string::npos);
  LogEvent(EventId::kServerStopped, "after");
  const std::string second = pipe.Read();
  CHECK(second.find("name=LogLinesDropped count=") != std::string::npos);
  CHECK(second.find("after") != std::string::npos);
}

TEST_CASE("A flood of successes does not suppress failures") {
  LogPipe pipe;
  for (int i = 0; i < 20000; ++i) {
    LogEvent(EventId::kServerStopped, "flood");
    if (i % 100 == 0) pipe.Read();
  }
  pipe.Read();
  LogEvent(EventId::kServerStopped, "success");
  LogEvent(EventId::kServerNotStarted, "failure");
  const std::string text = pipe.Read();
  CHECK(text.find("success") == std::string::npos);
  CHECK(text.find("failure") != std::string::npos);
}

}  // namespace
}  // namespace millstair
