/// Seeded plays of ends, submissions and repeats among faults: no item starts later than a bound
/// after its job's end was asked for at a gateway that reaches a majority, whatever the answer was.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <sstream>

#include "common/event_log.h"
#include "fmt/format.h"
#include "test/jobs/job_end_cluster.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kFaultTime = seconds(18);
constexpr Duration kPlayTime = seconds(36);
/// An end counts from when its gateway and a majority of stores have had no outage for this long,
/// if they have none in the next kMaxStartAfterEnd either: the leader may have just been lost.
constexpr Duration kSteadyTime = seconds(4);
/// No item starts later than this after an end counts.
constexpr Duration kMaxStartAfterEnd = seconds(3);
constexpr Duration kMaxCommandDelay = seconds(2);
constexpr int kJobs = 2;
/// More than the engines complete in a play.
constexpr int kItemsPerJob = 60;
constexpr int kGateways = 2;

struct Outage {
  Duration from{0};
  Duration until{0};
};

/// An end that a gateway has begun to handle.
struct AskedEnd {
  NodeId gateway;
  Duration at{0};
};

struct PlayCounts {
  size_t runs = 0;
  size_t ends_before_submission = 0;
};

class JobEndPlay {
 public:
  explicit JobEndPlay(uint64_t seed) : scheduler_(seed) {
    AddEngine("e:1");
    AddEngine("e:2");
    Route route;
    route.name = "jobs";
    route.host = "h";
    route.path_prefix = "/j/";
    route.kind = RouteKind::kJobs;
    route.attempts = 2;
    route.item_lifetime = std::chrono::minutes(5);
    route.services = {{ServiceName("engines"), 1}};
    setting_.reader.table.version = 1;
    setting_.reader.table.routes = {route};
    setting_.reader.table.services = {
        {ServiceName("engines"), "", 0, EngineProfile{2, 1, {ModelName("m")}}}};
    setting_.configuration.routing = {1, "content"};
    AddStores(seed % 2 == 0 ? 3 : 5);
    for (int number = 0; number < kGateways; ++number) AddGateway(fmt::format("g{}", number));
  }

  ~JobEndPlay() {
    stores_.clear();
    gateways_.clear();
    scheduler_.Clear();
  }

  /// Returns the violations.
  std::vector<std::string> Run() {
    REQUIRE(scheduler_.RunUntilTrue([this] { return Leader() != NodeId(); }, seconds(10)));
    scheduler_.RunFor(seconds(1));
    start_ = scheduler_.Now();
    const size_t faults = 3 + DrawBelow(Random(), 10);
    for (size_t fault = 0; fault < faults; ++fault) After(kFaultTime, [this] { Disturb(); });
    for (int job = 0; job < kJobs; ++job) PlanJob(JobId(fmt::format("job{}", job)));
    scheduler_.RunFor(kPlayTime);
    return Judge();
  }

  PlayCounts counts;

 private:
  RandomEngine& Random() { return scheduler_.Random(); }
  Duration Draw(Duration low, Duration high) { return DrawDuration(Random(), low, high); }
  /// Runs `work` at a random time within `limit`.
  void After(Duration limit, std::function<void()> work) {
    scheduler_.Schedule(Draw(Duration(0), limit), std::move(work));
  }

  void AddEngine(const std::string& address) {
    BackendInstance instance = LiveInstance(address, "engines");
    instance.models = {{ModelName("m"), WeightVersion(1)}};
    setting_.configuration.instances[instance.id] = instance;
    engines_.Serve(address, [](const HttpRequest& request) {
      FakeAnswer answer = Text({"1||one\n\n", "2||two\n\n", "3||three\n\n"});
      answer.gap = milliseconds(300);
      const auto resume = FindHeader(request.headers, "resume");
      const size_t known = resume ? std::stoul(std::string(*resume)) : 0;
      answer.pieces.erase(answer.pieces.begin(),
                          answer.pieces.begin() + static_cast<std::ptrdiff_t>(known));
      return answer;
    });
  }

