/// Random histories of the usage report's lease holders: leaders change, do not know yet that they
/// were deposed, and their commits and calls are delayed or lost. What the platform sees must not
/// depend on who holds the lease.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "common/random.h"
#include "common/virtual_environment.h"
#include "duties/usage_report_task.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = seconds(5);
constexpr Duration kLease = seconds(3);
constexpr uint64_t kSeeds = 1000;
constexpr Duration kRunLength = seconds(60);

/// A call as it reached the platform.
struct ReceivedCall {
  Duration at{0};
  std::string holder;
  uint64_t fence = 0;
  uint64_t window = 0;
  std::string counts;
};

class TextProtocol : public UsageReportProtocol {
 public:
  HttpRequest MakeUsageCall(const UsageStatement& statement,
                            const TaskLeaseHolder& holder) const override {
    std::string counts;
    for (const auto& [tenant, requests] : statement.counts) {
      counts += tenant.value() + "=" + std::to_string(requests) + ";";
    }
    return {"POST",
            std::to_string(statement.window.value()),
            {{"holder", holder.machine}, {"fence", std::to_string(holder.fence)}},
            counts};
  }
  UsageReportAnswer ReadAnswer(int status) const override {
    return status == 200 ? UsageReportAnswer::kTaken : UsageReportAnswer::kUnknown;
  }
};

/// Calls arrive after up to 300 ms, even if their sender timed out; some responses are lost.
class LossyPlatform : public HttpCaller {
 public:
  explicit LossyPlatform(VirtualScheduler& scheduler, RandomEngine& random)
      : scheduler_(scheduler), random_(random) {}

  std::unique_ptr<CallHandle> Start(const std::string&, HttpRequest request,
                                    HttpCallObserver& observer) override {
    const auto live = std::make_shared<HttpCallObserver*>(&observer);
    const Duration delay = DrawDuration(random_, milliseconds(1), milliseconds(300));
    const bool lost = DrawBelow(random_, 3) == 0;
    scheduler_.Schedule(delay, [this, request = std::move(request), live, lost] {
      received.push_back({scheduler_.Now(), std::string(*FindHeader(request.headers, "holder")),
                          std::stoull(std::string(*FindHeader(request.headers, "fence"))),
                          std::stoull(request.target), request.body});
      if (lost || *live == nullptr) return;
      HttpCallObserver& waiting = **live;
      *live = nullptr;
      waiting.OnHead({200, {}});
      waiting.OnFinished();
    });
    return std::make_unique<Handle>(live);
  }

  std::vector<ReceivedCall> received;

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

/// A replicated log: proposals by the leader of the newest term are committed, and each node
/// applies them in order after a delay.
class Log;

class Replica : public UsageReportHost {
 public:
  Replica(VirtualScheduler& scheduler, LossyPlatform& platform, Log& log, const std::string& name,
          uint64_t seed)
      : environment(scheduler, seed),
        task(environment, platform, protocol, *this, {NodeId(name), name, "p:1", kWindow, kLease}),
        log_(log) {}

  std::optional<Term> LeadingTerm() const override { return believed_term; }
  const UsageLedger& ledger() const override { return state; }
  std::optional<WallTime> AgreedTime() const override {
    return WallTime(std::chrono::duration_cast<milliseconds>(environment.Now().time_since_epoch()));
  }
  void CatchUp(std::function<void(bool)> done) override;
  void Propose(ClusterOperation operation, std::function<void(bool)> done) override;

  void Apply(const ClusterOperation& operation) {
    if (const auto* add = std::get_if<AddUsage>(&operation)) state.Add(add->report);
    if (const auto* close = std::get_if<CloseUsage>(&operation)) state.Close(close->through);
    if (const auto* accept = std::get_if<AcceptUsage>(&operation)) state.Accept(accept->window);
    if (const auto* announce = std::get_if<AnnounceTaskLease>(&operation)) {
      task.OnAnnouncement(announce->announcement);
    }
  }

  VirtualEnvironment environment;
  TextProtocol protocol;
  UsageLedger state;
  /// The term in which it believes it leads.
  std::optional<Term> believed_term;
  size_t applied = 0;
  UsageReportTask task;

 private:
  Log& log_;
};

class Log {
 public:
  Log(VirtualScheduler& scheduler, RandomEngine& random) : scheduler_(scheduler), random_(random) {}

  void Propose(Replica& proposer, ClusterOperation operation, std::function<void(bool)> done) {
    const auto term = proposer.believed_term;
    const Duration delay = DrawDuration(random_, milliseconds(1), milliseconds(400));
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
  void Elect(Replica& leader, RandomEngine& random) {
    newest_term = Next(newest_term);
    for (Replica* replica : replicas) {
      if (replica == &leader || !replica->believed_term) continue;
      // The old leader learns late that it was deposed.
      const Duration delay = DrawDuration(random, milliseconds(0), milliseconds(1200));
      scheduler_.Schedule(delay, [replica, held = replica->believed_term] {
        if (replica->believed_term == held) replica->believed_term.reset();
      });
    }
    leader.believed_term = newest_term;
    leader.task.Run();
  }
  void CatchUp(Replica& replica, size_t through) {
    while (replica.applied < through) replica.Apply(entries_[replica.applied++]);
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
  const UsageWindow first = WindowAt(*replicas[0]->AgreedTime(), kWindow);
  log.Elect(*replicas[0], random);
  uint64_t sequence = 0;
  for (Duration at{0}; at < kRunLength; at += milliseconds(500)) {
    const UsageWindow window(first.value() + static_cast<uint64_t>(at / kWindow));
    log.Commit(AddUsage{{NodeId("g"),
                         Incarnation(1),
                         ++sequence,
                         {{window, TenantName("a"), 1 + DrawBelow(random, 5)}}}});
    if (DrawBelow(random, 5) == 0) log.Elect(*replicas[DrawBelow(random, 3)], random);
    scheduler.RunFor(milliseconds(500));
  }
  std::vector<ReceivedCall> received = std::move(platform.received);
  std::stable_sort(received.begin(), received.end(),
                   [](const ReceivedCall& a, const ReceivedCall& b) { return a.at < b.at; });
  return received;
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

TEST_CASE("Whoever holds the lease, the platform sees one holder at a time and one sum a window") {
  size_t calls_seen = 0;
  size_t changes_seen = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    const std::vector<ReceivedCall> calls = CallsOfRun(seed);
    std::map<uint64_t, std::string> sums;
    std::map<uint64_t, std::string> holder_of_fence;
    for (size_t i = 0; i < calls.size(); ++i) {
      const ReceivedCall& call = calls[i];
      if (i > 0) {
        REQUIRE(call.fence >= calls[i - 1].fence);
        changes_seen += call.holder != calls[i - 1].holder ? 1 : 0;
      }
      REQUIRE(sums.try_emplace(call.window, call.counts).first->second == call.counts);
      REQUIRE(holder_of_fence.try_emplace(call.fence, call.holder).first->second == call.holder);
    }
    REQUIRE_FALSE(CallsAlternate(calls));
    calls_seen += calls.size();
  }
  // Guards against a vacuous run: there must be calls and changes of the holder.
  CHECK(calls_seen > 2 * kSeeds);
  CHECK(changes_seen > kSeeds / 2);
}

}  // namespace
}  // namespace millstair
