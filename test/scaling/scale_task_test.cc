/// The scale task against a scripted platform and the state of the cluster group, in virtual time.
#include "scaling/scale_task.h"

#include <catch2/catch.hpp>

#include "test/ingress/fake_backends.h"
#include "test/scaling/scale_fixture.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = FakeAnswer::Kind;

constexpr char kPlatform[] = "p:1";

class Fixture {
 public:
  Fixture() {
    platform.Serve(kPlatform, [this](const HttpRequest& request) {
      for (const auto& [zone, status] : status_of_zone) {
        if (request.body.str().starts_with(zone.value())) {
          return FakeAnswer{Kind::kAnswer, status, {}, {""}};
        }
      }
      return answer;
    });
    group.Commit(ReplaceRouting{{1, "scaled"}});
    group.SetServers(kZoneA, 4);
    group.SetServers(kZoneB, 4);
  }

  /// A report every 500 ms for `period`.
  void Report(Duration period, const PoolNeed& need) {
    for (Duration passed{0}; passed < period; passed += milliseconds(500)) {
      ReportOnce(need);
      scheduler.RunFor(milliseconds(500));
    }
  }
  void ReportOnce(const PoolNeed& need) {
    const PoolReport report{job_term, ++sequence, {need}};
    for (ScaleTask* task : group.tasks) task->OnReport(report);
  }
  /// Until servers may be ordered.
  void Settle(FakeScaleNode& node, uint64_t term) {
    node.Lead(term);
    scheduler.RunFor(seconds(35));
  }
  std::string Body(size_t call) const { return platform.calls.at(call)->request.body; }
  std::vector<std::string> Bodies() const {
    std::vector<std::string> bodies;
    for (const auto& call : platform.calls) bodies.push_back(call->request.body);
    return bodies;
  }
  size_t calls() const { return platform.calls.size(); }
  /// The node no longer leads.
  static void Depose(FakeScaleNode& node) { node.term.reset(); }

  const PoolNeed late{kEngines, 16, 64, 1.5, 7.5, 200};
  const PoolNeed calm{kEngines, 0, 0, -3.0, 7.5, 200};
  VirtualScheduler scheduler{1};
  FakeBackends platform{scheduler};
  FakeAnswer answer{Kind::kAnswer, 200, {}, {""}};
  std::map<Zone, int> status_of_zone;
  FakeGroup group{scheduler};
  StatsRegistry stats;
  FakeScaleNode first{scheduler, platform, group, "m1", &stats};
  FakeScaleNode second{scheduler, platform, group, "m2"};
  Term job_term{1};
  uint64_t sequence = 0;
};

TEST_CASE("Late steps do not go without the servers that the platform would provide") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  CHECK(fixture.calls() == 0);
  fixture.Report(seconds(2), fixture.late);
  // Two servers, one in each zone, and no more while they boot.
  CHECK(fixture.Bodies() == std::vector<std::string>{"zone-a 5 m1 5", "zone-b 5 m1 5"});
  fixture.group.SetServers(kZoneA, 5);
  fixture.group.SetServers(kZoneB, 5);
  fixture.Report(seconds(1), fixture.late);
  CHECK(fixture.calls() == 4);
  CHECK(fixture.group.Wanted(kZoneA) == 6);
}

TEST_CASE("No call precedes the commit of its number") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  fixture.group.commit_time = milliseconds(100);
  fixture.group.committed_sizes.clear();
  fixture.Report(milliseconds(1500), fixture.late);
  for (int i = 0; i < 100 && fixture.calls() == 0; ++i) fixture.scheduler.RunFor(milliseconds(5));
  REQUIRE(fixture.calls() > 0);
  REQUIRE(fixture.group.committed_sizes.size() == 2);
  CHECK(fixture.group.committed_sizes[0] == PoolSize{kEngines, kZoneA, 4, 5, 4, true});
}

