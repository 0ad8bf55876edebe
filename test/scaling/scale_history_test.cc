/// Random histories of the scale task's lease holders: leaders change, do not know yet that they
/// were deposed, their commits and calls are delayed or lost, and the platform answers at random.
/// What the platform sees must stay within the limits whoever holds the lease.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <sstream>

#include "common/random.h"
#include "test/scaling/scale_fixture.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLease = seconds(3);
constexpr uint64_t kSeeds = 500;
constexpr Duration kRunLength = seconds(120);
constexpr uint32_t kInitial = 4;
constexpr uint32_t kMost = 8;

/// A call as it reached the platform.
struct ReceivedCall {
  Duration at{0};
  std::string zone;
  uint32_t wanted = 0;
  std::string holder;
  uint64_t fence = 0;
  int status = 0;
};

/// Calls arrive after up to 300 ms, even if their sender timed out; some responses are lost.
class LossyPlatform : public HttpCaller {
 public:
  LossyPlatform(VirtualScheduler& scheduler, RandomEngine& random)
      : scheduler_(scheduler), random_(random) {}

  std::unique_ptr<CallHandle> Start(const std::string&, HttpRequest request,
                                    HttpCallObserver& observer) override {
    const auto live = std::make_shared<HttpCallObserver*>(&observer);
    const Duration delay = DrawDuration(random_, milliseconds(1), milliseconds(300));
    const bool lost = DrawBelow(random_, 3) == 0;
    const uint64_t drawn = DrawBelow(random_, 8);
    const int status = drawn == 0 ? 409 : drawn == 1 ? 503 : 200;
    scheduler_.Schedule(delay, [this, body = request.body, live, lost, status] {
      ReceivedCall call;
      call.at = scheduler_.Now();
      call.status = status;
      std::istringstream(body) >> call.zone >> call.wanted >> call.holder >> call.fence;
      received.push_back(call);
      if (status == 200 && on_accepted) on_accepted(call);
      if (lost || *live == nullptr) return;
      HttpCallObserver& waiting = **live;
      *live = nullptr;
      waiting.OnHead({status, {}});
      waiting.OnFinished();
    });
    return std::make_unique<Handle>(live);
  }

  std::vector<ReceivedCall> received;
  std::function<void(const ReceivedCall&)> on_accepted;

 private:
  class Handle : public CallHandle {
   public:
    explicit Handle(std::shared_ptr<HttpCallObserver*> live) : live_(std::move(live)) {}
    ~Handle() override { *live_ = nullptr; }

   private:
    std::shared_ptr<HttpCallObserver*> live_;
  };

  VirtualScheduler& scheduler_;
  RandomEngine& random_;
};

class Log;

/// A control node with its own, lagging copy of the state.
class Replica : public ScaleHost {
 public:
  Replica(VirtualScheduler& scheduler, LossyPlatform& platform, Log& log, const std::string& name,
          uint64_t seed)
      : environment(scheduler, seed),
        task(environment, platform, protocol, routes, *this,
             {NodeId(name), name, "p:1", kLease, nullptr}),
        log_(log) {
    routes.scaling.max = kMost;
  }

  std::optional<Term> LeadingTerm() const override { return believed_term; }
  const Configuration& configuration() const override { return state.configuration(); }
  const PoolSizes& pool_sizes() const override { return state.pool_sizes(); }
  bool CanCommitSizes() const override { return true; }
  void CatchUp(std::function<void(bool)> done) override;
  void Propose(ClusterOperation operation, std::function<void(bool)> done) override;

  void Apply(const ClusterOperation& operation) {
    ClusterCommand command;
    command.operation = operation;
    state.Apply(LogIndex(++applied), EncodeCommand(command));
    if (const auto* announce = std::get_if<AnnounceTaskLease>(&operation)) {
      task.OnAnnouncement(announce->announcement);
    }
  }

