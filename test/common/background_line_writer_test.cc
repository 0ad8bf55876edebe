#include "common/background_line_writer.h"

#include <fcntl.h>
#include <pthread.h>
#include <sched.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iterator>
#include <memory>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include "common/event_log.h"
#include "test/common/log_pipe.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string NumberedLine(size_t number) { return std::to_string(number) + "\n"; }

/// Consecutive lines from 0 to `count` - 1.
std::string NumberedLines(size_t count) {
  std::string lines;
  for (size_t number = 0; number < count; ++number) lines += NumberedLine(number);
  return lines;
}

/// A pipe whose writers wait while it is full, as they do for a disk that stands still.
class BlockingPipe {
 public:
  BlockingPipe() { REQUIRE(::pipe(ends_.data()) == 0); }
  ~BlockingPipe() {
    ::close(ends_[0]);
    CloseWriter();
  }
  int writer() const { return ends_[1]; }
  void CloseWriter() {
    if (ends_[1] >= 0) ::close(ends_[1]);
    ends_[1] = -1;
  }
  /// Reads until the writer is closed.
  std::string ReadAll() const {
    std::string text;
    std::array<char, 4096> bytes{};
    ssize_t count = 0;
    while ((count = ::read(ends_[0], bytes.data(), bytes.size())) > 0) {
      text.append(bytes.data(), static_cast<size_t>(count));
    }
    return text;
  }

 private:
  std::array<int, 2> ends_{};
};

/// An empty file without a name.
class TemporaryFile {
 public:
  TemporaryFile() : file_(std::tmpfile()) { REQUIRE(file_ != nullptr); }
  ~TemporaryFile() { std::fclose(file_); }
  int descriptor() const { return ::fileno(file_); }
  std::string Read() const {
    std::string text;
    std::array<char, 4096> bytes{};
    ssize_t count = 0;
    off_t offset = 0;
    while ((count = ::pread(descriptor(), bytes.data(), bytes.size(), offset)) > 0) {
      text.append(bytes.data(), static_cast<size_t>(count));
      offset += count;
    }
    return text;
  }

 private:
  std::FILE* file_;
};

/// Restricts this process to the processor that it runs on.
void UseOneProcessor() {
  cpu_set_t processors;
  CPU_ZERO(&processors);
  CPU_SET(static_cast<size_t>(::sched_getcpu()), &processors);
  ::sched_setaffinity(0, sizeof(processors), &processors);
}

size_t CountLines(const std::string& text) {
  return static_cast<size_t>(std::count(text.begin(), text.end(), '\n'));
}

