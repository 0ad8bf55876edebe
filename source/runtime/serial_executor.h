/// Runs the tasks of one node one after another on the workers of a oneTBB arena. All decision code
/// of a node lives on one serial executor, so it needs no locks; I/O threads only post into it.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "absl/functional/any_invocable.h"

namespace millstair {

/// Thread-safe. Tasks run in the order they were posted, never two at a time, on changing threads.
class SerialExecutor : public std::enable_shared_from_this<SerialExecutor> {
 public:
  using Task = absl::AnyInvocable<void()>;
  /// Runs a function soon on some worker thread.
  using Enqueue = std::function<void(std::function<void()>)>;

  explicit SerialExecutor(Enqueue enqueue) : enqueue_(std::move(enqueue)) {}
  SerialExecutor(const SerialExecutor&) = delete;
  SerialExecutor& operator=(const SerialExecutor&) = delete;

  /// Runs `task` after all posted before it. Dropped once `Stop` was called.
  void Post(Task task);

  /// Runs `task` and waits for it; not from a task of this executor. False if it was dropped.
  bool PostAndWait(Task task);

  /// Drops what has not run and waits for the running task, unless it is the caller.
  void Stop();

 private:
  void RunBatch();
  /// Takes the next task; false (and idle) if there is none or the executor was stopped.
  bool TakeNext(Task* task);

  const Enqueue enqueue_;
  std::mutex mutex_;
  std::condition_variable idle_;
  std::deque<Task> queue_;
  /// A batch is running or enqueued.
  bool scheduled_ = false;
  bool stopped_ = false;
  std::thread::id running_thread_;
};

}  // namespace millstair