  VirtualEnvironment environment;
  PlainScaleProtocol protocol;
  FakeRoutes routes;
  ClusterStateMachine state;
  /// The term in which it believes it leads.
  std::optional<Term> believed_term;
  size_t applied = 0;
  ScaleTask task;

 private:
  Log& log_;
};

/// Proposals by the leader of the newest term are committed, and each node applies them in order
/// after a delay.
class Log {
 public:
  Log(VirtualScheduler& scheduler, RandomEngine& random) : scheduler_(scheduler), random_(random) {}

  void Propose(Replica& proposer, ClusterOperation operation, std::function<void(bool)> done) {
    const auto term = proposer.believed_term;
    const Duration delay = DrawDuration(random_, milliseconds(1), milliseconds(200));
    scheduler_.Schedule(delay, [this, &proposer, term, operation = std::move(operation), done] {
      // A deposed leader has no quorum and learns late whether its proposal was committed.
      if (!term || *term != newest_term) return done(false);
      Commit(operation);
      CatchUp(proposer, entries_.size());
      done(true);
    });
  }
  void CatchUpLeader(Replica& leader, std::function<void(bool)> done) {
    const Duration delay = DrawDuration(random_, milliseconds(1), milliseconds(100));
    scheduler_.Schedule(delay, [this, &leader, term = leader.believed_term, done] {
      if (!term || *term != newest_term) return done(false);
      CatchUp(leader, entries_.size());
      done(true);
    });
  }
  void Commit(const ClusterOperation& operation) {
    entries_.push_back(operation);
    for (Replica* replica : replicas) {
      const Duration lag = DrawDuration(random_, milliseconds(0), milliseconds(200));
      scheduler_.Schedule(
          lag, [this, replica, through = entries_.size()] { CatchUp(*replica, through); });
    }
  }
  void Elect(Replica& leader) {
    newest_term = Next(newest_term);
    for (Replica* replica : replicas) {
      if (replica == &leader || !replica->believed_term) continue;
      // The old leader learns late that it was deposed.
      const Duration delay = DrawDuration(random_, milliseconds(0), milliseconds(1200));
      scheduler_.Schedule(delay, [replica, held = replica->believed_term] {
        if (replica->believed_term == held) replica->believed_term.reset();
      });
    }
    leader.believed_term = newest_term;
    leader.task.Run();
  }
  void CatchUp(Replica& replica, size_t through) {
    while (replica.applied < through) replica.Apply(entries_[replica.applied]);
  }

  std::vector<Replica*> replicas;
  Term newest_term;

 private:
  VirtualScheduler& scheduler_;
  RandomEngine& random_;
  std::vector<ClusterOperation> entries_;
};

void Replica::CatchUp(std::function<void(bool)> done) {
  log_.CatchUpLeader(*this, std::move(done));
}

void Replica::Propose(ClusterOperation operation, std::function<void(bool)> done) {
  log_.Propose(*this, std::move(operation), std::move(done));
}

/// The servers of the platform. It starts and ends them one second after a call.
class Servers {
 public:
  Servers(VirtualScheduler& scheduler, Log& log) : scheduler_(scheduler), log_(log) {}

  void Set(const Zone& zone, uint32_t count) {
    std::vector<std::string>& running = running_[zone];
    while (running.size() < count) {
      running.push_back(zone.value() + "-" + std::to_string(++started_));
      Report(zone, running.back(), MemberState::kLive);
    }
    while (running.size() > count) {
      Report(zone, running.back(), MemberState::kGone);
      running.pop_back();
    }
  }
  void SetSoon(const Zone& zone, uint32_t count) {
    scheduler_.Schedule(seconds(1), [this, zone, count] { Set(zone, count); });
  }

