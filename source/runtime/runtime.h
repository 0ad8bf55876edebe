/// Threads of a process: Asio threads for I/O, a oneTBB arena for decisions, another for work that
/// blocks (fdatasync). Any number of nodes share one runtime, each on its own SerialExecutor.
#pragma once

#include <functional>
#include <memory>

#include "runtime/serial_executor.h"

namespace boost::asio {
class io_context;
}

namespace millstair {

struct RuntimeOptions {
  /// Threads that run socket and timer handlers.
  int io_threads = 1;
  /// Workers of the decision arena; 0 is one per processor, at most 8.
  int workers = 0;
  /// Workers of the arena for blocking work.
  int background_workers = 2;
};

/// Thread-safe. Outlives all that was made with it.
class Runtime {
 public:
  explicit Runtime(RuntimeOptions options = {});
  ~Runtime();
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;

  boost::asio::io_context& io();
  std::shared_ptr<SerialExecutor> NewExecutor();
  /// Runs blocking work off the decision arena.
  void RunInBackground(std::function<void()> work);
  /// Waits for what is queued and ends all threads. Executors are stopped by their owners before.
  void Stop();

 private:
  struct Threads;
  std::unique_ptr<Threads> threads_;
};

}  // namespace millstair
