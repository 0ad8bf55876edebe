/// The platform's list of live and leaving machines. It lags behind reality.
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

/// State of each machine, by its address (an IP number).
using PlatformMachines = std::map<std::string, PlatformMachineState>;

/// Reads {"machines":[{"address","state":"live|leaving|gone"}]}. InvalidArgument for anything else.
absl::StatusOr<PlatformMachines> ParsePlatformList(const std::string& json);

/// Reads the list every `interval` while it is started. Failed readings change nothing.
class PlatformPoller {
 public:
  using Listener = std::function<void(const PlatformMachines&)>;

  /// Polls nothing if `address` is empty.
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