TEST_CASE("A leader that cannot commit calls nobody") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  fixture.group.quorum = false;
  fixture.Report(seconds(20), fixture.late);
  CHECK(fixture.calls() == 0);
}

TEST_CASE("A build that cannot decode the numbers keeps them from being committed") {
  Fixture fixture;
  fixture.first.all_nodes_decode = false;
  fixture.Settle(fixture.first, 5);
  fixture.Report(seconds(20), fixture.late);
  CHECK(fixture.calls() == 0);
  CHECK(fixture.group.committed_sizes.empty());
}

TEST_CASE("Servers are released after a calm period, and never below the initial number") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  fixture.Report(seconds(2), fixture.late);
  REQUIRE(fixture.calls() == 2);
  fixture.group.SetServers(kZoneA, 5);
  fixture.group.SetServers(kZoneB, 5);
  fixture.Report(seconds(20), fixture.calm);
  CHECK(fixture.calls() == 2);
  fixture.Report(seconds(2), fixture.calm);
  REQUIRE(fixture.calls() == 3);
  CHECK(fixture.Body(2) == "zone-a 4 m1 5");
  fixture.group.SetServers(kZoneA, 4);
  fixture.Report(seconds(10), fixture.calm);
  REQUIRE(fixture.calls() == 4);
  fixture.group.SetServers(kZoneB, 4);
  fixture.Report(seconds(110), fixture.calm);
  REQUIRE(fixture.calls() == 4);
  CHECK(fixture.Body(3) == "zone-b 4 m1 5");
  CHECK(fixture.group.Wanted(kZoneA) == 4);
  CHECK(fixture.group.Wanted(kZoneB) == 4);
}

TEST_CASE("Servers that register late are not taken for ordered ones and released") {
  Fixture fixture;
  fixture.group.SetServers(kZoneA, 1);
  fixture.first.Lead(5);
  fixture.scheduler.RunFor(seconds(28));
  fixture.group.SetServers(kZoneA, 4);
  // The order waits until the raised initial number has lasted.
  fixture.Report(seconds(8), fixture.late);
  CHECK(fixture.calls() > 0);
  REQUIRE_FALSE(fixture.Bodies().empty());
  for (const std::string& body : fixture.Bodies()) CHECK(body.starts_with("zone-b"));
  fixture.Report(seconds(10), fixture.late);
  CHECK(fixture.group.Wanted(kZoneA) >= 5);
  CHECK(fixture.group.state.pool_sizes().at({kEngines, kZoneA}).initial == 4);
}

TEST_CASE("Servers that restart while the pool is first seen are not left out and ended") {
  Fixture fixture;
  fixture.first.Lead(5);
  SECTION("they are leaving") {
    fixture.scheduler.RunFor(seconds(1));
    fixture.group.SetLeaving(kZoneA, 2);
  }
  SECTION("they ended after the first look") {
    fixture.scheduler.RunFor(seconds(1));
    fixture.group.SetServers(kZoneA, 2);
  }
  fixture.scheduler.RunFor(seconds(7));
  CHECK(fixture.group.state.pool_sizes().at({kEngines, kZoneA}).initial == 4);
}

TEST_CASE("Nothing is ordered in a zone whose servers are still restarting") {
  Fixture fixture;
  fixture.first.Lead(5);
  fixture.scheduler.RunFor(seconds(25));
  fixture.group.SetServers(kZoneA, 3);
  fixture.Report(seconds(25), fixture.late);
  CHECK(fixture.calls() > 0);
  for (const std::string& body : fixture.Bodies()) CHECK(body.starts_with("zone-b"));
  fixture.group.SetServers(kZoneA, 4);
  fixture.Report(seconds(20), fixture.late);
  CHECK(fixture.group.Wanted(kZoneA) >= 5);
}

