/// Captures the log of a test.
#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>

#include "common/event_log.h"

namespace millstair {

/// A pipe that receives the log while it exists.
class LogPipe {
 public:
  LogPipe() {
    REQUIRE(::pipe(ends_.data()) == 0);
    ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    SetEventDescriptor(ends_[1]);
  }
  ~LogPipe() {
    SetEventDescriptor(STDERR_FILENO);
    ::close(ends_[0]);
    ::close(ends_[1]);
  }
  std::string Read() {
    std::string text;
    std::array<char, 4096> bytes;
    ssize_t count = 0;
    while ((count = ::read(ends_[0], bytes.data(), bytes.size())) > 0) {
      text.append(bytes.data(), static_cast<size_t>(count));
    }
    return text;
  }

 private:
  std::array<int, 2> ends_{};
};

}  // namespace millstair
