#include "emulator/stand_in_process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <future>
#include <thread>
#include <utility>

#include "common/event_log.h"
#include "http/http_server.h"

namespace millstair {
namespace {

constexpr std::chrono::milliseconds kIdlePoll(20);
/// Time for the last responses to leave the send buffers.
constexpr std::chrono::milliseconds kFlushTime(100);

}  // namespace

StandInProcess::StandInProcess()
    : runtime_({.io_threads = 1, .workers = 1, .background_workers = 1}),
      executor_(runtime_.NewExecutor()),
      environment_(std::make_unique<RuntimeEnvironment>(runtime_, executor_)) {}

StandInProcess::~StandInProcess() {
  executor_->Stop();
  environment_.reset();
  runtime_.Stop();
}

void StandInProcess::OnExecutor(std::function<void()> work) {
  executor_->PostAndWait(std::move(work));
}

void StandInProcess::WaitForSignal() {
  boost::asio::signal_set signals(runtime_.io(), SIGINT, SIGTERM);
  std::promise<void> got;
  signals.async_wait([&got](boost::system::error_code, int) { got.set_value(); });
  got.get_future().wait();
}

void StandInProcess::WaitUntilIdle(const Plan& plan) {
  if (!plan.idle) return;
  const auto deadline = std::chrono::steady_clock::now() + plan.drain_timeout;
  bool idle = false;
  while (!idle && std::chrono::steady_clock::now() < deadline) {
    OnExecutor([&] { idle = plan.idle(); });
    if (!idle) std::this_thread::sleep_for(kIdlePoll);
  }
}

absl::Status StandInProcess::Run(const Plan& plan) {
  std::unique_ptr<HttpServer> server;
  absl::Status bound;
  OnExecutor([&] {
    absl::StatusOr<std::unique_ptr<HttpServer>> listening =
        HttpServer::Listen(runtime_, executor_, plan.listen, *plan.handler);
    bound = listening.status();
    if (listening.ok()) server = *std::move(listening);
  });
  if (!bound.ok()) return bound;
  LogEvent(EventId::kStandInStarted, "role={} listen={}", plan.role, server->address());
  WaitForSignal();
  LogEvent(EventId::kStandInDraining, "role={}", plan.role);
  OnExecutor([&] {
    if (plan.drain) plan.drain();
    server->BeginDrain();
  });
  WaitUntilIdle(plan);
  std::this_thread::sleep_for(kFlushTime);
  OnExecutor([&] {
    server->Stop();
    server.reset();
  });
  LogEvent(EventId::kStandInStopped, "role={}", plan.role);
  return absl::OkStatus();
}

}  // namespace millstair
