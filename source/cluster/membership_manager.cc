#include "cluster/membership_manager.h"

#include <algorithm>
#include <utility>

#include "common/event_log.h"

namespace millstair {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(250);
/// How often a follower forwards the heartbeats it received.
constexpr Duration kDigestInterval = std::chrono::seconds(1);
/// A lagging node without a heartbeat for this long is reported as unresponsive.
constexpr Duration kUnresponsiveAfter = std::chrono::seconds(3);
/// An observation expires unless its gateway repeats it; the state derived from it stays.
constexpr Duration kObservationTimeout = std::chrono::seconds(15);

MemberState StateOf(PlatformMachineState state) {
  switch (state) {
    case PlatformMachineState::kLive:
      return MemberState::kLive;
    case PlatformMachineState::kLeaving:
      return MemberState::kLeaving;
    case PlatformMachineState::kGone:
      break;
  }
  return MemberState::kGone;
}

NodeRecord GoneRecord(NodeRecord record) {
  LogEvent(EventId::kNodeStateChanged, "node={} incarnation={} state=gone", record.node,
           record.incarnation);
  record.state = MemberState::kGone;
  return record;
}

}  // namespace

MembershipManager::MembershipManager(Environment& environment, PeerTransport& transport,
                                     HttpCaller& platform, ClusterReplica& cluster,
                                     const ControlNodeOptions& options)
    : environment_(environment),
      transport_(transport),
      cluster_(cluster),
      timing_(options.membership_timing),
      control_nodes_(options.control_nodes),
      self_(options.self),
      level_(options.faults.no_feature_level ? kFirstLevel : kOwnLevel),
      nodes_(timing_.node_lease * 2 / 3),
      poller_(environment, platform, options.platform_list, timing_.platform_poll,
              [this](const PlatformMachines& machines) { platform_machines_ = machines; }),
      inviter_(environment, transport, {self_.node, self_.address, self_.zone}),
      timer_(environment) {}

void MembershipManager::Start(ReplicaId own_replica) {
  own_replica_ = own_replica;
  for (const ControlEndpoint& endpoint : control_nodes_) {
    if (endpoint.node != self_.node) transport_.SetAddress(endpoint.node, endpoint.address);
  }
  Tick();
}

void MembershipManager::OnHeartbeat(const NodeHeartbeat& heartbeat) {
  const TimePoint now = environment_.Now();
  nodes_.Record(heartbeat.sender, now);
  for (const ForwardedNode& node : heartbeat.forwarded) {
    // Only the leader uses forwarded records; otherwise they could circulate forever.
    if (cluster_.IsLeader()) nodes_.Record(node, now);
  }
  for (const ReportedObservation& reported : heartbeat.observations) {
    const NodeId gateway =
        reported.gateway.value().empty() ? heartbeat.sender.record.node : reported.gateway;
    if (cluster_.IsLeader()) {
      RecordObservation(gateway, reported.observation);
    } else if (heartbeat.nonce != 0) {
      unsent_observations_.push_back({gateway, reported.observation});
    }
  }
}

void MembershipManager::Tick() {
  timer_.Arm(kTick, [this] { Tick(); });
  RecordSelf();
  const bool leads = cluster_.IsLeader();
  if (leads && !was_leader_) BecomeLeader();
  if (!leads) poller_.Stop();
  was_leader_ = leads;
  if (leads) {
    InviteUnheard();
    return Decide();
  }
  const TimePoint now = environment_.Now();
  if (now < next_digest_) return;
  next_digest_ = now + kDigestInterval;
  const auto leader = cluster_.Leader();
  if (leader) return SendDigest(*leader);
  // A relay sends its heartbeats to the replica that it follows.
  if (!cluster_.relaying()) SendHeartbeatWithoutLeader();
}

ForwardedNode MembershipManager::Self() const {
  return {self_, cluster_.configuration().revision, own_replica_, level_,
          cluster_.group() == nullptr};
}

void MembershipManager::RecordSelf() { nodes_.Record(Self(), environment_.Now()); }

void MembershipManager::SendDigest(const NodeId& leader) {
  const TimePoint since = std::exchange(last_digest_, environment_.Now());
  NodeHeartbeat digest;
  digest.sender = Self();
  for (const auto& [node, liveness] : nodes_.nodes()) {
    if (node != self_.node && liveness.last_seen >= since)
      digest.forwarded.push_back(liveness.latest);
  }
  digest.observations = std::exchange(unsent_observations_, {});
  transport_.Send(leader, {MessageKind::kHeartbeat, EncodeHeartbeat(digest)});
}

