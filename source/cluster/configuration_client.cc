#include "cluster/configuration_client.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "cluster/confirmed_reads.h"
#include "cluster/control_endpoints.h"
#include "cluster/control_messages.h"
#include "cluster/freshness_gate.h"
#include "cluster/peer_confirmation.h"
#include "common/event_log.h"
#include "common/random.h"
#include "common/scoped_timer.h"

namespace millstair {
namespace {

/// All observations are sent again with each n-th heartbeat, in case a control node lost them.
constexpr int kHeartbeatsPerFullReport = 5;
/// How often a node that uses a control node of another zone also sends a heartbeat to one of its
/// own zone.
constexpr Duration kOwnZoneProbeInterval = std::chrono::seconds(10);
constexpr double kHeartbeatJitter = 0.1;
/// A longer gap than this many heartbeat intervals means that the process was paused.
constexpr int kHeartbeatsUntilPaused = 2;
/// Between requests to successive control nodes during a search. Much shorter than a connection
/// timeout, because several control nodes of one zone can become unresponsive together: waiting
/// 0.9 s for each left nodes without a confirmation for 5 to 7 s. A response takes some ten
/// milliseconds, a complete configuration a few tens; 13 control nodes get a request within 1.8 s.
constexpr Duration kSearchInterval = std::chrono::milliseconds(150);
/// A changed observation is sent at most this much later, together with others that change
/// meanwhile.
constexpr Duration kObservationDelay = std::chrono::milliseconds(150);

/// A node that received nothing from any control node for this many leases counts as isolated. Long
/// enough for a restart of all control nodes.
constexpr int kLeasesUntilIsolated = 2;
/// How often an unconfirmed node logs the outcome of its heartbeats.
constexpr Duration kUnconfirmedLogInterval = std::chrono::seconds(5);

/// After this many control nodes got a request in vain, each further one goes to another gateway as
/// well. A gateway that is confirmed replies at once; one that lost the control nodes too refuses.
constexpr size_t kRequestsBeforePeers = 3;

/// The search interval doubles after this many requests, or after each control node got one.
constexpr size_t kMaxRequestsPerRound = 13;
/// Bounds the shift of the search interval, which the heartbeat interval caps anyway.
constexpr size_t kMaxDoublings = 8;

/// After the target of a redirect did not reply, the node accepts no redirect for this long; by
/// then a control node that is gone is no longer a target.
constexpr Duration kNoRedirectPeriod = std::chrono::seconds(5);

/// Minimum time between two redirects.
constexpr Duration kMinRedirectInterval = std::chrono::seconds(1);

/// Whom a heartbeat is sent to.
enum class HeartbeatTarget : uint8_t {
  /// The control node in use, which pushes changes from then on.
  kSource,
  /// Another control node, which must not push: otherwise each one that receives a request during
  /// a search would push every change for seconds.
  kOtherControlNode,
  /// A gateway.
  kPeer,
};

struct SentHeartbeat {
  NodeId to;
  TimePoint at;
  HeartbeatTarget target = HeartbeatTarget::kSource;

