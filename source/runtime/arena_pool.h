/// A fixed number of workers of a oneTBB arena that take functions from one queue.
///
/// Each worker is one long task of the arena that sleeps while the queue is empty. Single tasks
/// would be simpler, but a oneTBB worker spins for some 250 microseconds before it sleeps, which at
/// a hundred events a second costs more than the events.
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
  /// Runs what is queued, then ends the workers.
  ~ArenaPool();
  ArenaPool(const ArenaPool&) = delete;
  ArenaPool& operator=(const ArenaPool&) = delete;

  /// Runs `work` soon on a worker.
  void Enqueue(std::function<void()> work);
  /// Runs what is queued and waits for it; nothing may be enqueued afterwards.
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
