/// The platform's list of machines with their states. It lags behind their actual states.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "common/environment.h"
#include "common/scoped_timer.h"
#include "http/exchange.h"

namespace millstair {

enum class PlatformMachineState : uint8_t { kLive, kLeaving, kGone };

/// State of each machine, by IP address.
using PlatformMachines = std::map<std::string, PlatformMachineState>;

/// Parses {"machines":[{"address","state":"live|leaving|gone"}]}. InvalidArgument for anything
/// else.
absl::StatusOr<PlatformMachines> ParsePlatformList(const std::string& json);

/// Fetches the list every `interval` while started. Failed fetches are logged and change nothing.
class PlatformPoller {
 public:
  using Listener = std::function<void(const PlatformMachines&)>;

  /// Disabled if `address` is empty.
  PlatformPoller(Environment& environment, HttpCaller& http, std::string address, Duration interval,
                 Listener listener);
  ~PlatformPoller();

  void Start();
  void Stop();

 private:
  class Call;

  void Poll();
  void Finish(absl::StatusOr<std::string> body);

  HttpCaller& http_;
  const std::string address_;
  const Duration interval_;
  const Listener listener_;
  bool started_ = false;
  ScopedTimer timer_;
  std::unique_ptr<Call> call_;
};

}  // namespace millstair