  bool to_peer() const { return target == HeartbeatTarget::kPeer; }
};

/// Outcomes of heartbeats, for the log.
struct HeartbeatCounts {
  int sent = 0;
  /// Confirmed in time, or answered with changes that lead to a confirmation.
  int confirmed = 0;
  /// Replies that arrived after their heartbeat had expired.
  int too_late = 0;
  /// Replies without a confirmation; `refusal` is the last reason.
  int refused = 0;
  HeartbeatRefusal refusal = HeartbeatRefusal::kNone;
  /// Replies and pushes that could not be decoded.
  int unreadable = 0;
  /// Deltas that start after the revision held, or lead to an older one.
  int inapplicable = 0;
  int pushes = 0;
};

/// Replica identity of a control node that has no replica; nullopt on other nodes.
using RelayIdentity = std::optional<ReplicaId>;

class HeartbeatingConfigurationClient : public RelayedConfigurationClient {
 public:
  HeartbeatingConfigurationClient(Environment& environment, PeerTransport& transport,
                                  NodeRecord self, RelayIdentity relay,
                                  std::vector<ControlEndpoint> control_nodes,
                                  ConfigurationTiming timing, ClusterFaults faults)
      : environment_(environment),
        transport_(transport),
        self_(std::move(self)),
        relay_(relay),
        sources_(std::move(control_nodes), self_.zone, environment.Random()),
        timing_(timing),
        faults_(faults),
        reads_(environment, [this] { SendRegularHeartbeat(); }),
        gate_(
            environment, {timing.reply_timeout, kHeartbeatsUntilPaused * timing.heartbeat},
            [this] { return LeaseValid(); }, [this] { RequestConfirmation(); }),
        timer_(environment),
        search_timer_(environment) {}

  void Start() override {
    if (sources_.empty()) return;
    for (const ControlEndpoint& endpoint : sources_.all()) {
      transport_.SetAddress(endpoint.node, endpoint.address);
    }
    source_replied_at_ = environment_.Now();
    last_message_at_ = source_replied_at_;
    counts_logged_at_ = source_replied_at_;
    search_timer_.Arm(SearchInterval(), [this] { Search(); });
    SendRegularHeartbeat();
  }

  const Configuration& configuration() const override { return configuration_; }

  bool LeaseValid() const override { return leased_ && environment_.Now() < lease_until_; }

  void WhenCurrent(std::function<void()> work) override {
    // Without a configuration nothing can be out of date; without control nodes there is nobody to
    // send a request to.
    if (configuration_.revision == Revision() || sources_.empty()) return work();
    gate_.Submit(std::move(work));
  }

  std::optional<TimePoint> ConfirmedSince() const override {
    return LeaseValid() ? std::optional(confirmed_since_) : std::nullopt;
  }

  std::optional<Duration> ConfirmationAge() const override {
    if (!leased_) return std::nullopt;
    return environment_.Now() - (lease_until_ - timing_.lease);
  }

  NodeId ConfirmedBy() const override { return confirmed_by_; }

  bool IsIsolated() const override {
    return !LeaseValid() && ControlSilence() > kLeasesUntilIsolated * timing_.lease;
  }

  Duration ControlSilence() const override { return environment_.Now() - last_message_at_; }

  void ConfirmRead(std::function<void(absl::Status)> done) override {
    if (sources_.empty()) return done(absl::UnavailableError("no other control node is known"));
    reads_.Request(std::move(done));
  }

  void AbortReads() override { reads_.AbortAll(); }

  size_t PendingReads() const override { return reads_.pending(); }

  std::optional<NodeId> Leader() const override {
    return leader_ == NodeId() ? std::nullopt : std::optional(leader_);
  }

  void OnIsolationChange(std::function<void(bool)> callback) override {
    on_isolation_change_ = std::move(callback);
  }

  void OnChange(ChangeListener callback) override { listeners_.push_back(std::move(callback)); }

  void Report(EngineObservation observation) override {
    const EngineName engine = observation.engine;
    unsent_.insert(engine);
    observations_[engine] = std::move(observation);
    const bool started = timer_.armed();
    if (started && next_heartbeat_ - environment_.Now() > kObservationDelay)
      ScheduleHeartbeat(kObservationDelay);
  }

  void SetLeaving() override {
    if (self_.state == MemberState::kLeaving) return;
    self_.state = MemberState::kLeaving;
    if (!sources_.empty()) SendRegularHeartbeat();
  }

  void Receive(const NodeId& from, const PeerMessage& message) override {
    if (message.kind == MessageKind::kHeartbeat) AnswerPeer(from, message.payload);
    if (message.kind == MessageKind::kHeartbeatReply) ReceiveReply(from, message.payload);
    if (message.kind == MessageKind::kConfigurationPush) ReceivePush(from, message.payload);
  }

