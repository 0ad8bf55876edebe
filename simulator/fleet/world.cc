#include "simulator/fleet/world.h"

#include <algorithm>
#include <map>
#include <set>

#include "common/random.h"

namespace millstair::simulator {
namespace {

constexpr Duration kSampleInterval = std::chrono::milliseconds(100);
/// An unchanged configuration is recorded again after this time.
constexpr Duration kMaxRecordInterval = std::chrono::milliseconds(500);
/// Load stops this long before the end of the run, so that open requests can complete.
constexpr Duration kLoadEndMargin = std::chrono::seconds(4);
/// Trainers start no steps this close to the end of the run.
constexpr Duration kTrainerEndMargin = std::chrono::seconds(8);
constexpr size_t kVoters = 3;

bool ContainsKind(const FaultPlan& plan, FaultKind kind) {
  return std::any_of(plan.begin(), plan.end(),
                     [kind](const PlannedFault& fault) { return fault.kind == kind; });
}

EngineDisturbance DisturbanceOf(const FaultPlan& plan) {
  EngineDisturbance disturbance;
  if (ContainsKind(plan, FaultKind::kCacheEvents)) {
    disturbance.cache_event_loss = 0.1;
    disturbance.cache_event_delay = std::chrono::seconds(2);
  }
  return disturbance;
}

/// Voters of a group in the view of one replica.
struct VoterCount {
  size_t healthy = 0;
  size_t lost = 0;
  /// The replica itself is a voter.
  bool self = false;
};

VoterCount CountVoters(const RaftGroup& group, const std::set<ReplicaId>& disks, ReplicaId own) {
  VoterCount count;
  for (const GroupMember& member : group.Members()) {
    if (!member.voter) continue;
    ++(disks.contains(member.replica) ? count.healthy : count.lost);
    count.self = count.self || member.replica == own;
  }
  return count;
}

}  // namespace

World::World(const FleetOptions& options)
    : options_(options),
      plan_(PlanDeployment(options)),
      scheduler_(options.seed),
      network_(scheduler_, plan_.latencies),
      http_(network_),
      peers_(network_),
      engine_fabric_(
          http_,
          [this](const std::string& address, EngineArrival kind, const std::string& what) {
            for (const BackendPlan& engine : plan_.engines) {
              if (engine.address != address) continue;
              history_.arrivals.push_back(
                  {engine.name, scheduler_.Now(),
                   (kind == EngineArrival::kOrder ? "order " : "generation ") + what});
            }
          }),
      context_{scheduler_, network_, http_, peers_, engine_fabric_, history_},
      initial_resources_(InitialResources(plan_, options)) {
  BuildMachines();
  BuildClients();
}

World::~World() {
  // Pending events refer to the network and must be destroyed before it.
  callers_.reset();
  trainers_.clear();
  operators_.clear();
  gateways_.clear();
  controls_.clear();
  scheduler_.Clear();
}

void World::BuildMachines() {
  platform_ = std::make_unique<Platform>(context_, plan_);
  const EngineDisturbance disturbance = DisturbanceOf(options_.faults);
  for (size_t i = 0; i < plan_.engines.size(); ++i) {
    engines_.push_back(
        std::make_unique<EngineMachine>(context_, *platform_, plan_, i, options_, disturbance));
  }
  for (size_t i = 0; i < plan_.servers.size(); ++i) {
    servers_.push_back(std::make_unique<ServerMachine>(context_, plan_, i));
  }
  for (size_t i = 0; i < plan_.controls.size(); ++i) {
    controls_.push_back(std::make_unique<ControlMachine>(context_, plan_, i, options_));
  }
  for (size_t i = 0; i < plan_.gateways.size(); ++i) {
    gateways_.push_back(std::make_unique<GatewayMachine>(context_, plan_, i, options_));
  }
}

void World::BuildClients() {
  callers_ = std::make_unique<Callers>(context_, plan_, options_.live, prompts_);
  if (options_.rollouts) {
    for (const StreamPlan& stream : plan_.streams) {
      trainers_.push_back(std::make_unique<Trainer>(context_, *platform_, plan_, stream,
                                                    options_.trainer, prompts_));
    }
  }
  for (const char* name : {"amina", "baraka"}) {
    operators_.push_back(std::make_unique<OperatorClient>(context_, plan_, name));
  }
}

void World::Start() {
  for (auto& control : controls_) control->BringUp();
  for (auto& gateway : gateways_) gateway->BringUp();
  operators_[0]->Apply(initial_resources_, [this] { BeginLoad(); });
  Sample();
}

void World::BeginLoad() {
  callers_->Start(options_.length - kLoadEndMargin);
  for (auto& trainer : trainers_) trainer->Start(options_.length - kTrainerEndMargin);
  for (auto& one : operators_) {
    one->StartNotes(options_.note_interval, kNotes, options_.length - kLoadEndMargin);
  }
}

void World::RecordConfiguration(checks::ConfigurationSeen seen) {
  seen.at = scheduler_.Now();
  checks::ConfigurationSeen& last = last_seen_[seen.node];
  const bool same = last.incarnation == seen.incarnation && last.revision == seen.revision &&
                    last.ready == seen.ready && seen.at - last.at < kMaxRecordInterval;
  if (same) return;
  last = seen;
  history_.configurations.push_back(seen);
}

void World::Sample() {
  Revision smallest(UINT64_MAX);
  for (const auto& control : controls_) {
    if (!control->running()) continue;
    const Revision revision = control->node()->configuration().revision;
    RecordConfiguration({.node = control->plan().node,
                         .incarnation = control->incarnation(),
                         .revision = revision});
    smallest = std::min(smallest, revision);
  }
  for (const auto& gateway : gateways_) {
    if (!gateway->running()) continue;
    const Revision revision = gateway->node()->configuration().revision;
    RecordConfiguration({.node = gateway->plan().node,
                         .incarnation = gateway->incarnation(),
                         .revision = revision,
                         .ready = gateway->node()->Ready(),
                         .gateway = true});
    smallest = std::min(smallest, revision);
  }
  MeasureInForce(smallest);
  scheduler_.Schedule(kSampleInterval, [this] { Sample(); });
}

void World::MeasureInForce(Revision smallest) {
  while (first_awaited_ < history_.accepted.size()) {
    const checks::RevisionAccepted& accepted = history_.accepted[first_awaited_];
    if (accepted.revision > smallest) return;
    in_force_times_.push_back(scheduler_.Now() - accepted.at);
    ++first_awaited_;
  }
}

std::vector<HostId> World::NodeHosts() const {
  std::vector<HostId> hosts;
  for (const auto& control : controls_) hosts.push_back(control->host());
  for (const auto& gateway : gateways_) hosts.push_back(gateway->host());
  return hosts;
}

std::vector<HostId> World::FleetHosts() const {
  std::vector<HostId> hosts;
  for (uint32_t i = 0; i < network_.host_count(); ++i) {
    const HostId host(i);
    if (network_.HostZone(host) != plan_.latencies.clients) hosts.push_back(host);
  }
  return hosts;
}

ControlMachine* World::ClusterLeader() {
  for (auto& control : controls_) {
    if (control->running() && control->node()->IsClusterLeader()) return control.get();
  }
  return nullptr;
}

bool World::FullyReplicated() const {
  std::set<ReplicaId> disks;
  for (const auto& control : controls_) {
    if (control->running()) disks.insert(control->node()->groups().identity().replica);
  }
  std::map<GroupId, bool> led;
  for (const auto& control : controls_) {
    if (!control->running()) continue;
    const ReplicaId own = control->node()->groups().identity().replica;
    for (RaftGroup* group : control->node()->groups().Groups()) {
      const VoterCount count = CountVoters(*group, disks, own);
      // A lost voter that is still a member counts against the quorum. The view of the leader is
      // not sufficient, since the change that removed the voter may not be committed yet.
      if (count.self && count.lost > 0) return false;
      const bool healthy_leader = group->IsLeader() && count.healthy >= kVoters;
      led[group->id()] = led[group->id()] || healthy_leader;
    }
  }
  return !led.empty() &&
         std::all_of(led.begin(), led.end(), [](const auto& group) { return group.second; });
}

Resource World::InitialResource(const ResourceKey& key) const {
  for (const Resource& resource : initial_resources_) {
    if (resource.key() == key) return resource;
  }
  return {};
}

void World::CloseHistory() {
  for (const auto& engine : engines_) prompts_.Collect(*engine, engine->model().truth(), history_);
  history_.healed = FaultsHealedBy(options_.length);
  history_.end = scheduler_.Now();
}

}  // namespace millstair::simulator
