/// Assignment of cold back ends to gateways that join, leave and see changes late.
#include "ingress/cold_backend_assignment.h"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>

#include "common/random.h"
#include "common/virtual_environment.h"
#include "fmt/format.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLease = milliseconds(1750);
constexpr Duration kStep = milliseconds(10);
constexpr int kSubjects = 5;

std::string NameOf(int gateway) { return fmt::format("g{}", gateway); }

/// A changing cluster, whose gateways learn of each change up to a lease late and are isolated,
/// suspended and restarted.
class Members {
 public:
  Members(int gateways, uint64_t seed) : random_(seed) {
    for (int i = 0; i < gateways; ++i) {
      NodeRecord record;
      record.node = NodeId(NameOf(i));
      record.gateway = true;
      newest_.nodes[record.node] = record;
    }
    for (int i = 0; i < gateways; ++i) gateways_.push_back(Restarted(i));
  }

  void Step() {
    scheduler_.RunFor(kStep);
    if (DrawChance(random_, 0.02)) Change();
    for (Gateway& gateway : gateways_) {
      if (gateway.suspended_until > environment_.Now()) continue;
      if (DrawChance(random_, 0.001)) gateway.suspended_until = environment_.Now() + seconds(3);
      if (DrawChance(random_, 0.0005)) gateway = Restarted(gateway.index);
      // Confirmations arrive with a heartbeat.
      if (DrawChance(random_, 0.05)) Confirm(gateway);
    }
  }

  /// Makes all gateways members and keeps them confirmed for two leases.
  void Settle() {
    for (auto& [node, record] : newest_.nodes) record.state = MemberState::kLive;
    const TimePoint until = environment_.Now() + 2 * kLease + kStep;
    while (environment_.Now() < until) {
      scheduler_.RunFor(kStep);
      for (Gateway& gateway : gateways_) Confirm(gateway);
    }
  }

  /// Number of gateways that would send to `subject` now.
  int CountAssigned(const std::string& subject) {
    int assigned = 0;
    for (Gateway& gateway : gateways_) {
      const bool valid = gateway.lease_until > environment_.Now();
      const auto since = valid ? std::optional(gateway.confirmed_since) : std::nullopt;
      assigned += gateway.assignment->IsAssignedToSelf(subject, since) ? 1 : 0;
    }
    return assigned;
  }

 private:
  struct Gateway {
    int index = 0;
    std::unique_ptr<ColdBackendAssignment> assignment;
    TimePoint lease_until;
    TimePoint confirmed_since;
    TimePoint suspended_until;
  };

  Gateway Restarted(int index) {
    Gateway gateway;
    gateway.index = index;
    gateway.assignment =
        std::make_unique<ColdBackendAssignment>(environment_, NodeId(NameOf(index)), kLease);
    return gateway;
  }

  void Change() {
    const size_t which = DrawBelow(random_, gateways_.size());
    NodeRecord& record = newest_.nodes[NodeId(NameOf(static_cast<int>(which)))];
    record.state = record.state == MemberState::kLive ? MemberState::kGone : MemberState::kLive;
  }

  /// The gateway receives the newest configuration together with its confirmation.
  void Confirm(Gateway& gateway) {
    gateway.assignment->Update(newest_);
    if (gateway.lease_until <= environment_.Now()) gateway.confirmed_since = environment_.Now();
    gateway.lease_until = environment_.Now() + kLease;
  }

  RandomEngine random_;
  VirtualScheduler scheduler_{1};
  VirtualEnvironment environment_{scheduler_, 1};
  Configuration newest_;
  std::vector<Gateway> gateways_;
};

TEST_CASE("No two gateways are assigned to one back end while members change") {
  const int gateways = GENERATE(2, 9, 40);
  const uint64_t seed = GENERATE(range(1, 7));
  INFO("gateways " << gateways << " seed " << seed);
  Members members(gateways, seed);
  for (int step = 0; step < 6000; ++step) {
    members.Step();
    for (int i = 0; i < kSubjects; ++i) {
      REQUIRE(members.CountAssigned(fmt::format("i{}", i)) <= 1);
    }
  }
  // In a stable cluster each back end is assigned to a gateway within two leases.
  members.Settle();
  for (int i = 0; i < kSubjects; ++i) CHECK(members.CountAssigned(fmt::format("i{}", i)) == 1);
}

}  // namespace
}  // namespace millstair