 private:
  void SendRegularHeartbeat() {
    LogLeaseChange();
    UpdateIsolation();
    LogUnconfirmed();
    SendHeartbeat(sources_.current().node, CollectObservations(), HeartbeatTarget::kSource);
    ProbeOwnZoneIfDue();
    const double jitter = 1 + kHeartbeatJitter * (2 * DrawUnit(environment_.Random()) - 1);
    ScheduleHeartbeat(FromSeconds(ToSeconds(timing_.heartbeat) * jitter));
  }

  /// Sends heartbeats to the control node in use and to another one, without waiting for the first.
  void RequestConfirmation() {
    SendRegularHeartbeat();
    Search();
  }

  void ScheduleHeartbeat(Duration delay) {
    next_heartbeat_ = environment_.Now() + delay;
    timer_.Arm(delay, [this] { SendRegularHeartbeat(); });
  }

  /// The control node in use is unresponsive: sends a request to another one, and continues until
  /// one confirms.
  void Search() {
    if (search_requests_ == 0) {
      // Ignores redirects for a while, so that an unresponsive target is not chosen again at once.
      if (sources_.current().node == redirect_target_)
        no_redirect_until_ = environment_.Now() + kNoRedirectPeriod;
      LogEvent(EventId::kConfigurationSourceLost,
               "node={} source={} silent_ms={} revision={} proof_ms={}", self_.node,
               sources_.current().node, ToMilliseconds(environment_.Now() - source_replied_at_),
               configuration_.revision, ConfirmationAgeMilliseconds());
    }
    const ControlEndpoint& next =
        search_requests_ == 0 ? sources_.FirstCandidate() : sources_.NextCandidate();
    ++search_requests_;
    last_requested_ = next.node;
    SendHeartbeat(next.node, {}, HeartbeatTarget::kOtherControlNode);
    if (search_requests_ > kRequestsBeforePeers) RequestFromPeer();
    search_timer_.Arm(SearchInterval(), [this] { Search(); });
  }

  /// Gateways use other connections than those to the control nodes, and may be reached although
  /// no control node is.
  void RequestFromPeer() {
    if (relay_) return;
    const NodeRecord* peer =
        ChooseConfirmingPeer(configuration_, self_.node, environment_.Random());
    if (peer == nullptr) return;
    transport_.SetAddress(peer->node, peer->address);
    SendHeartbeat(peer->node, {}, HeartbeatTarget::kPeer);
  }

  void AnswerPeer(const NodeId& from, const std::string& payload) {
    // The control node of this process replies itself.
    if (self_.control) return;
    const auto heartbeat = DecodeHeartbeat(payload);
    if (!heartbeat.ok() || heartbeat->nonce == 0) return;
    const auto age = LeaseValid() ? ConfirmationAge() : std::nullopt;
    const NodeHeartbeatReply reply = ConfirmToPeer(*heartbeat, configuration_, age);
    transport_.Send(from, {MessageKind::kHeartbeatReply, EncodeHeartbeatReply(reply)});
  }

  /// Doubles with each round over the control nodes, so that a fleet without a quorum does not keep
  /// polling all of them.
  Duration SearchInterval() const {
    const size_t sent = std::min(sources_.size(), kMaxRequestsPerRound);
    const size_t rounds = std::min<size_t>(search_requests_ / sent, kMaxDoublings);
    return std::min(kSearchInterval * (1 << rounds), std::max(timing_.heartbeat, kSearchInterval));
  }

  /// The control node in use stays in use unless the other one confirms, so that an unresponsive
  /// zone does not cost the node its lease.
  void ProbeOwnZoneIfDue() {
    const TimePoint now = environment_.Now();
    if (!sources_.InForeignZone()) {
      next_own_zone_probe_ = now + kOwnZoneProbeInterval;
    } else if (now >= next_own_zone_probe_) {
      next_own_zone_probe_ = now + kOwnZoneProbeInterval;
      SendHeartbeat(sources_.NextOfOwnZone().node, {}, HeartbeatTarget::kOtherControlNode);
    }
  }

