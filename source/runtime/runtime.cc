#include "runtime/runtime.h"

#include <tbb/global_control.h>
#include <tbb/task_arena.h>

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace millstair {
namespace {

constexpr int kMaxDefaultWorkers = 8;

int WorkersOf(const RuntimeOptions& options) {
  if (options.workers > 0) return options.workers;
  const auto processors = static_cast<int>(std::thread::hardware_concurrency());
  return std::clamp(processors, 1, kMaxDefaultWorkers);
}

}  // namespace

struct Runtime::Threads {
  explicit Threads(const RuntimeOptions& options)
      // oneTBB counts the main thread too.
      : parallelism(tbb::global_control::max_allowed_parallelism,
                    static_cast<size_t>(WorkersOf(options) + options.background_workers + 1)),
        decisions(WorkersOf(options), 0),
        background(options.background_workers, 0),
        io(options.io_threads),
        work(boost::asio::make_work_guard(io)) {
    decisions.initialize();
    background.initialize();
    for (int i = 0; i < options.io_threads; ++i) {
      io_threads.emplace_back([this] { io.run(); });
    }
  }

  void BackgroundDone() {
    const std::lock_guard<std::mutex> lock(mutex);
    --background_running;
    background_idle.notify_all();
  }

  tbb::global_control parallelism;
  tbb::task_arena decisions;
  tbb::task_arena background;
  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::vector<std::thread> io_threads;
  std::mutex mutex;
  std::condition_variable background_idle;
  int background_running = 0;
};

Runtime::Runtime(RuntimeOptions options) : threads_(std::make_unique<Threads>(options)) {}

Runtime::~Runtime() { Stop(); }

boost::asio::io_context& Runtime::io() { return threads_->io; }

std::shared_ptr<SerialExecutor> Runtime::NewExecutor() {
  return std::make_shared<SerialExecutor>([threads = threads_.get()](std::function<void()> run) {
    threads->decisions.enqueue([run = std::move(run)] { run(); });
  });
}

void Runtime::RunInBackground(std::function<void()> work) {
  Threads* threads = threads_.get();
  {
    const std::lock_guard<std::mutex> lock(threads->mutex);
    ++threads->background_running;
  }
  threads->background.enqueue([threads, work = std::move(work)] {
    work();
    threads->BackgroundDone();
  });
}

void Runtime::Stop() {
  {
    std::unique_lock<std::mutex> lock(threads_->mutex);
    threads_->background_idle.wait(lock, [this] { return threads_->background_running == 0; });
  }
  threads_->work.reset();
  threads_->io.stop();
  for (std::thread& thread : threads_->io_threads) {
    if (thread.joinable()) thread.join();
  }
}

}  // namespace millstair
