/// What each stand-in process has in common: threads, a clock, an HTTP listener and an orderly end.
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
  /// Used on the executor, or before `Run`.
  Environment& environment() { return *environment_; }

  struct Plan {
    /// For the log: "engine", "store" and so on.
    std::string role;
    std::string listen;
    RequestHandler* handler = nullptr;
    /// Called on the executor when the process is told to stop; may be empty.
    std::function<void()> drain;
    /// Whether all work has been finished; polled on the executor. Empty: nothing to wait for.
    std::function<bool()> idle;
    Duration drain_timeout = std::chrono::seconds(60);
  };
  /// Serves until SIGTERM or SIGINT, then drains and ends. Unavailable if it can't bind.
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