  /// Switches to the control node `source`, which must be known.
  void UseSource(const NodeId& source) {
    LogEvent(EventId::kConfigurationSourceChosen, "node={} source={} before={} asked={}",
             self_.node, source, sources_.current().node, search_requests_);
    sources_.Choose(source);
    // Reports to the previous control node may be lost.
    for (const auto& [engine, observation] : observations_) unsent_.insert(engine);
    // The control node pushes changes once it has received a heartbeat.
    ScheduleHeartbeat(Duration(0));
  }

  /// A control node confirmed the configuration.
  void OnSourceReplied(const NodeId& from) {
    const bool returns = sources_.InForeignZone() && sources_.IsInOwnZone(from);
    if (from != sources_.current().node && (search_requests_ > 0 || returns)) {
      UseSource(from);
    }
    search_requests_ = 0;
    source_replied_at_ = environment_.Now();
    search_timer_.Arm(timing_.source_timeout, [this] { Search(); });
  }

  /// For logs; -1 before the first confirmation.
  int64_t ConfirmationAgeMilliseconds() const {
    const auto age = ConfirmationAge();
    return age ? ToMilliseconds(*age) : -1;
  }

  /// Logs that the lease expired, or is valid again.
  void LogLeaseChange() {
    if (LeaseValid() == logged_lease_valid_) return;
    logged_lease_valid_ = !logged_lease_valid_;
    counts_ = {};
    counts_logged_at_ = environment_.Now();
    LogEvent(logged_lease_valid_ ? EventId::kConfigurationProven : EventId::kConfigurationUnproven,
             "node={} source={} revision={} proof_ms={}", self_.node, sources_.current().node,
             configuration_.revision, ConfirmationAgeMilliseconds());
  }

  void UpdateIsolation() {
    if (IsIsolated() == reported_isolated_) return;
    reported_isolated_ = !reported_isolated_;
    LogEvent(reported_isolated_ ? EventId::kControlNodesSilent : EventId::kControlNodesHeard,
             "node={} silent_ms={} control_nodes={} revision={} proof_ms={}", self_.node,
             ToMilliseconds(ControlSilence()), sources_.size(), configuration_.revision,
             ConfirmationAgeMilliseconds());
    if (on_isolation_change_) on_isolation_change_(reported_isolated_);
  }

  /// Logs the outcomes of heartbeats at intervals while the lease is expired.
  void LogUnconfirmed() {
    const TimePoint now = environment_.Now();
    if (logged_lease_valid_ || now - counts_logged_at_ < kUnconfirmedLogInterval) return;
    LogEvent(
        EventId::kConfigurationStillUnproven,
        "node={} incarnation={} source={} revision={} proof_ms={} asked={} answered={} late={} "
        "refused={} refusal={} unreadable={} unfit={} pushes={}",
        self_.node, self_.incarnation, sources_.current().node, configuration_.revision,
        ConfirmationAgeMilliseconds(), counts_.sent, counts_.confirmed, counts_.too_late,
        counts_.refused, static_cast<int>(counts_.refusal), counts_.unreadable,
        counts_.inapplicable, counts_.pushes);
    counts_ = {};
    counts_logged_at_ = now;
  }

