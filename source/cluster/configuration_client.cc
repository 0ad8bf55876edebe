#include "cluster/configuration_client.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include "cluster/control_endpoints.h"
#include "cluster/control_messages.h"
#include "cluster/freshness_gate.h"
#include "common/event_log.h"
#include "common/random.h"
#include "common/scoped_timer.h"

namespace millstair {
namespace {

/// All observations are sent again with each n-th heartbeat, in case a control node lost them.
constexpr int kHeartbeatsPerFullReport = 5;
/// How often a node that uses a control node of another zone asks one of its own zone beside it.
/// One more heartbeat (some 100 bytes) each time.
constexpr Duration kOwnZoneProbeInterval = std::chrono::seconds(10);
constexpr double kHeartbeatJitter = 0.1;
/// A node that runs sends a heartbeat within so many of their intervals.
constexpr int kHeartbeatsUntilPaused = 2;
/// Between two control nodes that are sent while none answers. They are not waited for one by one:
/// one that is cut off or has no power says nothing, a connection to it hangs for a second, and
/// several of a zone fall silent together. With a time-out of 0.9 s for each, three in a row left a
/// gateway of 13 control nodes without a proof for 5 to 7 s. An answer takes some ten milliseconds,
/// a whole configuration a few tens. All of 13 are sent within 1.8 s.
constexpr Duration kSearchInterval = std::chrono::milliseconds(150);
/// An observation that changed is sent at most this much later, together with others by then.
constexpr Duration kObservationDelay = std::chrono::milliseconds(150);

/// Cut off: silent for this many leases. On the platform (1.75 s) that is 3.5 s, in which a search
/// asks 13 control nodes twice; a kill of all of them with their restart stays below it.
constexpr int kLeasesUntilIsolated = 2;
/// A node without a proof says this often what it sent and what came back.
constexpr Duration kUnconfirmedLogInterval = std::chrono::seconds(5);

/// Control nodes that are sent before the pauses of a search are doubled: where so many do not
/// answer it is not their fault.
constexpr size_t kMaxRequestsPerRound = 13;
/// The pauses of a search are not doubled more often than this; no heartbeat is that far apart.
constexpr size_t kMaxDoublings = 8;

/// Reads of so short a time share one heartbeat.
constexpr Duration kReadBatchDelay = std::chrono::milliseconds(2);
/// A read that no replica confirmed by then is given up; those that wait for it have turned to
/// another control node by then.
constexpr Duration kReadTimeout = std::chrono::seconds(1);
/// After a control node that was named did not answer, the node stays with whoever does for this
/// long: by then one that is gone is not named any more.
constexpr Duration kNoRedirectPeriod = std::chrono::seconds(5);

/// A node follows the word of a control node that names another one this often at most.
constexpr Duration kMinRedirectInterval = std::chrono::seconds(1);

/// A read that waits for a proof.
struct PendingRead {
  TimePoint requested_at;
  std::function<void(absl::Status)> done;
};

struct SentHeartbeat {
  NodeId to;
  TimePoint at;
};

/// What came of a node's heartbeats, for its log.
struct HeartbeatCounts {
  int sent = 0;
  /// Answered in time with a proof or with changes that lead to it.
  int confirmed = 0;
  /// Answered after the heartbeat was given up.
  int too_late = 0;
  /// Answered without a proof, and why the last time.
  int refused = 0;
  HeartbeatRefusal refusal = HeartbeatRefusal::kNone;
  /// Replies and pushes that can't be read.
  int unreadable = 0;
  /// Changes that start after the revision in_configuration, or lead back.
  int inapplicable = 0;
  int pushes = 0;
};

int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Identity of a control node that has no replica; none for other nodes.
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
        gate_(
            environment, {timing.reply_timeout, kHeartbeatsUntilPaused * timing.heartbeat},
            [this] { return LeaseValid(); }, [this] { RequestConfirmation(); }),
        timer_(environment),
        search_timer_(environment),
        read_timer_(environment) {}

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
    // Where nothing is in_configuration there is nothing that could be behind, and nobody to ask
    // without control nodes.
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

  bool IsIsolated() const override {
    return !LeaseValid() &&
           environment_.Now() - last_message_at_ > kLeasesUntilIsolated * timing_.lease;
  }

