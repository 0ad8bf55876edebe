/// When work waits for a proof of the configuration, and when it does not.
#include "cluster/proof_gate.h"

#include <catch2/catch.hpp>

#include "common/virtual_environment.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kPatience = milliseconds(200);
constexpr Duration kHeartbeat = milliseconds(350);

/// A node that sends heartbeats while it runs.
class Fixture {
 public:
  Fixture() { Beat(); }

  void Pass() {
    gate.Pass([this] { ++passed; });
  }

  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 2};
  bool proven = false;
  int asked_at_once = 0;
  int passed = 0;
  ProofGate gate{environment,
                 {kPatience, 2 * kHeartbeat},
                 [this] { return proven; },
                 [this] {
                   ++asked_at_once;
                   gate.NoteAsked();
                 }};

 private:
  void Beat() {
    gate.NoteAsked();
    environment.Schedule(kHeartbeat, [this] { Beat(); });
  }
};

TEST_CASE("Work does not wait where the configuration is proven or was asked for in vain") {
  Fixture node;
  node.proven = true;
  node.Pass();
  CHECK(node.passed == 1);
  node.proven = false;
  node.scheduler.RunFor(seconds(3));
  node.Pass();
  CHECK(node.passed == 2);
  CHECK(node.asked_at_once == 0);
}

TEST_CASE("Work at a node that has just started waits for its first proof") {
  Fixture node;
  node.Pass();
  node.scheduler.RunFor(milliseconds(30));
  CHECK(node.passed == 0);
  node.proven = true;
  node.gate.NoteProven();
  CHECK(node.passed == 1);
}

TEST_CASE("Work at a node that wakes waits for a proof, and no longer than an answer takes") {
  Fixture node;
  node.scheduler.RunFor(seconds(2));
  node.environment.Suspend();
  node.scheduler.RunFor(seconds(3));
  node.environment.Wake();
  node.Pass();
  CHECK(node.asked_at_once == 1);
  node.scheduler.RunFor(kPatience / 2);
  CHECK(node.passed == 0);
  node.Pass();
  node.scheduler.RunFor(kPatience);
  CHECK(node.passed == 2);
}

TEST_CASE("A node that stands still while its work waits asks again, and waits again") {
  Fixture node;
  node.Pass();
  node.environment.Suspend();
  node.scheduler.RunFor(seconds(3));
  node.environment.Wake();
  node.scheduler.RunFor(kPatience / 2);
  CHECK(node.passed == 0);
  CHECK(node.asked_at_once == 1);
  node.scheduler.RunFor(kPatience);
  CHECK(node.passed == 1);
}

}  // namespace
}  // namespace millstair