void MembershipManager::SendHeartbeatWithoutLeader() {
  if (control_nodes_.empty()) return;
  unsent_observations_.clear();
  const ControlEndpoint& endpoint = control_nodes_[next_control_node_++ % control_nodes_.size()];
  if (endpoint.node == self_.node) return;
  NodeHeartbeat heartbeat;
  heartbeat.nonce = environment_.Random()() | 1;
  heartbeat.sender = Self();
  transport_.Send(endpoint.node, {MessageKind::kHeartbeat, EncodeHeartbeat(heartbeat)});
}

void MembershipManager::RecordObservation(const NodeId& gateway,
                                          const EngineObservation& observation) {
  observed_[observation.engine][gateway] = {observation, environment_.Now()};
  if (listener_) listener_(gateway, observation);
}

void MembershipManager::BecomeLeader() {
  leader_since_ = environment_.Now();
  gone_since_.clear();
  observed_.clear();
  platform_machines_.reset();
  proposing_ = false;
  inviter_.Reset();
  poller_.Start();
}

void MembershipManager::InviteUnheard() {
  // A new leader first waits for the heartbeats that other control nodes forward.
  if (environment_.Now() - leader_since_ < kInvitationDelay) return;
  inviter_.Run(cluster_.configuration(), nodes_);
}

void MembershipManager::Decide() {
  if (proposing_) return;
  UpdateMembers update;
  FindNodeChanges(update);
  FindExpiredNodes(update);
  FindMachineChanges(update);
  FindEngineChanges(update);
  if (update.nodes.empty() && update.machines.empty() && update.engines.empty() &&
      update.deleted_nodes.empty()) {
    return;
  }
  proposing_ = true;
  cluster_.Propose({std::move(update), std::nullopt, {}},
                   alive_.Guard([this](const absl::StatusOr<ClusterResult>&) {
                     // Changes that failed to commit are found again at the next tick.
                     proposing_ = false;
                   }));
}

void MembershipManager::FindNodeChanges(UpdateMembers& update) {
  const TimePoint now = environment_.Now();
  const TimePoint since = now - timing_.node_lease;
  const auto& known = cluster_.configuration().nodes;
  // The newest incarnation at each address: any other node recorded there is gone.
  std::map<std::string, Incarnation> newest_at;
  for (const auto& [node, liveness] : nodes_.nodes()) {
    if (liveness.last_seen < since) continue;
    Incarnation& newest = newest_at[liveness.latest.record.address];
    newest = std::max(newest, liveness.latest.record.incarnation);
  }
  const auto replaced = [&](const NodeRecord& record) {
    const auto newest = newest_at.find(record.address);
    return newest != newest_at.end() && newest->second > record.incarnation;
  };
  for (const auto& [node, liveness] : nodes_.nodes()) {
    if (liveness.last_seen < since || replaced(liveness.latest.record)) continue;
    gone_since_.erase(node);
    const auto found = known.find(node);
    if (found != known.end() && found->second == liveness.latest.record) continue;
    // A new leader may have received a delayed message of a previous incarnation, and nothing yet
    // from the current one.
    const bool older =
        found != known.end() && found->second.incarnation > liveness.latest.record.incarnation;
    if (older && now - leader_since_ <= timing_.node_lease) continue;
    if (older) update.nodes.push_back(GoneRecord(found->second));
    LogEvent(EventId::kNodeStateChanged, "node={} incarnation={} state={}", node,
             liveness.latest.record.incarnation, static_cast<int>(liveness.latest.record.state));
    update.nodes.push_back(liveness.latest.record);
  }
  for (const auto& [node, record] : known) {
    if (record.state == MemberState::kGone) continue;
    const NodeLiveness* present = nodes_.FindSince(node, since);
    const bool responsive = present != nullptr;
    // Its next incarnation is among the changes already.
    if (responsive && present->latest.record.incarnation > record.incarnation) continue;
    // A new leader waits until every node had time to send a heartbeat.
    const bool unresponsive = !responsive && now - leader_since_ > timing_.node_lease;
    if (!unresponsive && !replaced(record)) continue;
    update.nodes.push_back(GoneRecord(record));
  }
}

void MembershipManager::FindExpiredNodes(UpdateMembers& update) {
  const TimePoint now = environment_.Now();
  for (const auto& [node, record] : cluster_.configuration().nodes) {
    if (record.state != MemberState::kGone) continue;
    const TimePoint gone_since = gone_since_.try_emplace(node, now).first->second;
    if (now - gone_since <= timing_.forget_after) continue;
    update.deleted_nodes.push_back(node);
    nodes_.Erase(node);
    gone_since_.erase(node);
  }
}

