/// Requests to cold back ends from all nodes together, counted per second at the back end.
#include <catch2/catch.hpp>
#include <deque>
#include <memory>

#include "common/random.h"
#include "common/virtual_environment.h"
#include "fmt/format.h"
#include "ingress/backend_directory.h"
#include "ingress/cold_backend_assignment.h"
#include "test/ingress/fake_backends.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kPages("pages");
const InstanceId kCold("cold:1");
constexpr Duration kLease = milliseconds(1750);
constexpr Duration kColdFor = seconds(3);
constexpr double kRate = 9.2;
constexpr ColdBound kBound{1.5, 5};

BackendInstance ColdInstance(uint64_t revision) {
  BackendInstance instance = LiveInstance(kCold.value(), kPages.value());
  instance.zone = Zone("z1");
  instance.cold_left = kColdFor;
  instance.cold_at = Revision(revision);
  return instance;
}

ColdPolicy Policy() {
  ColdPolicy policy;
  policy.service_rates[kPages] = kRate;
  policy.bound = kBound;
  return policy;
}

/// Records the maximum number of arrivals in any second.
class ArrivalCount {
 public:
  void Record(TimePoint now) {
    arrivals_.push_back(now);
    while (now - arrivals_.front() >= seconds(1)) arrivals_.pop_front();
    max_ = std::max(max_, arrivals_.size());
    ++all_;
  }
  size_t max() const { return max_; }
  size_t all() const { return all_; }

 private:
  std::deque<TimePoint> arrivals_;
  size_t max_ = 0;
  size_t all_ = 0;
};

/// A gateway with its directory and its assignment.
struct Sender {
  std::unique_ptr<BackendDirectory> directory;
  std::unique_ptr<ColdBackendAssignment> assignment;
  TimePoint lease_until;
  TimePoint confirmed_since;
};

/// Gateways that each have more requests than a cold back end can handle, and the leader of the
/// batch jobs.
class Senders {
 public:
  Senders(int gateways, uint64_t seed) : random_(seed) {
    for (int i = 0; i < gateways; ++i) {
      NodeRecord record;
      record.node = NodeId(fmt::format("g{}", i));
      record.gateway = true;
      configuration_.nodes[record.node] = record;
    }
    for (int i = 0; i < gateways; ++i) senders_.push_back(Gateway(i));
    leader_ = Directory();
    AnnounceCold();
  }

  void Step() {
    scheduler_.RunFor(milliseconds(5));
    for (size_t i = 0; i < senders_.size(); ++i) {
      if (DrawChance(random_, 0.05)) Confirm(senders_[i]);
      if (DrawChance(random_, 0.0005)) senders_[i] = Gateway(static_cast<int>(i));
      if (DrawChance(random_, 0.3)) Send(*senders_[i].directory);
    }
    if (DrawChance(random_, 0.002)) RestartLeader();
    Send(*leader_);
  }

  /// The back end reports that it is cold for another period.
  void AnnounceCold() {
    configuration_.instances[kCold] = ColdInstance(++revision_);
    for (Sender& sender : senders_) sender.directory->Update(configuration_);
    leader_->Update(configuration_);
  }

  void RunFor(Duration span) {
    const TimePoint until = environment_.Now() + span;
    while (environment_.Now() < until) Step();
  }

  const ArrivalCount& arrived() const { return arrived_; }

 private:
  std::unique_ptr<BackendDirectory> Directory() {
    auto directory = std::make_unique<BackendDirectory>(environment_, Zone("z1"));
    directory->SetColdPolicy(Policy());
    directory->Update(configuration_);
    return directory;
  }

  Sender Gateway(int index) {
    Sender sender;
    sender.directory = Directory();
    sender.assignment = std::make_unique<ColdBackendAssignment>(
        environment_, NodeId(fmt::format("g{}", index)), kLease);
    const size_t position = static_cast<size_t>(index);
    sender.directory->SetColdAssignmentCheck([this, position](const InstanceId& instance) {
      Sender& self = senders_[position];
      const bool valid = self.lease_until > environment_.Now();
      return self.assignment->IsAssignedToSelf(
          instance.value(), valid ? std::optional(self.confirmed_since) : std::nullopt);
    });
    return sender;
  }

  void RestartLeader() {
    leader_ = Directory();
    const TimePoint since = environment_.Now();
    leader_->SetColdAssignmentCheck(
        [this, since](const InstanceId&) { return environment_.Now() - since >= kLease; });
  }

