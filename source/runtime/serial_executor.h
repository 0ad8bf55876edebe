/// Runs the tasks of one node sequentially on the workers of a oneTBB arena. The logic of a node
/// runs on one serial executor and needs no locks; I/O threads only post tasks.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "absl/functional/any_invocable.h"

namespace millstair {

/// Thread-safe. Tasks run one at a time in the order they were posted, on any worker thread.
class SerialExecutor : public std::enable_shared_from_this<SerialExecutor> {
 public:
  using Task = absl::AnyInvocable<void()>;
  /// Schedules a function on a worker thread.
  using Enqueue = std::function<void(std::function<void()>)>;

  explicit SerialExecutor(Enqueue enqueue) : enqueue_(std::move(enqueue)) {}
  SerialExecutor(const SerialExecutor&) = delete;
  SerialExecutor& operator=(const SerialExecutor&) = delete;

  /// Runs `task` after all tasks posted before it. Drops it once `Stop` was called.
  void Post(Task task);

  /// Runs `task` and waits for it; returns false if it was dropped. Must not be called from a task
  /// of this executor.
  bool PostAndWait(Task task);

  /// Drops pending tasks and waits for the running task, unless that is the caller.
  void Stop();

 private:
  void RunBatch();
  /// Takes the next task; returns false and becomes idle if there is none or the executor was
  /// stopped.
  bool TakeNext(Task* task);

  const Enqueue enqueue_;
  std::mutex mutex_;
  std::condition_variable idle_;
  std::deque<Task> queue_;
  /// Whether a batch is running or enqueued.
  bool scheduled_ = false;
  bool stopped_ = false;
  std::thread::id running_thread_;
};

}  // namespace millstair