  void AddStores(int count) {
    for (int number = 0; number < count; ++number) {
      const NodeId name(fmt::format("s{}", number));
      disks_[name] = std::make_unique<MemoryFileSystem>(disk_environment_, Random()());
      REQUIRE(InitializeInitialMember(*disks_[name], "play", name, name.value()).ok());
      setting_.members.push_back({InitialMemberReplicaId("play", name), name, name.value(), true});
      wires_.receivers[name] = [this, name](const NodeId& from, const PeerMessage& message) {
        const bool slow = scheduler_.Now() < slow_until_ && message.kind == MessageKind::kCommand;
        After(slow ? kMaxCommandDelay : milliseconds(2), [this, name, from, message] {
          if (stores_[name] != nullptr) stores_[name]->Receive(from, message);
        });
      };
    }
    for (const auto& [name, disk] : disks_) StartStore(name);
  }

  void AddGateway(const std::string& name) {
    gateways_[NodeId(name)] = std::make_unique<JobEndGateway>(setting_, name);
    wires_.receivers[NodeId(name)] = [this, name](const NodeId& from, const PeerMessage& message) {
      if (scheduler_.Now() < lossy_until_ && DrawChance(Random(), 0.5)) return;
      gateways_[NodeId(name)]->Receive(from, message);
    };
  }

  void StartStore(const NodeId& name) {
    stores_[name] = std::make_unique<JobEndStore>(setting_, *disks_.at(name), name);
  }

  NodeId Leader() const {
    for (const auto& [name, store] : stores_) {
      if (store != nullptr && store->Leads()) return name;
    }
    return {};
  }

  NodeId AnyStore() {
    const size_t number = DrawBelow(Random(), setting_.members.size());
    return setting_.members[number].node;
  }
  NodeId LeaderOrAnyStore() {
    const NodeId leader = Leader();
    return leader == NodeId() || DrawChance(Random(), 0.2) ? AnyStore() : leader;
  }
  NodeId AnyGateway() { return NodeId(fmt::format("g{}", DrawBelow(Random(), kGateways))); }

  void Disturb() {
    const Duration span = Draw(milliseconds(500), seconds(4));
    switch (DrawBelow(Random(), 9)) {
      case 0:
      case 1:
        return Cut(LeaderOrAnyStore(), span);
      case 2:
        return Kill(LeaderOrAnyStore(), span);
      case 3:
        return Cut(AnyGateway(), span);
      case 4:
        return Pause(AnyGateway(), span);
      case 5:
        return Stall(AnyStore(), span);
      case 6:
        for (const auto& [name, store] : stores_) {
          if (store != nullptr && !store->Leads()) Stall(name, span);
        }
        return;
      case 7:
        return DelayCommands(span);
      default:
        lossy_until_ = scheduler_.Now() + span;
    }
  }

  void DelayCommands(Duration span) {
    slow_until_ = scheduler_.Now() + span;
    for (const auto& [name, gateway] : gateways_) {
      outages_[name].push_back({scheduler_.Now(), slow_until_ + kMaxCommandDelay});
    }
  }

  /// Records the outage; `heal` runs at its end unless the node has a longer one of the same kind.
  void Suffer(std::map<NodeId, Duration>& kind, const NodeId& node, Duration span,
              std::function<void()> heal) {
    const Duration until = scheduler_.Now() + span;
    outages_[node].push_back({scheduler_.Now(), until});
    kind[node] = std::max(kind[node], until);
    scheduler_.Schedule(span, [this, &kind, node, heal = std::move(heal)] {
      if (scheduler_.Now() >= kind[node]) heal();
    });
  }

  void Cut(const NodeId& node, Duration span) {
    wires_.cut.insert(node);
    Suffer(cut_until_, node, span, [this, node] { wires_.cut.erase(node); });
  }

  void Kill(const NodeId& store, Duration span) {
    if (stores_[store] == nullptr) return;
    stores_[store].reset();
    if (DrawChance(Random(), 0.5)) {
      disks_[store]->Crash();
    } else {
      disks_[store]->Kill();
    }
    Suffer(down_until_, store, span, [this, store] { StartStore(store); });
  }