TEST_CASE("The first number of a zone takes 30 s to settle, as servers register after a start") {
  Fixture fixture;
  fixture.first.Lead(5);
  fixture.Report(seconds(32), fixture.late);
  CHECK(fixture.calls() == 0);
  fixture.Report(seconds(4), fixture.late);
  CHECK(fixture.calls() == 2);
}

/// The platform keeps the stated number: with servers that it started otherwise, a number based on
/// an earlier count ends some of them.
TEST_CASE("Servers that registered during the commit of an order are not ended by its call") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  fixture.group.commit_time = milliseconds(100);
  fixture.Report(milliseconds(1000), fixture.late);
  for (int i = 0; i < 200 && fixture.group.Wanted(kZoneA) < 5; ++i) {
    fixture.ReportOnce(fixture.late);
    fixture.scheduler.RunFor(milliseconds(5));
  }
  REQUIRE(fixture.group.Wanted(kZoneA) == 5);
  REQUIRE(fixture.calls() == 0);
  fixture.group.SetServers(kZoneA, 7);
  fixture.Report(seconds(20), fixture.late);
  for (const std::string& body : fixture.Bodies()) CHECK(body.starts_with("zone-b"));
  // They belong to the service: the next number includes them, and none of them is released.
  fixture.Report(seconds(20), fixture.late);
  CHECK(fixture.group.state.pool_sizes().at({kEngines, kZoneA}).initial == 7);
  for (const std::string& body : fixture.Bodies()) {
    if (body.starts_with("zone-a")) CHECK(body >= "zone-a 7");
  }
}

TEST_CASE("Servers that registered after an order are not ended by the next one or a release") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  fixture.Report(seconds(2), fixture.late);
  REQUIRE(fixture.calls() == 2);
  fixture.group.SetServers(kZoneA, 7);
  fixture.group.SetServers(kZoneB, 5);
  fixture.Report(seconds(20), fixture.late);
  for (const std::string& body : fixture.Bodies()) {
    if (body.starts_with("zone-a")) CHECK(body == "zone-a 5 m1 5");
  }
  fixture.Report(seconds(15), fixture.late);
  CHECK(fixture.group.state.pool_sizes().at({kEngines, kZoneA}).initial == 6);
  CHECK(fixture.group.Wanted(kZoneA) >= 7);
}

TEST_CASE("Spot servers are not counted as on-demand ones and ordered again") {
  Fixture fixture;
  fixture.group.SetServers(kZoneA, 4, 6);
  fixture.Settle(fixture.first, 5);
  fixture.Report(seconds(2), fixture.late);
  CHECK(fixture.Body(0) == "zone-a 5 m1 5");
}

TEST_CASE("The next leader takes over after the lease and repeats the committed numbers") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  fixture.answer.kind = Kind::kNoResponse;
  fixture.Report(milliseconds(1500), fixture.late);
  REQUIRE(fixture.calls() == 2);
  const Duration last_call = fixture.platform.calls.back()->at;
  Fixture::Depose(fixture.first);
  fixture.answer.kind = Kind::kAnswer;
  fixture.second.Lead(6);
  fixture.scheduler.RunFor(seconds(10));
  REQUIRE(fixture.calls() == 4);
  CHECK(fixture.Body(2) == "zone-a 5 m2 6");
  CHECK(fixture.Body(3) == "zone-b 5 m2 6");
  CHECK(fixture.platform.calls[2]->at - last_call >= seconds(3));
}

TEST_CASE(
    "A new leader repeats a number only once, and a pool without orders is never called for") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  Fixture::Depose(fixture.first);
  fixture.Settle(fixture.second, 6);
  CHECK(fixture.calls() == 0);
  fixture.Report(seconds(2), fixture.late);
  REQUIRE(fixture.calls() == 2);
  Fixture::Depose(fixture.second);
  fixture.Settle(fixture.first, 7);
  fixture.scheduler.RunFor(seconds(60));
  CHECK(fixture.calls() == 4);
}