  void SendHeartbeat(const NodeId& to, std::vector<ReportedObservation> observations,
                     HeartbeatTarget target) {
    const TimePoint now = environment_.Now();
    ++counts_.sent;
    NodeHeartbeat heartbeat;
    heartbeat.nonce = environment_.Random()() | 1;
    heartbeat.sender.record = self_;
    heartbeat.sender.applied = configuration_.revision;
    heartbeat.sender.feature_level = faults_.no_feature_level ? kFirstLevel : kOwnLevel;
    heartbeat.sender.relays = relay_.has_value();
    if (relay_) heartbeat.sender.replica = *relay_;
    heartbeat.confirmation_only = target != HeartbeatTarget::kSource;
    heartbeat.redirect = !heartbeat.confirmation_only && now >= no_redirect_until_;
    heartbeat.observations = std::move(observations);
    std::erase_if(unanswered_,
                  [&](const auto& entry) { return now - entry.second.at > timing_.lease; });
    unanswered_[heartbeat.nonce] = {to, now, target};
    gate_.OnHeartbeatSent();
    transport_.Send(to, {MessageKind::kHeartbeat, EncodeHeartbeat(heartbeat)});
  }

  std::vector<ReportedObservation> CollectObservations() {
    std::vector<ReportedObservation> collected;
    const bool all = heartbeats_sent_++ % kHeartbeatsPerFullReport == 0;
    for (auto it = observations_.begin(); it != observations_.end();) {
      const bool configured =
          configuration_.resources.contains({ResourceKind::kEngine, it->first.value()});
      if (!configured && !unsent_.contains(it->first)) {
        it = observations_.erase(it);
        continue;
      }
      if (all || unsent_.contains(it->first)) collected.push_back({NodeId(), it->second});
      ++it;
    }
    unsent_.clear();
    return collected;
  }

  void ReceiveReply(const NodeId& from, const std::string& payload) {
    const auto reply = DecodeHeartbeatReply(payload);
    if (!reply.ok()) {
      ++counts_.unreadable;
      return;
    }
    // Does not count as hearing from a control node: the way back may be cut.
    if (reply->nonce == kInvitationNonce) return OnInvited(reply->use);
    const std::optional<SentHeartbeat> sent = FindUnanswered(reply->nonce);
    if (!sent || !sent->to_peer()) last_message_at_ = environment_.Now();
    if (reply->refusal == HeartbeatRefusal::kUseAnother) return FollowRedirect(from, reply->use);
    if (reply->refusal != HeartbeatRefusal::kNone) return OnRefused(from, reply->refusal);
    if (reply->leader != NodeId()) UpdateLeader(reply->leader);
    absl::StatusOr<ConfigurationDelta> changes = absl::NotFoundError("nothing changed");
    if (!reply->delta.empty()) changes = DecodeDelta(reply->delta);
    if (!reply->delta.empty() && !changes.ok()) ++counts_.unreadable;
    // Applies changes even if the confirmation expired; otherwise they would be sent again with
    // each heartbeat, to a node that is slow already.
    const bool changed = changes.ok() && ApplyChanges(*changes);
    const auto confirmed_at = HandleConfirmation(*reply, sent);
    if (changed) NotifyListeners(*changes);
    // Callers of a read forward what the listeners recorded, so the listeners run first; otherwise
    // a new revision would be forwarded without its changes.
    if (confirmed_at && relay_) reads_.OnConfirmed(*confirmed_at);
    // After the listeners, because waiting work reads state that they update.
    if (confirmed_at && LeaseValid()) gate_.OnConfirmed();
  }

  std::optional<SentHeartbeat> FindUnanswered(uint64_t nonce) const {
    const auto found = unanswered_.find(nonce);
    return found == unanswered_.end() ? std::nullopt : std::optional(found->second);
  }

  /// From when on the reply to `sent` confirms the configuration held; nullopt if it does not, or
  /// if the heartbeat has expired.
  std::optional<TimePoint> HandleConfirmation(const NodeHeartbeatReply& reply,
                                              const std::optional<SentHeartbeat>& sent) {
    if (!sent) {
      ++counts_.too_late;
      return std::nullopt;
    }
    ++counts_.confirmed;
    unanswered_.erase(reply.nonce);
    if (configuration_.revision < reply.confirmed) {
      if (!sent->to_peer()) OnBehind(sent->to);
      return std::nullopt;
    }
    confirmed_by_ = sent->to;
    if (!sent->to_peer()) OnSourceReplied(sent->to);
    const TimePoint confirmed_at = sent->at - reply.confirmation_age;
    ExtendLease(confirmed_at);
    return confirmed_at;
  }