  void Pause(const NodeId& gateway, Duration span) {
    gateways_[gateway]->Pause();
    Suffer(paused_until_, gateway, span, [this, gateway] { gateways_[gateway]->GoOn(); });
  }

  void Stall(const NodeId& store, Duration span) {
    Suffer(stalled_until_, store, span, [this, store] {
      disks_[store]->SetSyncTime(std::chrono::microseconds(200), std::chrono::microseconds(800));
    });
    KeepStalled(store);
  }

  /// No sync ends before the stall does.
  void KeepStalled(const NodeId& store) {
    const Duration left = stalled_until_[store] - scheduler_.Now();
    if (left <= Duration(0)) return;
    disks_[store]->SetSyncTime(left, left);
    scheduler_.Schedule(std::min<Duration>(left, milliseconds(50)),
                        [this, store] { KeepStalled(store); });
  }

  void PlanJob(const JobId& job) {
    const Duration submit_at = Draw(Duration(0), seconds(14));
    // Some are committed together with the submission.
    const bool together = DrawChance(Random(), 0.25);
    const Duration later =
        together ? Draw(-milliseconds(3), milliseconds(3)) : Draw(-seconds(3), seconds(5));
    const Duration end_at = std::max(submit_at + later, Duration(0));
    const size_t submissions = 1 + DrawBelow(Random(), 3);
    for (size_t copy = 0; copy < submissions; ++copy) {
      const Duration pause = copy == 0 ? Duration(0) : Draw(Duration(0), seconds(5));
      scheduler_.Schedule(submit_at + pause, [this, job] { Submit(AnyGateway(), job); });
    }
    const size_t ends = 1 + DrawBelow(Random(), 3);
    for (size_t copy = 0; copy < ends; ++copy) {
      const Duration pause = copy == 0 ? Duration(0) : Draw(Duration(0), seconds(4));
      scheduler_.Schedule(end_at + pause, [this, job] { End(AnyGateway(), job); });
    }
    if (end_at < submit_at) ++counts.ends_before_submission;
  }

  static JobSpec SpecOf(const JobId& id) {
    JobSpec job;
    job.id = id;
    job.host = "h";
    job.path = "/j/x";
    job.model = ModelName("m");
    job.items.resize(kItemsPerJob);
    for (int number = 0; number < kItemsPerJob; ++number) {
      job.items[number].id = ItemId(fmt::format("{}-{}", id.value(), number));
      job.items[number].path = "/j/" + id.value();
      job.items[number].body = "prompt";
    }
    return job;
  }

  void Submit(const NodeId& gateway, const JobId& job) {
    gateways_[gateway]->Arrive([this, gateway, job] {
      gateways_[gateway]->jobs().Submit(SpecOf(job), [](const absl::StatusOr<JobResultCode>&) {});
    });
  }

  void End(const NodeId& gateway, const JobId& job) {
    gateways_[gateway]->Arrive([this, gateway, job] {
      ends_[job].push_back({gateway, scheduler_.Now()});
      gateways_[gateway]->ender().End(
          {job, {}}, [this, job](const absl::StatusOr<JobResultCode>& result) {
            const std::string name = !result.ok()                    ? "503"
                                     : *result == JobResultCode::kOk ? "200"
                                                                     : "404";
            answers_[job] += fmt::format(" {}@{}", name, SinceStart(scheduler_.Now()));
          });
    });
  }

  double SinceStart(Duration at) const { return ToSeconds(at - start_); }

  bool Steady(const NodeId& node, Duration at) const {
    const auto found = outages_.find(node);
    if (found == outages_.end()) return true;
    return std::none_of(found->second.begin(), found->second.end(), [at](const Outage& outage) {
      return outage.from <= at + kMaxStartAfterEnd && outage.until > at - kSteadyTime;
    });
  }

  bool ReachesMajority(const NodeId& gateway, Duration at) const {
    size_t steady = 0;
    for (const GroupMember& member : setting_.members) steady += Steady(member.node, at) ? 1 : 0;
    return Steady(gateway, at) && steady > setting_.members.size() / 2;
  }