TEST_CASE("A leader that was suspended during the commit makes no call") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  // The announcement is committed later than its validity, as if the process had been suspended.
  fixture.group.commit_time = milliseconds(300);
  fixture.Report(seconds(6), fixture.late);
  CHECK(fixture.calls() == 0);
  CHECK(fixture.group.Wanted(kZoneA) == 5);
  fixture.group.commit_time = milliseconds(3);
  fixture.scheduler.RunFor(seconds(10));
  CHECK(fixture.calls() == 2);
}

TEST_CASE("A platform that is down gets ever fewer calls, and the same number when it returns") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  fixture.status_of_zone[kZoneA] = 503;
  fixture.Report(seconds(60), fixture.late);
  size_t calls_of_zone = 0;
  for (const std::string& body : fixture.Bodies()) {
    if (!body.starts_with("zone-a")) continue;
    CHECK(body == "zone-a 5 m1 5");
    ++calls_of_zone;
  }
  CHECK(calls_of_zone > 5);
  CHECK(calls_of_zone <= 12);
  // The other zone does not wait for it.
  CHECK(fixture.group.Wanted(kZoneB) > 5);
  fixture.status_of_zone.clear();
  fixture.scheduler.RunFor(seconds(9));
  CHECK(fixture.group.state.pool_sizes().at({kEngines, kZoneA}).accepted == 5);
}

TEST_CASE("A slow platform delays no decision about another zone") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  fixture.answer.delay = seconds(1);
  fixture.Report(milliseconds(1500), fixture.late);
  CHECK(fixture.calls() == 2);
  fixture.scheduler.RunFor(seconds(2));
  CHECK(fixture.group.state.pool_sizes().at({kEngines, kZoneA}).accepted == 5);
  CHECK(fixture.calls() == 2);
}

TEST_CASE("A zone without servers does not keep another zone from getting the order") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  fixture.status_of_zone[kZoneA] = 409;
  fixture.Report(milliseconds(3500), fixture.late);
  CHECK(fixture.group.Wanted(kZoneA) == 4);
  CHECK(fixture.group.Wanted(kZoneB) == 6);
  size_t calls_of_zone = 0;
  for (const std::string& body : fixture.Bodies()) calls_of_zone += body.starts_with("zone-a");
  CHECK(calls_of_zone == 1);
  // Not called again within 10 s.
  fixture.group.SetServers(kZoneB, 6);
  fixture.Report(seconds(6), fixture.calm);
  calls_of_zone = 0;
  for (const std::string& body : fixture.Bodies()) calls_of_zone += body.starts_with("zone-a");
  CHECK(calls_of_zone == 1);
  fixture.status_of_zone.clear();
  fixture.Report(seconds(5), fixture.calm);
  CHECK(fixture.Bodies().back() == "zone-a 4 m1 5");
}

TEST_CASE("A reset after 409 is not lost if the platform has no servers later either") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  fixture.status_of_zone = {{kZoneA, 409}, {kZoneB, 409}};
  fixture.Report(seconds(60), fixture.late);
  // Each order and each repeated reset went back to the accepted number.
  fixture.Report(seconds(1), fixture.calm);
  CHECK(fixture.calls() >= 6);
  CHECK(fixture.group.Wanted(kZoneA) == 4);
  CHECK(fixture.group.Wanted(kZoneB) == 4);
  // One call for each zone in 10 s.
  CHECK(fixture.calls() <= 12);
}

TEST_CASE("Reports that stop order and release nothing") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  SECTION("before an order") {
    fixture.Report(milliseconds(500), fixture.late);
    fixture.scheduler.RunFor(seconds(6));
    fixture.Report(milliseconds(500), fixture.late);
    fixture.scheduler.RunFor(seconds(30));
    CHECK(fixture.calls() == 0);
  }
  SECTION("before a release") {
    fixture.Report(seconds(2), fixture.late);
    fixture.group.SetServers(kZoneA, 5);
    fixture.group.SetServers(kZoneB, 5);
    fixture.Report(seconds(15), fixture.calm);
    fixture.scheduler.RunFor(seconds(60));
    fixture.Report(seconds(15), fixture.calm);
    CHECK(fixture.calls() == 2);
  }
}