void MembershipManager::FindMachineChanges(UpdateMembers& update) const {
  // An empty list is a fault of the platform: it does not mean that all machines are gone.
  if (!platform_machines_ || platform_machines_->empty()) return;
  const Configuration& configuration = cluster_.configuration();
  for (const auto& [key, resource] : configuration.resources) {
    const auto* machine = std::get_if<MachineSpec>(&resource.spec);
    if (machine == nullptr) continue;
    const auto known = configuration.machines.find(key.name);
    const auto entry_in_list = platform_machines_->find(machine->address);
    // A machine that was never in the list may be too new for it.
    if (entry_in_list == platform_machines_->end() && known == configuration.machines.end())
      continue;
    const MemberState state = entry_in_list == platform_machines_->end()
                                  ? MemberState::kGone
                                  : StateOf(entry_in_list->second);
    if (known != configuration.machines.end() && known->second.platform_state == state) continue;
    LogEvent(EventId::kMachineStateChanged, "machine={} state={}", key.name,
             static_cast<int>(state));
    update.machines.push_back({key.name, state});
  }
}

void MembershipManager::FindEngineChanges(UpdateMembers& update) {
  const TimePoint since = environment_.Now() - kObservationTimeout;
  const Configuration& configuration = cluster_.configuration();
  for (auto it = observed_.begin(); it != observed_.end();) {
    std::erase_if(it->second, [&](const auto& entry) { return entry.second.last_seen < since; });
    if (it->second.empty()) {
      it = observed_.erase(it);
      continue;
    }
    const EngineName& engine = it->first;
    ++it;
    if (!configuration.resources.contains({ResourceKind::kEngine, engine.value()})) continue;
    auto merged = MergedObservation(engine);
    const auto known = configuration.engines.find(engine);
    const bool unknown_incarnation = merged && merged->incarnation == Incarnation();
    if (unknown_incarnation && known != configuration.engines.end()) {
      merged->incarnation = known->second.incarnation;
    }
    if (!merged ||
        (known != configuration.engines.end() &&
         (known->second == *merged || known->second.incarnation > merged->incarnation))) {
      continue;
    }
    update.engines.push_back(*merged);
  }
}

std::optional<EngineStatus> MembershipManager::MergedObservation(const EngineName& engine) const {
  const auto found = observed_.find(engine);
  if (found == observed_.end()) return std::nullopt;
  EngineStatus status;
  status.engine = engine;
  for (const auto& [gateway, observed] : found->second) {
    status.incarnation = std::max(status.incarnation, observed.observation.incarnation);
  }
  for (const auto& [gateway, observed] : found->second) {
    // A back end that was seen leaving, of unknown incarnation, counts as the current one.
    const Incarnation reported = observed.observation.incarnation;
    if (reported != status.incarnation && reported != Incarnation()) continue;
    if (observed.observation.leaving) status.state = MemberState::kLeaving;
  }
  return status;
}

MinFeatureLevel MembershipManager::MinLevel() const {
  MinFeatureLevel min;
  const bool all_reported = environment_.Now() - leader_since_ > timing_.node_lease;
  for (const auto& [node, record] : cluster_.configuration().nodes) {
    if (record.state == MemberState::kGone) continue;
    const auto found = nodes_.nodes().find(node);
    const bool unknown = found == nodes_.nodes().end();
    // A node that had time to send a heartbeat to this leader and did not is down.
    if (unknown && all_reported) continue;
    const FeatureLevel level = unknown ? kFirstLevel : found->second.latest.feature_level;
    if (level < min.level) min = {level, node};
  }
  return min;
}

std::vector<NodeProgress> MembershipManager::Lagging(Revision revision) const {
  std::vector<NodeProgress> lagging;
  for (const auto& [node, record] : cluster_.configuration().nodes) {
    if (record.state == MemberState::kGone) continue;
    const auto found = nodes_.nodes().find(node);
    const Revision applied =
        found == nodes_.nodes().end() ? Revision() : found->second.latest.applied;
    if (applied >= revision) continue;
    const bool unresponsive =
        nodes_.FindSince(node, environment_.Now() - kUnresponsiveAfter) == nullptr;
    lagging.push_back({node, applied, unresponsive ? "silent" : "behind"});
  }
  return lagging;
}

}  // namespace millstair
