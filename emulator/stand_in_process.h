/// Common parts of the stand-in processes: threads, clock, HTTP listener and graceful shutdown.
///
/// The handler and the models live on the serial executor; only `Run` blocks the calling thread.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "common/environment.h"
#include "http/exchange.h"
#include "runtime/runtime.h"
#include "runtime/runtime_environment.h"

namespace millstair {

class StandInProcess {
 public:
  StandInProcess();
  ~StandInProcess();

  Runtime& runtime() { return runtime_; }
  const std::shared_ptr<SerialExecutor>& executor() { return executor_; }
  /// Use only on the executor, or before `Run`.
  Environment& environment() { return *environment_; }

  struct Plan {
    /// Role in the log: "engine", "store" and so on.
    std::string role;
    std::string listen;
    RequestHandler* handler = nullptr;
    /// Called on the executor when a termination signal arrives; may be empty.
    std::function<void()> drain;
    /// True when all work is finished; polled on the executor. If empty, the process does not wait.
    std::function<bool()> idle;
    Duration drain_timeout = std::chrono::seconds(60);
  };
  /// Serves until SIGTERM or SIGINT, then drains and returns. Unavailable if binding fails.
  absl::Status Run(const Plan& plan);

  /// Runs `work` on the executor and waits for it.
  void OnExecutor(std::function<void()> work);

 private:
  void WaitForSignal();
  void WaitUntilIdle(const Plan& plan);

  Runtime runtime_;
  std::shared_ptr<SerialExecutor> executor_;
  std::unique_ptr<RuntimeEnvironment> environment_;
};

}  // namespace millstair