 private:
  void Report(const Zone& zone, const std::string& name, MemberState state) {
    BackendInstance instance;
    instance.id = InstanceId(name);
    instance.service = kEngines;
    instance.zone = zone;
    instance.address = "10.0.0.1:1";
    instance.slots = 8;
    instance.sequence = ++sequence_;
    instance.state = state;
    log_.Commit(UpdateInstance{instance});
  }

  VirtualScheduler& scheduler_;
  Log& log_;
  uint64_t started_ = 0;
  uint64_t sequence_ = 0;
  std::map<Zone, std::vector<std::string>> running_;
};

std::vector<ReceivedCall> CallsOfRun(uint64_t seed) {
  VirtualScheduler scheduler{seed};
  RandomEngine random(seed);
  LossyPlatform platform(scheduler, random);
  Log log(scheduler, random);
  std::vector<std::unique_ptr<Replica>> replicas;
  for (const char* name : {"m1", "m2", "m3"}) {
    replicas.push_back(
        std::make_unique<Replica>(scheduler, platform, log, name, seed + replicas.size()));
    log.replicas.push_back(replicas.back().get());
  }
  log.Commit(ReplaceRouting{{1, "scaled"}});
  Servers servers(scheduler, log);
  for (const Zone& zone : {kZoneA, kZoneB}) servers.Set(zone, kInitial);
  platform.on_accepted = [&servers](const ReceivedCall& call) {
    servers.SetSoon(Zone(call.zone), call.wanted);
  };
  log.Elect(*replicas[0]);
  scheduler.RunFor(seconds(35));
  uint64_t sequence = 0;
  bool late = true;
  for (Duration at{0}; at < kRunLength; at += milliseconds(500)) {
    if (DrawBelow(random, 60) == 0) late = !late;
    const PoolNeed need{kEngines, late ? 16.0 : 0, 0, late ? 1.0 : -3.0, 7.5, 200};
    for (const auto& replica : replicas) {
      if (replica->believed_term) replica->task.OnReport({Term(1), ++sequence, {need}});
    }
    if (DrawBelow(random, 30) == 0) log.Elect(*replicas[DrawBelow(random, 3)]);
    scheduler.RunFor(milliseconds(500));
  }
  return std::move(platform.received);
}

/// Whether calls of two holders alternate, A, B and A again, within the lease.
bool CallsAlternate(const std::vector<ReceivedCall>& calls) {
  for (size_t i = 0; i < calls.size(); ++i) {
    bool other = false;
    for (size_t j = i + 1; j < calls.size() && calls[j].at - calls[i].at < kLease; ++j) {
      if (calls[j].holder != calls[i].holder) {
        other = true;
      } else if (other) {
        return true;
      }
    }
  }
  return false;
}

TEST_CASE("Whoever holds the lease, the platform sees one holder at a time within the limits") {
  size_t calls_seen = 0;
  size_t changes_seen = 0;
  size_t releases_seen = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    std::map<std::string, std::vector<ReceivedCall>> calls_of_zone;
    for (const ReceivedCall& call : CallsOfRun(seed)) calls_of_zone[call.zone].push_back(call);
    for (const auto& [zone, calls] : calls_of_zone) {
      for (size_t i = 0; i < calls.size(); ++i) {
        REQUIRE(calls[i].wanted >= kInitial);
        REQUIRE(calls[i].wanted <= kMost);
        if (i == 0) continue;
        REQUIRE(calls[i].fence >= calls[i - 1].fence);
        changes_seen += calls[i].holder != calls[i - 1].holder ? 1 : 0;
        releases_seen += calls[i].wanted < calls[i - 1].wanted ? 1 : 0;
      }
      REQUIRE_FALSE(CallsAlternate(calls));
      calls_seen += calls.size();
    }
  }
  // Guards against a vacuous run: there must be calls, releases and changes of the holder.
  CHECK(calls_seen > 2 * kSeeds);
  CHECK(changes_seen > kSeeds / 2);
  CHECK(releases_seen > kSeeds / 2);
}

}  // namespace
}  // namespace millstair
