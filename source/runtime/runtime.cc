#include "runtime/runtime.h"

#include <tbb/global_control.h>

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>
#include <utility>
#include <vector>

#include "runtime/arena_pool.h"

namespace millstair {
namespace {

constexpr int kMaxDefaultWorkers = 8;
constexpr size_t kMaxWorkersOfProcess = 256;

int WorkersOf(const RuntimeOptions& options) {
  if (options.workers > 0) return options.workers;
  const auto processors = static_cast<int>(std::thread::hardware_concurrency());
  return std::clamp(processors, 1, kMaxDefaultWorkers);
}

/// Workers of a pool occupy their threads permanently, so oneTBB has to allow as many threads as
/// all pools of the process have together. The limit is process-wide; the smallest one set applies.
void AllowWorkers() {
  static const tbb::global_control control(tbb::global_control::max_allowed_parallelism,
                                           kMaxWorkersOfProcess);
}

}  // namespace

struct Runtime::Threads {
  explicit Threads(const RuntimeOptions& options)
      : decisions(WorkersOf(options)),
        background(options.background_workers),
        io(options.io_threads),
        work(boost::asio::make_work_guard(io)) {
    for (int i = 0; i < options.io_threads; ++i) {
      io_threads.emplace_back([this] { io.run(); });
    }
  }

  ArenaPool decisions;
  ArenaPool background;
  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::vector<std::thread> io_threads;
};

Runtime::Runtime(RuntimeOptions options) {
  AllowWorkers();
  threads_ = std::make_unique<Threads>(options);
}

Runtime::~Runtime() { Stop(); }

boost::asio::io_context& Runtime::io() { return threads_->io; }

std::shared_ptr<SerialExecutor> Runtime::NewExecutor() {
  return std::make_shared<SerialExecutor>([threads = threads_.get()](std::function<void()> run) {
    threads->decisions.Enqueue(std::move(run));
  });
}

void Runtime::RunInBackground(std::function<void()> work) {
  threads_->background.Enqueue(std::move(work));
}

void Runtime::Stop() {
  threads_->background.Stop();
  threads_->decisions.Stop();
  threads_->work.reset();
  threads_->io.stop();
  for (std::thread& thread : threads_->io_threads) {
    if (thread.joinable()) thread.join();
  }
}

}  // namespace millstair