// Guards against a caller that waits for the descriptor, an unbounded queue, and lines that are
// lost or reordered once the descriptor accepts them again.
TEST_CASE("A descriptor that blocks delays no caller, and the queued lines are written in order") {
  BlockingPipe pipe;
  auto writer = std::make_unique<BackgroundLineWriter>(pipe.writer());
  const auto started = std::chrono::steady_clock::now();
  size_t accepted = 0;
  // The thread takes what fits into the pipe and, once, the contents of the queue.
  while (accepted < 3 * BackgroundLineWriter::kMaxQueuedBytes) {
    if (!writer->Add(NumberedLine(accepted))) break;
    ++accepted;
  }
  CHECK(std::chrono::steady_clock::now() - started < seconds(5));
  REQUIRE(accepted < BackgroundLineWriter::kMaxQueuedBytes);
  CHECK(accepted > 100'000);
  CHECK_FALSE(writer->Flush(milliseconds(20)));
  std::string text;
  std::thread reader([&] { text = pipe.ReadAll(); });
  writer.reset();
  pipe.CloseWriter();
  reader.join();
  CHECK(text == NumberedLines(accepted));
}

TEST_CASE("Lines that the descriptor refuses are counted") {
  const int full = ::open("/dev/full", O_WRONLY | O_CLOEXEC);
  REQUIRE(full >= 0);
  {
    BackgroundLineWriter writer(full);
    REQUIRE(writer.Add("first\n"));
    REQUIRE(writer.Add("second\n"));
    REQUIRE(writer.Flush(seconds(10)));
    CHECK(writer.TakeFailed() == 2);
    CHECK(writer.TakeFailed() == 0);
  }
  ::close(full);
}

// Guards against a count of lost lines that is lost itself, since the disk is still full when it is
// reported.
TEST_CASE("A report of dropped lines that the descriptor refuses counts as the lines it reports") {
  const int full = ::open("/dev/full", O_WRONLY | O_CLOEXEC);
  REQUIRE(full >= 0);
  {
    BackgroundLineWriter writer(full);
    REQUIRE(writer.Add("first\n"));
    REQUIRE(writer.Add("40 lines were dropped\n", 40));
    REQUIRE(writer.Flush(seconds(10)));
    CHECK(writer.TakeFailed() == 41);
  }
  ::close(full);
}

// Guards against a process that ends because it has no thread to spare for its log.
TEST_CASE("Lines are written to a file although no thread can be started") {
  const LogPipe pipe;
  const TemporaryFile file;
  const pid_t child = ::fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    // No address space holds such a stack, so each start of a thread fails.
    pthread_attr_t attributes;
    ::pthread_attr_init(&attributes);
    ::pthread_attr_setstacksize(&attributes, size_t{1} << 47);
    ::pthread_setattr_default_np(&attributes);
    try {
      std::thread([] {}).join();
      std::_Exit(2);
    } catch (const std::system_error&) {
    }
    try {
      SetEventDescriptor(file.descriptor());
      LogEvent(EventId::kServerNotStarted, "line=first");
      LogEvent(EventId::kServerNotStarted, "line=last");
    } catch (const std::system_error&) {
      std::_Exit(3);
    }
    // The lines have to be there already.
    std::_Exit(0);
  }
  int status = 0;
  REQUIRE(::waitpid(child, &status, 0) == child);
  REQUIRE(WIFEXITED(status));
  CHECK(WEXITSTATUS(status) == 0);
  CHECK(CountLines(file.Read()) == 2);
}

TEST_CASE(
    "Events logged by several threads to a file are all in it once the descriptor is changed") {
  const TemporaryFile file;
  SetEventDescriptor(file.descriptor());
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([] {
      for (int line = 0; line < 50; ++line) LogEvent(EventId::kServerNotStarted, "line={}", line);
    });
  }
  for (std::thread& thread : threads) thread.join();
  SetEventDescriptor(STDERR_FILENO);
  CHECK(CountLines(file.Read()) == 200);
}

size_t CountThreads() {
  const std::filesystem::directory_iterator threads("/proc/self/task");
  return static_cast<size_t>(std::distance(begin(threads), end(threads)));
}

// Guards against wake-ups for each line in processes that have a small share of a processor. A
// thread that an earlier test has joined may still be counted before.
TEST_CASE("A log to a pipe has no thread") {
  const LogPipe pipe;
  const size_t before = CountThreads();
  for (int line = 0; line < 10; ++line) LogEvent(EventId::kServerNotStarted, "line={}", line);
  CHECK(CountThreads() <= before);
}

// Guards against lines that are still queued when the process ends. On one processor the process
// usually ends before the thread has run; this is a matter of chance, hence several processes.
TEST_CASE("Lines logged just before a normal end of the process are in the file") {
  // Ends the writer of an earlier file: its thread would not exist in the child.
  const LogPipe pipe;
  for (int process = 0; process < 20; ++process) {
    const TemporaryFile file;
    const pid_t child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0) {
      UseOneProcessor();
      SetEventDescriptor(file.descriptor());
      LogEvent(EventId::kServerNotStarted, "line=first");
      LogEvent(EventId::kServerNotStarted, "line=last");
      std::exit(0);
    }
    int status = 0;
    REQUIRE(::waitpid(child, &status, 0) == child);
    CHECK(WIFEXITED(status));
    const std::string text = file.Read();
    CHECK(CountLines(text) == 2);
    CHECK(text.find("line=last\n") != std::string::npos);
  }
}

}  // namespace
}  // namespace millstair
