#include "runtime/serial_executor.h"

#include <future>
#include <utility>

namespace millstair {
namespace {

/// Maximum number of tasks run before yielding to other executors of the arena.
constexpr int kBatchTasks = 64;

}  // namespace

void SerialExecutor::Post(Task task) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopped_) return;
    queue_.push_back(std::move(task));
    if (scheduled_) return;
    scheduled_ = true;
  }
  enqueue_([self = shared_from_this()] { self->RunBatch(); });
}

bool SerialExecutor::PostAndWait(Task task) {
  auto finished = std::make_shared<std::promise<void>>();
  std::future<void> wait = finished->get_future();
  Post([task = std::move(task), finished = std::move(finished)]() mutable {
    task();
    finished->set_value();
  });
  wait.wait();
  try {
    wait.get();
    return true;
  } catch (const std::future_error&) {
    return false;  // the task was dropped together with the promise
  }
}

bool SerialExecutor::TakeNext(Task* task) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (stopped_ || queue_.empty()) {
    scheduled_ = false;
    running_thread_ = std::thread::id();
    idle_.notify_all();
    return false;
  }
  *task = std::move(queue_.front());
  queue_.pop_front();
  running_thread_ = std::this_thread::get_id();
  return true;
}

void SerialExecutor::RunBatch() {
  for (int count = 0; count < kBatchTasks; ++count) {
    Task task;
    if (!TakeNext(&task)) return;
    task();
  }
  enqueue_([self = shared_from_this()] { self->RunBatch(); });
}

void SerialExecutor::Stop() {
  std::deque<Task> dropped;  // destroyed after the lock is released
  std::unique_lock<std::mutex> lock(mutex_);
  stopped_ = true;
  dropped.swap(queue_);
  if (running_thread_ == std::this_thread::get_id()) return;
  idle_.wait(lock, [this] { return !scheduled_; });
}

}  // namespace millstair
