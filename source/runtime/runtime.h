/// Threads of a process: Asio threads for I/O, a oneTBB arena for the logic of nodes and another
/// one for blocking work such as fdatasync. Nodes share one runtime, each on its own
/// SerialExecutor.
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
  /// Workers of the arena for node logic; 0 means one per processor, at most 8.
  int workers = 0;
  /// Workers of the arena for blocking work.
  int background_workers = 2;
};

/// Thread-safe. Must outlive all objects created with it.
class Runtime {
 public:
  explicit Runtime(RuntimeOptions options = {});
  ~Runtime();
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;

  boost::asio::io_context& io();
  std::shared_ptr<SerialExecutor> NewExecutor();
  /// Runs blocking work on the background arena.
  void RunInBackground(std::function<void()> work);
  /// Waits for queued work and ends all threads. The owners of executors must stop them before.
  void Stop();

 private:
  struct Threads;
  std::unique_ptr<Threads> threads_;
};

}  // namespace millstair