TEST_CASE("Delayed reports of an earlier leader of the job group have no effect") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  fixture.job_term = Term(2);
  fixture.Report(seconds(1), fixture.calm);
  for (int i = 0; i < 10; ++i) {
    fixture.first.task.OnReport({Term(1), 100 + static_cast<uint64_t>(i), {fixture.late}});
    fixture.scheduler.RunFor(milliseconds(500));
  }
  CHECK(fixture.calls() == 0);
}

TEST_CASE(
    "Lateness reported by an earlier leader of the job group is not added to the next one's") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  fixture.Report(seconds(1), fixture.late);
  fixture.job_term = Term(2);
  fixture.sequence = 0;
  fixture.Report(seconds(1), fixture.late);
  CHECK(fixture.calls() == 0);
  fixture.Report(seconds(1), fixture.late);
  CHECK(fixture.calls() == 2);
}

/// A replica may be restored from the snapshot of a build that does not store the numbers.
TEST_CASE("An answer that arrives after the numbers are lost does not end the process") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  SECTION("accepted") {}
  SECTION("unavailable") { fixture.answer.status = 409; }
  fixture.answer.delay = seconds(1);
  fixture.Report(milliseconds(1500), fixture.late);
  REQUIRE(fixture.calls() == 2);
  fixture.group.committed_sizes.clear();
  fixture.group.state = ClusterStateMachine();
  fixture.scheduler.RunFor(seconds(2));
  CHECK(fixture.calls() == 2);
  CHECK(fixture.group.committed_sizes.empty());
}

TEST_CASE("Servers of an order that registered before a 409 are not given up") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  fixture.status_of_zone[kZoneA] = 503;
  fixture.Report(seconds(2), fixture.late);
  REQUIRE(fixture.group.Wanted(kZoneA) == 5);
  // The call was carried out although its outcome is unknown.
  fixture.group.SetServers(kZoneA, 5);
  fixture.status_of_zone[kZoneA] = 409;
  fixture.scheduler.RunFor(seconds(30));
  CHECK(fixture.group.Wanted(kZoneA) == 5);
  CHECK(fixture.group.state.pool_sizes().at({kEngines, kZoneA}).initial == 4);
}

TEST_CASE("Nothing is committed or called for once a node of an earlier build starts") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  SECTION("during the commit of an order") {
    fixture.group.commit_time = milliseconds(100);
    fixture.Report(milliseconds(1000), fixture.late);
    fixture.ReportOnce(fixture.late);
    for (int i = 0; i < 400 && fixture.group.Wanted(kZoneA) < 5; ++i) {
      if (fixture.first.all_nodes_decode && fixture.group.proposed > 2) {
        fixture.first.all_nodes_decode = false;
      }
      fixture.scheduler.RunFor(milliseconds(1));
    }
    REQUIRE(fixture.group.Wanted(kZoneA) == 5);
    REQUIRE_FALSE(fixture.first.all_nodes_decode);
    fixture.scheduler.RunFor(seconds(5));
    CHECK(fixture.calls() == 0);
  }
  SECTION("during a call") {
    fixture.answer.delay = seconds(1);
    fixture.Report(milliseconds(1500), fixture.late);
    REQUIRE(fixture.calls() == 2);
    fixture.first.all_nodes_decode = false;
    fixture.group.committed_sizes.clear();
    fixture.scheduler.RunFor(seconds(5));
    CHECK(fixture.group.committed_sizes.empty());
    // The accepted number follows as soon as it can be committed.
    fixture.first.all_nodes_decode = true;
    fixture.scheduler.RunFor(seconds(2));
    CHECK(fixture.group.state.pool_sizes().at({kEngines, kZoneA}).accepted == 5);
  }
}