  /// When the end counts, since its gateway has reached a majority for a while.
  Duration CountsFrom(const AskedEnd& end) const {
    std::vector<Duration> times = {end.at};
    for (const auto& [node, outages] : outages_) {
      for (const Outage& outage : outages) times.push_back(outage.until + kSteadyTime);
    }
    std::sort(times.begin(), times.end());
    for (const Duration at : times) {
      if (at >= end.at && ReachesMajority(end.gateway, at)) return at;
    }
    return Duration::max() - kMaxStartAfterEnd;
  }

  std::vector<std::string> Judge() {
    std::vector<std::string> violations;
    const NodeId leader = Leader();
    REQUIRE(leader != NodeId());
    for (const auto& [job, ends] : ends_) {
      const JobRecord* const record = stores_[leader]->state().Find(job);
      if (record != nullptr && !record->ended) {
        violations.push_back(
            fmt::format("{} has not ended; answers:{}", job.value(), answers_[job]));
      }
      JudgeStarts(job, ends, violations);
    }
    return violations;
  }

  void JudgeStarts(const JobId& job, const std::vector<AskedEnd>& ends,
                   std::vector<std::string>& violations) {
    Duration last_start = Duration::max();
    for (const AskedEnd& end : ends) {
      last_start = std::min(last_start, CountsFrom(end) + kMaxStartAfterEnd);
    }
    size_t late = 0;
    Duration latest{0};
    for (const auto& call : engines_.calls) {
      if (call->request.target != "/j/" + job.value()) continue;
      ++counts.runs;
      if (call->at <= last_start) continue;
      ++late;
      latest = call->at;
    }
    if (late == 0) return;
    violations.push_back(
        fmt::format("{}: {} items started after {} s, the last at {} s; answers:{}", job.value(),
                    late, SinceStart(last_start), SinceStart(latest), answers_[job]));
  }

  VirtualScheduler scheduler_;
  Wires wires_{scheduler_};
  FakeBackends engines_{scheduler_};
  JobEndSetting setting_{scheduler_, wires_, engines_, {}, {}, {}, {}};
  VirtualEnvironment disk_environment_{scheduler_, 1};
  std::map<NodeId, std::unique_ptr<MemoryFileSystem>> disks_;
  std::map<NodeId, std::unique_ptr<JobEndStore>> stores_;
  std::map<NodeId, std::unique_ptr<JobEndGateway>> gateways_;
  std::map<NodeId, std::vector<Outage>> outages_;
  std::map<NodeId, Duration> cut_until_;
  std::map<NodeId, Duration> down_until_;
  std::map<NodeId, Duration> paused_until_;
  std::map<NodeId, Duration> stalled_until_;
  /// Until when commands arrive late, and answers to gateways get lost.
  Duration slow_until_{0};
  Duration lossy_until_{0};
  Duration start_{0};
  std::map<JobId, std::vector<AskedEnd>> ends_;
  std::map<JobId, std::string> answers_;
};

/// The seeds of MILLSTAIR_PLAY_SEEDS, "first last", or else those of CI.
std::pair<uint64_t, uint64_t> Seeds() {
  std::pair<uint64_t, uint64_t> seeds{1, 400};
  if (const char* const wanted = std::getenv("MILLSTAIR_PLAY_SEEDS")) {
    std::istringstream(wanted) >> seeds.first >> seeds.second;
  }
  return seeds;
}

TEST_CASE("No item starts later than a bound after the end of its job was asked for") {
  SetEventThreshold(EventLevel::kError);
  size_t runs = 0;
  size_t ends_before_submission = 0;
  const auto [first, last] = Seeds();
  for (uint64_t seed = first; seed <= last; ++seed) {
    JobEndPlay play(seed);
    std::string violations;
    for (const std::string& violation : play.Run()) violations += violation + "\n";
    INFO("seed " << seed << ": " << violations);
    CHECK(violations.empty());
    runs += play.counts.runs;
    ends_before_submission += play.counts.ends_before_submission;
  }
  // Guards against plays that exercise nothing.
  CHECK(runs > 10 * (last - first));
  CHECK(ends_before_submission > (last - first) / 4);
  SetEventThreshold(EventLevel::kInfo);
}

}  // namespace
}  // namespace millstair
