/// State shared by the threads of the demo driver: fleet, clock, recorded history, node readiness.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "bench/demo/fleet_file.h"
#include "bench/load/live_call.h"
#include "bench/load/run_clock.h"
#include "ctl/blocking_client.h"
#include "simulator/checks/history.h"

namespace millstair {

/// Thread-safe.
class DemoRun {
 public:
  explicit DemoRun(FleetFile fleet) : fleet_(std::move(fleet)) {}

  const FleetFile& fleet() const { return fleet_; }
  const RunClock& clock() const { return clock_; }
  BlockingCaller& caller() { return client_; }

  /// Once true, no new work is started.
  bool stopping() const { return stopping_; }
  void Stop() { stopping_ = true; }
  /// Sleeps for `time` or until Stop().
  void Sleep(Duration time) const;

  /// Runs `change` on the history under the lock.
  void Record(const std::function<void(checks::History&)>& change);
  /// Moves the history out; call it after all recording has ended.
  checks::History TakeHistory();

  void SetReady(const std::string& node, bool ready);
  /// The next ready gateway, round-robin; any gateway if none is ready.
  GatewayTarget PickGateway();

  /// Incarnation of a node, counted by its restarts during the run.
  uint64_t IncarnationOf(const std::string& node);
  void BeginNextIncarnation(const std::string& node);

 private:
  const FleetFile fleet_;
  const RunClock clock_;
  BlockingClient client_;
  std::atomic<bool> stopping_{false};
  mutable std::mutex mutex_;
  checks::History history_;
  std::set<std::string> ready_;
  std::map<std::string, uint64_t> restarts_;
  uint64_t picks_ = 0;
};

/// Sends a request with a JSON body (or none).
BlockingReply CallJson(DemoRun& run, const std::string& address, const std::string& method,
                       const std::string& target, const std::string& body, Duration timeout);

}  // namespace millstair
