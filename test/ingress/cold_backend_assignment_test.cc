/// Which gateway alone may send to a back end, while gateways come and go and see it late.
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

/// The cluster's members as they change, and gateways that learn of each change up to a lease late,
/// are cut off, suspended and restarted.
class Members {
 public:
  Members(int gateways, uint64_t seed) : random_(seed) {
    for (int i = 0; i < gateways; ++i) {
      NodeRecord record;
      record.node = NodeId(NameOf(i));
      record.gateway = true;
      truth_.nodes[record.node] = record;
    }
    for (int i = 0; i < gateways; ++i) gateways_.push_back(Restarted(i));
  }

  void Step() {
    scheduler_.RunFor(kStep);
    if (DrawChance(random_, 0.02)) Change();
    for (Gateway& gateway : gateways_) {
      if (gateway.silent_until > environment_.Now()) continue;
      if (DrawChance(random_, 0.001)) gateway.silent_until = environment_.Now() + seconds(3);
      if (DrawChance(random_, 0.0005)) gateway = Restarted(gateway.index);
      // A proof takes until the next heartbeat; the lease runs from when it was sent.
      if (DrawChance(random_, 0.05)) Prove(gateway);
    }
  }

  /// All are members, and in touch, for two leases.
  void Settle() {
    for (auto& [node, record] : truth_.nodes) record.state = MemberState::kLive;
    const TimePoint until = environment_.Now() + 2 * kLease + kStep;
    while (environment_.Now() < until) {
      scheduler_.RunFor(kStep);
      for (Gateway& gateway : gateways_) Prove(gateway);
    }
  }

  /// Gateways that would send to `subject` now.
  int Acting(const std::string& subject) {
    int acting = 0;
    for (Gateway& gateway : gateways_) {
      const bool valid = gateway.lease_until > environment_.Now();
      const auto since = valid ? std::optional(gateway.confirmed_since) : std::nullopt;
      acting += gateway.turns->IsAssignedToSelf(subject, since) ? 1 : 0;
    }
    return acting;
  }

 private:
  struct Gateway {
    int index = 0;
    std::unique_ptr<ColdBackendAssignment> turns;
    TimePoint lease_until;
    TimePoint confirmed_since;
    TimePoint silent_until;
  };

  Gateway Restarted(int index) {
    Gateway gateway;
    gateway.index = index;
    gateway.turns =
        std::make_unique<ColdBackendAssignment>(environment_, NodeId(NameOf(index)), kLease);
    return gateway;
  }

  void Change() {
    const size_t which = DrawBelow(random_, gateways_.size());
    NodeRecord& record = truth_.nodes[NodeId(NameOf(static_cast<int>(which)))];
    record.state = record.state == MemberState::kLive ? MemberState::kGone : MemberState::kLive;
  }

  /// It holds what was the newest when the proof was asked for.
  void Prove(Gateway& gateway) {
    gateway.turns->Update(truth_);
    if (gateway.lease_until <= environment_.Now()) gateway.confirmed_since = environment_.Now();
    gateway.lease_until = environment_.Now() + kLease;
  }

  RandomEngine random_;
  VirtualScheduler scheduler_{1};
  VirtualEnvironment environment_{scheduler_, 1};
  Configuration truth_;
  std::vector<Gateway> gateways_;
};

TEST_CASE("No two gateways send to one back end at once, whoever comes, goes or sees it late") {
  const int gateways = GENERATE(2, 9, 40);
  const uint64_t seed = GENERATE(range(1, 7));
  INFO("gateways " << gateways << " seed " << seed);
  Members members(gateways, seed);
  for (int step = 0; step < 6000; ++step) {
    members.Step();
    for (int i = 0; i < kSubjects; ++i) {
      REQUIRE(members.Acting(fmt::format("i{}", i)) <= 1);
    }
  }
  // Once nothing changes any more each back end has its gateway within two leases.
  members.Settle();
  for (int i = 0; i < kSubjects; ++i) CHECK(members.Acting(fmt::format("i{}", i)) == 1);
}

}  // namespace
}  // namespace millstair