  void ConfirmRead(std::function<void(absl::Status)> done) override {
    reads_.push_back({environment_.Now(), std::move(done)});
    if (!read_timer_.armed()) read_timer_.Arm(kReadBatchDelay, [this] { SendReadHeartbeat(); });
  }

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
    if (message.kind == MessageKind::kHeartbeatReply) ReceiveReply(from, message.payload);
    if (message.kind == MessageKind::kConfigurationPush) ReceivePush(from, message.payload);
  }

 private:
  void SendReadHeartbeat() {
    SendHeartbeat(sources_.current().node, {}, false);
    read_timer_.Arm(kReadTimeout, [this] { FailExpiredReads(); });
  }

  /// Those that were sent for before `confirmed_at` are confirmed.
  void CompleteReads(TimePoint confirmed_at) {
    for (const PendingRead& read : TakeReads(confirmed_at)) read.done(absl::OkStatus());
  }

  void FailExpiredReads() {
    const std::vector<PendingRead> failed = TakeReads(environment_.Now() - kReadTimeout);
    if (!reads_.empty()) read_timer_.Arm(kReadTimeout, [this] { FailExpiredReads(); });
    for (const PendingRead& read : failed) {
      read.done(absl::UnavailableError("no replica confirmed the read in time"));
    }
  }

  /// Those that were sent for until then, in their order; they wait no more.
  std::vector<PendingRead> TakeReads(TimePoint until) {
    const auto first_later =
        std::find_if(reads_.begin(), reads_.end(),
                     [&](const PendingRead& read) { return read.requested_at > until; });
    std::vector<PendingRead> collected(std::make_move_iterator(reads_.begin()),
                                       std::make_move_iterator(first_later));
    reads_.erase(reads_.begin(), first_later);
    return collected;
  }

  void SendRegularHeartbeat() {
    LogLeaseChange();
    UpdateIsolation();
    LogUnconfirmed();
    SendHeartbeat(sources_.current().node, CollectObservations(), false);
    ProbeOwnZoneIfDue();
    const double jitter = 1 + kHeartbeatJitter * (2 * DrawUnit(environment_.Random()) - 1);
    ScheduleHeartbeat(FromSeconds(ToSeconds(timing_.heartbeat) * jitter));
  }

  /// The control node in use and another one, without waiting for the first.
  void RequestConfirmation() {
    SendRegularHeartbeat();
    Search();
  }

  void ScheduleHeartbeat(Duration delay) {
    next_heartbeat_ = environment_.Now() + delay;
    timer_.Arm(delay, [this] { SendRegularHeartbeat(); });
  }

  /// The control node in use is silent: asks another one too, and goes on until one answers.
  void Search() {
    if (search_requests_ == 0) {
      // One that was named and does not answer is not to be named again at once.
      if (sources_.current().node == redirect_target_)
        no_redirect_until_ = environment_.Now() + kNoRedirectPeriod;
      LogEvent(EventId::kConfigurationSourceLost,
               "node={} source={} silent_ms={} revision={} proof_ms={}", self_.node,
               sources_.current().node, Milliseconds(environment_.Now() - source_replied_at_),
               configuration_.revision, ConfirmationAgeMilliseconds());
    }
    const ControlEndpoint& next =
        search_requests_ == 0 ? sources_.FirstCandidate() : sources_.NextCandidate();
    ++search_requests_;
    last_requested_ = next.node;
    SendHeartbeat(next.node, {}, true);
    search_timer_.Arm(SearchInterval(), [this] { Search(); });
  }

  /// Doubles with each round of so many control nodes: while there is no majority nobody answers,
  /// and a whole fleet would go on asking all of them.
  Duration SearchInterval() const {
    const size_t sent = std::min(sources_.size(), kMaxRequestsPerRound);
    const size_t rounds = std::min<size_t>(search_requests_ / sent, kMaxDoublings);
    return std::min(kSearchInterval * (1 << rounds), std::max(timing_.heartbeat, kSearchInterval));
  }

