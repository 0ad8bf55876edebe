/// When work waits for a confirmation of the configuration, and when it does not.
#include "cluster/freshness_gate.h"

#include <catch2/catch.hpp>

#include "common/virtual_environment.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kReplyTimeout = milliseconds(200);
constexpr Duration kHeartbeat = milliseconds(350);

/// A node that sends heartbeats while it runs.
class Fixture {
 public:
  Fixture() { SendHeartbeat(); }

  void Submit() {
    gate.Submit([this] { ++completed; });
  }

  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 2};
  bool confirmed = false;
  int extra_heartbeats = 0;
  int completed = 0;
  FreshnessGate gate{environment,
                     {kReplyTimeout, 2 * kHeartbeat},
                     [this] { return confirmed; },
                     [this] {
                       ++extra_heartbeats;
                       gate.OnHeartbeatSent();
                     }};

 private:
  void SendHeartbeat() {
    gate.OnHeartbeatSent();
    environment.Schedule(kHeartbeat, [this] { SendHeartbeat(); });
  }
};

TEST_CASE("Work does not wait if the configuration is confirmed or heartbeats go unanswered") {
  Fixture node;
  node.confirmed = true;
  node.Submit();
  CHECK(node.completed == 1);
  node.confirmed = false;
  node.scheduler.RunFor(seconds(3));
  node.Submit();
  CHECK(node.completed == 2);
  CHECK(node.extra_heartbeats == 0);
}

TEST_CASE("Work at a node that has just started waits for its first confirmation") {
  Fixture node;
  node.Submit();
  node.scheduler.RunFor(milliseconds(30));
  CHECK(node.completed == 0);
  node.confirmed = true;
  node.gate.OnConfirmed();
  CHECK(node.completed == 1);
}

TEST_CASE("Work at a node that was paused waits for a confirmation, up to the reply timeout") {
  Fixture node;
  node.scheduler.RunFor(seconds(2));
  node.environment.Suspend();
  node.scheduler.RunFor(seconds(3));
  node.environment.Wake();
  node.Submit();
  CHECK(node.extra_heartbeats == 1);
  node.scheduler.RunFor(kReplyTimeout / 2);
  CHECK(node.completed == 0);
  node.Submit();
  node.scheduler.RunFor(kReplyTimeout);
  CHECK(node.completed == 2);
}

TEST_CASE("A node that is paused while work waits sends a heartbeat again, and waits again") {
  Fixture node;
  node.Submit();
  node.environment.Suspend();
  node.scheduler.RunFor(seconds(3));
  node.environment.Wake();
  node.scheduler.RunFor(kReplyTimeout / 2);
  CHECK(node.completed == 0);
  CHECK(node.extra_heartbeats == 1);
  node.scheduler.RunFor(kReplyTimeout);
  CHECK(node.completed == 1);
}

}  // namespace
}  // namespace millstair