  void Confirm(Sender& sender) {
    sender.assignment->Update(configuration_);
    if (sender.lease_until <= environment_.Now()) sender.confirmed_since = environment_.Now();
    sender.lease_until = environment_.Now() + kLease;
  }

  void Send(BackendDirectory& directory) {
    const auto picked = directory.Pick(kPages, {});
    if (!picked) return;
    directory.Begin(picked->id);
    directory.End(picked->id, BackendEnd::kAnswered, milliseconds(1));
    arrived_.Record(environment_.Now());
  }

  RandomEngine random_;
  VirtualScheduler scheduler_{1};
  VirtualEnvironment environment_{scheduler_, 1};
  Configuration configuration_;
  uint64_t revision_ = 0;
  std::vector<Sender> senders_;
  std::unique_ptr<BackendDirectory> leader_;
  ArrivalCount arrived_;
};

/// The limit holds for the sum of all senders, however many there are, even if some are not
/// confirmed.
TEST_CASE("All nodes together stay within the limit of a cold back end in every second") {
  const int gateways = GENERATE(2, 68, 300);
  const uint64_t seed = GENERATE(range(1, 4));
  INFO("gateways " << gateways << " seed " << seed);
  Senders senders(gateways, seed);
  // Renews the report before each period ends, so that the back end stays cold.
  for (int i = 0; i < 8; ++i) {
    senders.RunFor(milliseconds(2500));
    senders.AnnounceCold();
  }
  CHECK(static_cast<double>(senders.arrived().max()) <= kRate * kBound.rate_factor + kBound.slack);
  // At least a tenth of the allowed load is sent.
  CHECK(static_cast<double>(senders.arrived().all()) >= 0.1 * 20 * kRate);
}

class OneNode {
 public:
  OneNode() {
    directory.SetColdPolicy(Policy());
    configuration.instances[kCold] = LiveInstance(kCold.value(), kPages.value());
    configuration.instances[kCold].zone = Zone("z1");
    directory.Update(configuration);
  }

  /// Starts requests until none is allowed or the maximum is reached; returns their number.
  int SendAll(int max) {
    int sent = 0;
    while (sent < max && directory.Pick(kPages, {})) {
      directory.Begin(kCold);
      ++sent;
    }
    return sent;
  }

  VirtualScheduler scheduler{1};
  VirtualEnvironment environment{scheduler, 1};
  BackendDirectory directory{environment, Zone("z1")};
  Configuration configuration;
};

constexpr int kMany = 50;

TEST_CASE("A back end is limited only while it is cold") {
  OneNode node;
  CHECK(node.SendAll(kMany) == kMany);
  node.configuration.instances[kCold] = ColdInstance(1);
  node.directory.Update(node.configuration);
  CHECK(node.SendAll(kMany) == 1);
  node.scheduler.RunFor(seconds(1));
  CHECK(node.SendAll(kMany) == 1);
  node.scheduler.RunFor(kColdFor);
  CHECK(node.SendAll(kMany) == kMany);
}

TEST_CASE("A back end that was unreachable or in an evacuated zone is assumed to be cold") {
  OneNode node;
  SECTION("unreachable") {
    node.directory.Begin(kCold);
    node.directory.End(kCold, BackendEnd::kUnreachable, Duration(0));
  }
  SECTION("evacuated") {
    ConfigurationDelta changes;
    node.configuration.evacuated_zones[Zone("z1")] = {Zone("z1"), Revision(1)};
    changes.changed_evacuations = {node.configuration.evacuated_zones[Zone("z1")]};
    node.directory.Apply(node.configuration, changes);
    CHECK(node.SendAll(kMany) == 0);
    node.configuration.evacuated_zones.clear();
    ConfigurationDelta ended;
    ended.ended_evacuations = {Zone("z1")};
    node.directory.Apply(node.configuration, ended);
  }
  CHECK(node.SendAll(kMany) == 1);
  node.scheduler.RunFor(seconds(5));
  CHECK(node.SendAll(kMany) == kMany);
}

TEST_CASE("An unchanged configuration doesn't refill the tokens of a cold back end") {
  OneNode node;
  node.configuration.instances[kCold] = ColdInstance(1);
  node.directory.Update(node.configuration);
  int sent = 0;
  for (int i = 0; i < 20; ++i) {
    node.directory.SetColdPolicy(Policy());
    node.directory.Update(node.configuration);
    sent += node.SendAll(kMany);
  }
  CHECK(sent == 1);
}

}  // namespace
}  // namespace millstair