  /// Beside the control node in use, which stays in use unless the other one answers: giving it up
  /// for a zone that is silent took the node its proof for seconds.
  void ProbeOwnZoneIfDue() {
    const TimePoint now = environment_.Now();
    if (!sources_.InForeignZone()) {
      next_own_zone_probe_ = now + kOwnZoneProbeInterval;
    } else if (now >= next_own_zone_probe_) {
      next_own_zone_probe_ = now + kOwnZoneProbeInterval;
      SendHeartbeat(sources_.NextOfOwnZone().node, {}, true);
    }
  }

  /// Uses the control node `source`, which is known, in position of the present one.
  void UseSource(const NodeId& source) {
    LogEvent(EventId::kConfigurationSourceChosen, "node={} source={} before={} asked={}",
             self_.node, source, sources_.current().node, search_requests_);
    sources_.Choose(source);
    // What was reported to the one before may be lost.
    for (const auto& [engine, observation] : observations_) unsent_.insert(engine);
    // From the next heartbeat on it pushes changes.
    ScheduleHeartbeat(Duration(0));
  }

  /// A control node has proven the configuration.
  void OnSourceReplied(const NodeId& from) {
    const bool returns = sources_.InForeignZone() && sources_.IsInOwnZone(from);
    if (from != sources_.current().node && (search_requests_ > 0 || returns)) {
      UseSource(from);
    }
    search_requests_ = 0;
    source_replied_at_ = environment_.Now();
    search_timer_.Arm(timing_.source_timeout, [this] { Search(); });
  }

  /// For logs; -1 before the first proof.
  int64_t ConfirmationAgeMilliseconds() const {
    const auto age = ConfirmationAge();
    return age ? Milliseconds(*age) : -1;
  }

