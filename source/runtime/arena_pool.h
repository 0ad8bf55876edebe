/// A fixed number of workers of a oneTBB arena that run functions from one queue.
///
/// Each worker is one long-running task of the arena that blocks while the queue is empty. With one
/// arena task per function, oneTBB workers would spin after each one before they sleep, which costs
/// more than the functions at low event rates.
#pragma once

#include <tbb/task_arena.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace millstair {

/// Thread-safe.
class ArenaPool {
 public:
  explicit ArenaPool(int workers);
  /// Runs all queued functions, then ends the workers.
  ~ArenaPool();
  ArenaPool(const ArenaPool&) = delete;
  ArenaPool& operator=(const ArenaPool&) = delete;

  /// Queues `work` to run on a worker.
  void Enqueue(std::function<void()> work);
  /// Runs all queued functions and waits for them; nothing may be enqueued afterwards.
  void Stop();

 private:
  void RunWorker();

  std::mutex mutex_;
  std::condition_variable work_available_;
  std::condition_variable workers_ended_;
  std::deque<std::function<void()>> queue_;
  int running_workers_;
  bool stopping_ = false;
  tbb::task_arena arena_;
};

}  // namespace millstair