TEST_CASE("Reports from before the leadership order nothing") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  fixture.Report(milliseconds(1000), fixture.late);
  const size_t before = fixture.calls();
  Fixture::Depose(fixture.first);
  fixture.second.Lead(6);
  fixture.scheduler.RunFor(seconds(20));
  CHECK(fixture.group.Wanted(kZoneA) == 4);
  CHECK(fixture.group.Wanted(kZoneB) == 4);
  fixture.scheduler.RunFor(seconds(20));
  CHECK(fixture.group.Wanted(kZoneA) == 4);
  CHECK(fixture.group.Wanted(kZoneB) == 4);
  CHECK(fixture.calls() == before);
}

TEST_CASE("Ordered servers that never start are replaced by others, and no number goes back") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  fixture.Report(seconds(12), fixture.late);
  CHECK(fixture.calls() == 2);
  fixture.Report(seconds(3), fixture.late);
  CHECK(fixture.calls() == 4);
  CHECK(fixture.group.Wanted(kZoneA) == 6);
  CHECK(fixture.group.Wanted(kZoneB) == 6);
}

TEST_CASE("A service that loses its scaling gets no further calls") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  fixture.status_of_zone[kZoneA] = 503;
  fixture.Report(seconds(2), fixture.late);
  const size_t before = fixture.calls();
  REQUIRE(before >= 2);
  fixture.group.Commit(ReplaceRouting{{2, "fixed"}});
  fixture.Report(seconds(30), fixture.late);
  CHECK(fixture.calls() == before);
}

TEST_CASE("Changed limits apply to the next order, and end none") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  fixture.Report(seconds(2), fixture.late);
  REQUIRE(fixture.calls() == 2);
  fixture.group.SetServers(kZoneA, 5);
  fixture.group.SetServers(kZoneB, 5);
  fixture.first.routes.scaling.max = 5;
  fixture.group.Commit(ReplaceRouting{{2, "scaled"}});
  fixture.Report(seconds(5), fixture.late);
  CHECK(fixture.calls() == 2);
  fixture.first.routes.scaling.max = 6;
  fixture.group.Commit(ReplaceRouting{{3, "scaled"}});
  fixture.Report(seconds(2), fixture.late);
  CHECK(fixture.calls() == 4);
}

TEST_CASE("No servers are ordered in a zone that is evacuated") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  fixture.group.Commit(EvacuateZone{kZoneA, false});
  fixture.Report(seconds(2), fixture.late);
  CHECK(fixture.Bodies() == std::vector<std::string>{"zone-b 6 m1 5"});
}

double ValueOf(const StatsRegistry& stats, const std::string& name, const std::string& label) {
  for (const StatSample& sample : stats.Read()) {
    if (sample.name.name == name && sample.name.label_value == label) return sample.value;
  }
  return -1;
}

TEST_CASE("Metrics tell what is ordered, and a former leader shows no old numbers") {
  Fixture fixture;
  fixture.Settle(fixture.first, 5);
  fixture.Report(seconds(2), fixture.late);
  CHECK(ValueOf(fixture.stats, "millstair_pool_servers_wanted", "engines/zone-a") == 5);
  CHECK(ValueOf(fixture.stats, "millstair_pool_missing_slots", "engines") == 16);
  CHECK(ValueOf(fixture.stats, "millstair_pool_orders_total", "accepted") == 2);
  Fixture::Depose(fixture.first);
  fixture.scheduler.RunFor(seconds(1));
  CHECK(ValueOf(fixture.stats, "millstair_pool_servers_wanted", "engines/zone-a") == 0);
  CHECK(ValueOf(fixture.stats, "millstair_pool_missing_slots", "engines") == 0);
}

}  // namespace
}  // namespace millstair