  /// A control node contacted during a search has a newer configuration: switches to it, so that
  /// only this one sends the missing changes.
  void OnBehind(const NodeId& from) {
    if (search_requests_ == 0 || from == sources_.current().node) return;
    UseSource(from);
    search_requests_ = 0;
    search_timer_.Arm(timing_.source_timeout, [this] { Search(); });
  }

  /// A relay sends requests to replicas only, and few control nodes have one: those named in its
  /// settings, redirect targets, and the leader.
  void UpdateLeader(const NodeId& leader) {
    if (std::exchange(leader_, leader) == leader || !relay_) return;
    const auto record = configuration_.nodes.find(leader);
    if (record == configuration_.nodes.end()) return;
    AddSource({leader, record->second.address, record->second.zone});
  }

  void AddSource(const ControlEndpoint& source) {
    transport_.SetAddress(source.node, source.address);
    std::vector<ControlEndpoint> known = sources_.all();
    std::erase_if(known, [&](const ControlEndpoint& each) { return each.node == source.node; });
    known.push_back(source);
    sources_.Update(known, environment_.Random());
  }

  /// The control node has too many nodes attached, or is of another zone.
  void FollowRedirect(const NodeId& from, const ControlEndpoint& other) {
    if (from != sources_.current().node || other.node == from) return;
    AddSource(other);
    UseSource(other.node);
    redirect_target_ = other.node;
    // Two control nodes with different configurations could redirect a node back and forth.
    no_redirect_until_ = environment_.Now() + kMinRedirectInterval;
    search_timer_.Arm(timing_.source_timeout, [this] { Search(); });
  }

  /// The leader hears nothing of this node. If that is because the node found no control node that
  /// confirms, the leader is contacted like any other during a search.
  void OnInvited(const ControlEndpoint& leader) {
    if (LeaseValid() || search_requests_ == 0 || leader.node == self_.node) return;
    LogEvent(EventId::kInvitationReceived, "node={} leader={}", self_.node, leader.node);
    AddSource(leader);
    SendHeartbeat(leader.node, {}, HeartbeatTarget::kOtherControlNode);
  }

  /// The heartbeat stays open, since a confirmation may still follow.
  void OnRefused(const NodeId& from, HeartbeatRefusal refusal) {
    ++counts_.refused;
    counts_.refusal = refusal;
    // Without a quorum, other control nodes mostly have none either, so a search would only add
    // load during an election. Nor does it help to search without pauses while no control node has
    // a replica yet.
    if (refusal != HeartbeatRefusal::kNoReplica) return;
    const bool first_round = search_requests_ < sources_.size();
    const bool was_last_requested = search_requests_ > 0 && from == last_requested_;
    const bool in_use = search_requests_ == 0 && from == sources_.current().node;
    if (first_round && (was_last_requested || in_use)) Search();
  }

  void ReceivePush(const NodeId&, const std::string& payload) {
    last_message_at_ = environment_.Now();
    const auto delta = DecodeConfigurationPush(payload);
    ++counts_.pushes;
    if (!delta.ok()) ++counts_.unreadable;
    if (delta.ok() && ApplyChanges(*delta)) NotifyListeners(*delta);
  }

  /// Returns whether the configuration changed.
  bool ApplyChanges(const ConfigurationDelta& delta) {
    const Revision before = configuration_.revision;
    if (faults_.smaller_revision_accepted && delta.to < before) {
      configuration_.revision = delta.from;
    }
    const bool applied = ApplyDelta(configuration_, delta);
    if (!applied) ++counts_.inapplicable;
    return applied && configuration_.revision != before;
  }

