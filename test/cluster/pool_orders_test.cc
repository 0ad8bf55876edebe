/// The scale task on real control nodes: reports, commits, leases and the change of the leader.
#include <catch2/catch.hpp>

#include "test/cluster/cluster_fleet.h"
#include "test/scaling/scale_fixture.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct ReceivedOrder {
  TimePoint at;
  std::string body;
};

/// Accepts every call.
class AcceptingPlatform : public HttpCaller {
 public:
  AcceptingPlatform(Environment& environment, std::vector<ReceivedOrder>& received)
      : environment_(environment), received_(received) {}

  std::unique_ptr<CallHandle> Start(const std::string&, HttpRequest request,
                                    HttpCallObserver& observer) override {
    received_.push_back({environment_.Now(), request.body});
    const auto live = std::make_shared<HttpCallObserver*>(&observer);
    environment_.Schedule(milliseconds(5), [live] {
      if (*live == nullptr) return;
      HttpCallObserver& waiting = **live;
      *live = nullptr;
      waiting.OnHead({200, {}});
      waiting.OnFinished();
    });
    return std::make_unique<Handle>(live);
  }

 private:
  class Handle : public CallHandle {
   public:
    explicit Handle(std::shared_ptr<HttpCallObserver*> live) : live_(std::move(live)) {}
    ~Handle() override { *live_ = nullptr; }

   private:
    std::shared_ptr<HttpCallObserver*> live_;
  };

  Environment& environment_;
  std::vector<ReceivedOrder>& received_;
};

class PoolFleet {
 public:
  PoolFleet() {
    for (const char* name : {"c1", "c2", "c3"}) {
      FleetProcess& process = fleet.Process(name);
      platforms_.push_back(std::make_unique<AcceptingPlatform>(*process.environment, received));
      process.control->AddLeaderTask(
          MakeScaleTask(*process.environment, *platforms_.back(), protocol_, routes_,
                        *process.control, {NodeId(name), name, "p:1", seconds(3), nullptr}));
    }
    Control(fleet.AwaitLeader()).Submit(ReplaceRouting{{1, "scaled"}}, kIgnore);
    for (const Zone& zone : {kZoneA, kZoneB}) {
      for (int i = 0; i < 4; ++i) Register(zone, i);
    }
    fleet.RunFor(seconds(40));
  }

  /// Reports of late steps, sent to any control node.
  void ReportLate(const std::string& node, Duration period) {
    const PoolNeed late{kEngines, 16, 64, 1.5, 7.5, 64};
    for (Duration passed{0}; passed < period; passed += milliseconds(500)) {
      Control(node).Submit(ReportPoolNeeds{{Term(1), ++sequence_, {late}}}, kIgnore);
      fleet.RunFor(milliseconds(500));
    }
  }
  ControlNode& Control(const std::string& node) { return *fleet.Process(node).control; }
  std::string FollowerOf(const std::string& leader) const { return leader == "c1" ? "c2" : "c1"; }
  uint64_t TermOf(const std::string& leader) {
    return Control(leader).groups().Find(GroupId("cluster"))->CurrentTerm().value();
  }

  std::vector<ReceivedOrder> received;

 private:
  static void Ignore(const absl::StatusOr<ClusterResult>&) {}
  static constexpr auto kIgnore = &PoolFleet::Ignore;

  void Register(const Zone& zone, int number) {
    BackendInstance instance;
    instance.id = InstanceId(zone.value() + "-" + std::to_string(number));
    instance.service = kEngines;
    instance.zone = zone;
    instance.address = "10.0.0.1:1";
    instance.slots = 8;
    instance.sequence = 1;
    Control(fleet.AwaitLeader()).ReportInstance(instance, kIgnore);
  }

  PlainScaleProtocol protocol_;
  FakeRoutes routes_;
  std::vector<std::unique_ptr<AcceptingPlatform>> platforms_;
  uint64_t sequence_ = 0;

 public:
  /// Destroyed first: its tasks use the members above.
  ClusterFleet fleet{{}};
};

std::string Order(const char* zone, int wanted, const std::string& holder, uint64_t fence) {
  return std::string(zone) + " " + std::to_string(wanted) + " " + holder + " " +
         std::to_string(fence);
}

/// Guards the path from a report at any control node to the call, and the lease and the committed
/// numbers when the leader is lost.
TEST_CASE("servers are ordered by the leader alone, and the next one repeats the numbers") {
  PoolFleet pool;
  REQUIRE(pool.received.empty());
  const std::string first = pool.fleet.AwaitLeader();
  const uint64_t fence = pool.TermOf(first);
  pool.ReportLate(pool.FollowerOf(first), seconds(3));
  REQUIRE(pool.received.size() == 2);
  CHECK(pool.received[0].body == Order("zone-a", 5, first, fence));
  CHECK(pool.received[1].body == Order("zone-b", 5, first, fence));
  const TimePoint last_call = pool.received[1].at;
  pool.fleet.Crash(first);
  const std::string second = pool.fleet.AwaitLeader();
  pool.fleet.RunFor(seconds(15));
  REQUIRE(pool.received.size() == 4);
  const uint64_t next_fence = pool.TermOf(second);
  CHECK(next_fence > fence);
  CHECK(pool.received[2].body == Order("zone-a", 5, second, next_fence));
  CHECK(pool.received[3].body == Order("zone-b", 5, second, next_fence));
  CHECK(pool.received[2].at - last_call >= seconds(3));
}

/// Guards against a leader that is cut off and still calls.
TEST_CASE("a leader without a quorum makes no call on late steps") {
  PoolFleet pool;
  const std::string leader = pool.fleet.AwaitLeader();
  pool.fleet.Isolate(leader);
  pool.ReportLate(leader, seconds(5));
  CHECK(pool.received.empty());
}

}  // namespace
}  // namespace millstair
