#include "runtime/arena_pool.h"

#include <utility>

namespace millstair {

ArenaPool::ArenaPool(int workers) : running_workers_(workers), arena_(workers, 0) {
  arena_.initialize();
  for (int i = 0; i < workers; ++i) {
    arena_.enqueue([this] { RunWorker(); });
  }
}

ArenaPool::~ArenaPool() { Stop(); }

void ArenaPool::Enqueue(std::function<void()> work) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    queue_.push_back(std::move(work));
  }
  work_available_.notify_one();
}

void ArenaPool::Stop() {
  std::unique_lock<std::mutex> lock(mutex_);
  stopping_ = true;
  work_available_.notify_all();
  workers_ended_.wait(lock, [this] { return running_workers_ == 0; });
}

void ArenaPool::RunWorker() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    work_available_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    if (queue_.empty()) break;
    const std::function<void()> work = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();
    work();
    lock.lock();
  }
  --running_workers_;
  workers_ended_.notify_all();
}

}  // namespace millstair