  void ExtendLease(TimePoint sent_at) {
    const TimePoint until = sent_at + timing_.lease;
    if (leased_ && until <= lease_until_) return;
    if (!LeaseValid()) confirmed_since_ = environment_.Now();
    leased_ = true;
    lease_until_ = until;
    LogLeaseChange();
    UpdateIsolation();
  }

  /// Adds control nodes that joined later; those that are gone move to the end of the order.
  void UpdateSources() {
    std::vector<ControlEndpoint> known;
    for (const auto& [node, record] : configuration_.nodes) {
      if (!record.control || record.state == MemberState::kGone) continue;
      known.push_back({node, record.address, record.zone});
    }
    if (known.empty() || !sources_.Update(known, environment_.Random())) return;
    for (const ControlEndpoint& endpoint : known) {
      transport_.SetAddress(endpoint.node, endpoint.address);
    }
  }

  void NotifyListeners(const ConfigurationDelta& changes) {
    if (TouchesNodes(changes) && !relay_) UpdateSources();
    // A listener may destroy this client.
    const auto listeners = listeners_;
    for (const auto& listener : listeners) listener(changes);
  }

  Environment& environment_;
  PeerTransport& transport_;
  NodeRecord self_;
  const RelayIdentity relay_;
  ControlEndpoints sources_;
  const ConfigurationTiming timing_;
  const ClusterFaults faults_;

  Configuration configuration_;
  std::vector<ChangeListener> listeners_;
  bool leased_ = false;
  TimePoint lease_until_;
  /// The control node that confirmed the configuration last.
  NodeId confirmed_by_;
  /// When the lease last became valid.
  TimePoint confirmed_since_;
  /// The state of the lease as last logged.
  bool logged_lease_valid_ = false;
  /// Since the lease expired, or since the last log line about it.
  HeartbeatCounts counts_;
  TimePoint counts_logged_at_;
  /// When a control node last confirmed the configuration.
  TimePoint source_replied_at_;
  /// Control nodes contacted in the current search; 0 if the one in use responds.
  size_t search_requests_ = 0;
  /// During a search.
  NodeId last_requested_;
  /// When a message was last received from any control node.
  TimePoint last_message_at_;
  bool reported_isolated_ = false;
  std::function<void(bool)> on_isolation_change_;
  TimePoint next_own_zone_probe_;
  /// By nonce.
  std::map<uint64_t, SentHeartbeat> unanswered_;
  int heartbeats_sent_ = 0;
  TimePoint next_heartbeat_;
  std::map<EngineName, EngineObservation> observations_;
  std::set<EngineName> unsent_;
  /// According to the replies.
  NodeId leader_;
  /// Target of the last redirect.
  NodeId redirect_target_;
  TimePoint no_redirect_until_;
  /// Send the regular heartbeat early.
  ConfirmedReads reads_;
  FreshnessGate gate_;
  ScopedTimer timer_;
  ScopedTimer search_timer_;
};

}  // namespace

std::unique_ptr<ConfigurationClient> MakeConfigurationClient(
    Environment& environment, PeerTransport& transport, NodeRecord self,
    std::vector<ControlEndpoint> control_nodes, ConfigurationTiming timing, ClusterFaults faults) {
  return std::make_unique<HeartbeatingConfigurationClient>(environment, transport, std::move(self),
                                                           std::nullopt, std::move(control_nodes),
                                                           timing, faults);
}

std::unique_ptr<RelayedConfigurationClient> MakeRelayedConfigurationClient(
    Environment& environment, PeerTransport& transport, NodeRecord self, ReplicaId replica,
    std::vector<ControlEndpoint> control_nodes, ConfigurationTiming timing, ClusterFaults faults) {
  return std::make_unique<HeartbeatingConfigurationClient>(
      environment, transport, std::move(self), replica, std::move(control_nodes), timing, faults);
}

}  // namespace millstair