  /// Logs that the lease is over, or valid again.
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
             Milliseconds(environment_.Now() - last_message_at_), sources_.size(),
             configuration_.revision, ConfirmationAgeMilliseconds());
    if (on_isolation_change_) on_isolation_change_(reported_isolated_);
  }

  /// Logs once in a while what came of the heartbeats since the lease was over.
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

  /// `confirmation_only`: `to` is not the control node in use. Each one that is sent in a search
  /// would otherwise push every change for seconds: 160 pushes in position of 80 for 10 changes to
  /// 8 gateways after a change of leader, and the more the slower the control nodes are already.
  void SendHeartbeat(const NodeId& to, std::vector<ReportedObservation> observations,
                     bool confirmation_only) {
    const TimePoint now = environment_.Now();
    ++counts_.sent;
    NodeHeartbeat heartbeat;
    heartbeat.nonce = environment_.Random()() | 1;
    heartbeat.sender.record = self_;
    heartbeat.sender.applied = configuration_.revision;
    heartbeat.sender.feature_level = faults_.no_feature_level ? kFirstLevel : kOwnLevel;
    heartbeat.sender.relays = relay_.has_value();
    if (relay_) heartbeat.sender.replica = *relay_;
    heartbeat.confirmation_only = confirmation_only;
    heartbeat.redirect = !confirmation_only && now >= no_redirect_until_;
    heartbeat.observations = std::move(observations);
    std::erase_if(unanswered_,
                  [&](const auto& entry) { return now - entry.second.at > timing_.lease; });
    unanswered_[heartbeat.nonce] = {to, now};
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
    last_message_at_ = environment_.Now();
    if (reply->refusal == HeartbeatRefusal::kUseAnother) return FollowRedirect(from, reply->use);
    if (reply->refusal != HeartbeatRefusal::kNone) return OnRefused(from, reply->refusal);
    if (reply->leader != NodeId()) UpdateLeader(reply->leader);
    absl::StatusOr<ConfigurationDelta> changes = absl::NotFoundError("nothing changed");
    if (!reply->delta.empty()) changes = DecodeDelta(reply->delta);
    if (!reply->delta.empty() && !changes.ok()) ++counts_.unreadable;
    // Changes hold whenever they come. Dropped with a proof that came too too_late, they would be
    // sent whole again with each further heartbeat, to a node that is slow already.
    const bool changed = changes.ok() && ApplyChanges(*changes);
    const auto confirmed_at = HandleConfirmation(*reply);
    if (changed) NotifyListeners(*changes);
    // Those who wait for the read hand on what the listeners have noted: told before them, they
    // would hand on a new revision without its changes.
    if (confirmed_at && relay_) CompleteReads(*confirmed_at);
    // After the listeners for the same reason: who waits would go by what was replaced.
    if (confirmed_at && LeaseValid()) gate_.OnConfirmed();
  }

  /// When the heartbeat was sent by which the configuration in_configuration is proven; none if it
  /// is not.
  std::optional<TimePoint> HandleConfirmation(const NodeHeartbeatReply& reply) {
    const auto found = unanswered_.find(reply.nonce);
    if (found == unanswered_.end()) {
      ++counts_.too_late;
      return std::nullopt;
    }
    ++counts_.confirmed;
    const SentHeartbeat sent = found->second;
    unanswered_.erase(found);
    if (configuration_.revision < reply.confirmed) {
      OnBehind(sent.to);
      return std::nullopt;
    }
    OnSourceReplied(sent.to);
    ExtendLease(sent.at);
    return sent.at;
  }

  /// A control node that was sent in a search can prove what is not in_configuration here: it is
  /// used from now on, and tells what is missing. All that are sent in a search would each tell all
  /// of it.
  void OnBehind(const NodeId& from) {
    if (search_requests_ == 0 || from == sources_.current().node) return;
    UseSource(from);
    search_requests_ = 0;
    search_timer_.Arm(timing_.source_timeout, [this] { Search(); });
  }

  /// A relay asks replicas alone, and few control nodes have one: those that its settings name,
  /// that it was told to use, and the leader.
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

  /// The control node sent has too many nodes, or is not of this one's zone.
  void FollowRedirect(const NodeId& from, const ControlEndpoint& other) {
    if (from != sources_.current().node || other.node == from) return;
    AddSource(other);
    UseSource(other.node);
    redirect_target_ = other.node;
    // Two that hold different configurations could send a node to and fro.
    no_redirect_until_ = environment_.Now() + kMinRedirectInterval;
    search_timer_.Arm(timing_.source_timeout, [this] { Search(); });
  }

  /// The proof may still follow, so the heartbeat stays open.
  void OnRefused(const NodeId& from, HeartbeatRefusal refusal) {
    ++counts_.refused;
    counts_.refusal = refusal;
    // Without a quorum the others mostly have none either: to ask them at once, from all gateways,
    // would load the control nodes in the middle of their election. Nor does it help to ask round
    // after round without pauses where no control node has a replica yet.
    if (refusal != HeartbeatRefusal::kNoReplica) return;
    const bool first_round = search_requests_ < sources_.size();
    const bool asked_last = search_requests_ > 0 && from == last_requested_;
    const bool in_use = search_requests_ == 0 && from == sources_.current().node;
    if (first_round && (asked_last || in_use)) Search();
  }

  void ReceivePush(const NodeId&, const std::string& payload) {
    last_message_at_ = environment_.Now();
    const auto delta = DecodeConfigurationPush(payload);
    ++counts_.pushes;
    if (!delta.ok()) ++counts_.unreadable;
    if (delta.ok() && ApplyChanges(*delta)) NotifyListeners(*delta);
  }

  /// Whether the configuration changed.
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

  /// Control nodes that joined later are sources too; those that are gone are sent last.
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
  /// When the lease last became valid.
  TimePoint confirmed_since_;
  /// What the log last said of the lease.
  bool logged_lease_valid_ = false;
  /// Since the lease was last noted over, or the last line about it.
  HeartbeatCounts counts_;
  TimePoint counts_logged_at_;
  /// When a control node last proved the configuration.
  TimePoint source_replied_at_;
  /// Control nodes sent since the one in use is silent; 0 while it is not.
  size_t search_requests_ = 0;
  /// In the search.
  NodeId last_requested_;
  /// When a control node last said anything.
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
  /// By the replies.
  NodeId leader_;
  /// The control node that another one has named last.
  NodeId redirect_target_;
  TimePoint no_redirect_until_;
  /// In the order in which they were sent for.
  std::vector<PendingRead> reads_;
  FreshnessGate gate_;
  ScopedTimer timer_;
  ScopedTimer search_timer_;
  ScopedTimer read_timer_;
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
