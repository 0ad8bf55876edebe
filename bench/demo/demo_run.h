/// What the threads of the demo's driver share: the fleet, the clock, the history, which gateways
/// are ready.
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

  /// No new work is begun any more.
  bool stopping() const { return stopping_; }
  void Stop() { stopping_ = true; }
  /// Sleeps, but not beyond the stop.
  void Sleep(Duration time) const;

  /// Runs `change` on the history.
  void Record(const std::function<void(checks::History&)>& change);
  /// Ends the recording; only then may the history be read freely.
  checks::History TakeHistory();

  void SetReady(const std::string& node, bool ready);
  /// A ready gateway, taken in turn; any if none is ready.
  GatewayTarget PickGateway();

  /// Lives of a node, counted by its starts.
  uint64_t LifeOf(const std::string& node);
  void BeginNextLife(const std::string& node);

 private:
  const FleetFile fleet_;
  const RunClock clock_;
  BlockingClient client_;
  std::atomic<bool> stopping_{false};
  mutable std::mutex mutex_;
  checks::History history_;
  std::set<std::string> ready_;
  std::map<std::string, uint64_t> lives_;
  uint64_t picks_ = 0;
};

/// Sends a request with a JSON body (or none).
BlockingReply CallJson(DemoRun& run, const std::string& address, const std::string& method,
                       const std::string& target, const std::string& body, Duration timeout);

}  // namespace millstair
