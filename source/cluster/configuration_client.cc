#include "cluster/configuration_client.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "cluster/control_endpoints.h"
#include "cluster/control_messages.h"
#include "common/event_log.h"
#include "common/random.h"
#include "common/scoped_timer.h"

namespace millstair {
namespace {

/// All observations are sent again with each n-th heartbeat, in case a control node lost them.
constexpr int kHeartbeatsPerFullReport = 5;
/// How often a node that is attached to another zone tries its own again.
constexpr Duration kReturnToOwnZone = std::chrono::seconds(30);
constexpr double kHeartbeatJitter = 0.1;
/// Until a node is first proven fresh it takes no work. It asks its control nodes in turn, each
/// after this time: one that has no power yet says nothing, and a connection to it hangs for a
/// second. A round trip takes some ten milliseconds, a whole configuration a few tens.
constexpr Duration kFirstInterval = std::chrono::milliseconds(150);
/// Less than the interval at its shortest, so that each beat goes to another control node.
constexpr Duration kFirstPatience = std::chrono::milliseconds(100);
/// An observation that changed is sent at most this much later, together with others by then.
constexpr Duration kReportDelay = std::chrono::milliseconds(150);

int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

class HeartbeatingConfigurationClient : public ConfigurationClient {
 public:
  HeartbeatingConfigurationClient(Environment& environment, PeerTransport& transport,
                                  NodeRecord self, std::vector<ControlEndpoint> control_nodes,
                                  ConfigurationTiming timing, ClusterFaults faults)
      : environment_(environment),
        transport_(transport),
        self_(std::move(self)),
        sources_(std::move(control_nodes), self_.zone, environment.Random()),
        timing_(timing),
        faults_(faults),
        timer_(environment) {}

  void Start() override {
    if (sources_.empty()) return;
    for (const ControlEndpoint& endpoint : sources_.all()) {
      transport_.SetAddress(endpoint.node, endpoint.address);
    }
    source_since_ = environment_.Now();
    return_at_ = source_since_ + kReturnToOwnZone;
    Beat();
  }

  const Configuration& configuration() const override { return configuration_; }

  bool LeaseValid() const override { return leased_ && environment_.Now() < lease_until_; }

  std::optional<Duration> ProofAge() const override {
    if (!leased_) return std::nullopt;
    return environment_.Now() - (lease_until_ - timing_.lease);
  }

  void OnChange(std::function<void()> callback) override {
    listeners_.push_back(std::move(callback));
  }

  void Report(EngineObservation observation) override {
    const EngineName engine = observation.engine;
    unsent_.insert(engine);
    observations_[engine] = std::move(observation);
    const bool beats = timer_.armed();
    if (beats && next_beat_ - environment_.Now() > kReportDelay) BeatAfter(kReportDelay);
  }

  void SetLeaving() override {
    if (self_.state == MemberState::kLeaving) return;
    self_.state = MemberState::kLeaving;
    if (!sources_.empty()) Beat();
  }

  void Receive(const NodeId& from, const PeerMessage& message) override {
    if (message.kind == MessageKind::kHeartbeatReply) ReceiveReply(message.payload);
    if (message.kind == MessageKind::kConfigurationPush) ReceivePush(from, message.payload);
  }

 private:
  void Beat() {
    NoteLease();
    MoveIfUnanswered();
    SendHeartbeat();
    const double jitter = 1 + kHeartbeatJitter * (2 * DrawUnit(environment_.Random()) - 1);
    const Duration interval =
        leased_ ? timing_.heartbeat : std::min(timing_.heartbeat, kFirstInterval);
    BeatAfter(FromSeconds(ToSeconds(interval) * jitter));
  }

  /// Unanswered for this long, another control node is asked.
  Duration SourceTimeout() const {
    return leased_ ? timing_.source_timeout : std::min(timing_.source_timeout, kFirstPatience);
  }

  void BeatAfter(Duration delay) {
    next_beat_ = environment_.Now() + delay;
    timer_.Arm(delay, [this] { Beat(); });
  }

  void MoveIfUnanswered() {
    const TimePoint now = environment_.Now();
    if (now - source_since_ >= SourceTimeout()) {
      const NodeId lost = sources_.current().node;
      sources_.MoveOn();
      LogEvent(EventId::kConfigurationSourceLost,
               "node={} source={} silent_ms={} next={} revision={} proof_ms={}", self_.node, lost,
               Milliseconds(now - source_since_), sources_.current().node, configuration_.revision,
               ProofMilliseconds());
      source_since_ = now;
      return;
    }
    if (!sources_.AwayFromOwnZone() || now < return_at_) return;
    return_at_ = now + kReturnToOwnZone;
    sources_.ReturnToOwnZone();
    source_since_ = now;
  }

  /// For logs; -1 before the first proof.
  int64_t ProofMilliseconds() const {
    const auto age = ProofAge();
    return age ? Milliseconds(*age) : -1;
  }

  /// Logs that the lease is over, or valid again.
  void NoteLease() {
    if (LeaseValid() == lease_noted_) return;
    lease_noted_ = !lease_noted_;
    LogEvent(lease_noted_ ? EventId::kConfigurationProven : EventId::kConfigurationUnproven,
             "node={} source={} revision={} proof_ms={}", self_.node, sources_.current().node,
             configuration_.revision, ProofMilliseconds());
  }

  void SendHeartbeat() {
    const TimePoint now = environment_.Now();
    NodeHeartbeat heartbeat;
    heartbeat.nonce = environment_.Random()() | 1;
    heartbeat.sender.record = self_;
    heartbeat.sender.applied = configuration_.revision;
    heartbeat.observations = TakeObservations();
    std::erase_if(unanswered_, [&](const auto& sent) { return now - sent.second > timing_.lease; });
    unanswered_[heartbeat.nonce] = now;
    transport_.Send(sources_.current().node, {MessageKind::kHeartbeat, EncodeHeartbeat(heartbeat)});
  }

  std::vector<ReportedObservation> TakeObservations() {
    std::vector<ReportedObservation> taken;
    const bool all = beats_++ % kHeartbeatsPerFullReport == 0;
    for (auto it = observations_.begin(); it != observations_.end();) {
      const bool configured =
          configuration_.resources.contains({ResourceKind::kEngine, it->first.value()});
      if (!configured && !unsent_.contains(it->first)) {
        it = observations_.erase(it);
        continue;
      }
      if (all || unsent_.contains(it->first)) taken.push_back({NodeId(), it->second});
      ++it;
    }
    unsent_.clear();
    return taken;
  }

  void ReceiveReply(const std::string& payload) {
    const auto reply = DecodeHeartbeatReply(payload);
    if (!reply.ok()) return;
    const auto sent = unanswered_.find(reply->nonce);
    if (sent == unanswered_.end()) return;
    const TimePoint sent_at = sent->second;
    unanswered_.erase(sent);
    bool changed = false;
    if (!reply->delta.empty()) {
      const auto delta = DecodeDelta(reply->delta);
      if (delta.ok()) changed = ApplyChanges(*delta);
    }
    if (configuration_.revision >= reply->confirmed) ExtendLease(sent_at);
    if (changed) NotifyListeners();
  }

  void ReceivePush(const NodeId&, const std::string& payload) {
    const auto delta = DecodeConfigurationPush(payload);
    if (delta.ok() && ApplyChanges(*delta)) NotifyListeners();
  }

  /// Whether the configuration changed.
  bool ApplyChanges(const ConfigurationDelta& delta) {
    const Revision before = configuration_.revision;
    if (faults_.smaller_revision_accepted && delta.to < before) {
      configuration_.revision = delta.from;
    }
    return ApplyDelta(configuration_, delta) && configuration_.revision != before;
  }

  void ExtendLease(TimePoint sent_at) {
    source_since_ = environment_.Now();
    const TimePoint until = sent_at + timing_.lease;
    if (leased_ && until <= lease_until_) return;
    leased_ = true;
    lease_until_ = until;
    NoteLease();
  }

  /// Control nodes that joined later are sources too, and those that are gone are none.
  void LearnSources() {
    std::vector<ControlEndpoint> known;
    for (const auto& [node, record] : configuration_.nodes) {
      if (!record.control || record.state == MemberState::kGone) continue;
      known.push_back({node, record.address, record.zone});
    }
    if (known.empty() || sources_.HoldsAll(known)) return;
    for (const ControlEndpoint& endpoint : known) {
      transport_.SetAddress(endpoint.node, endpoint.address);
    }
    sources_.Add(known);
  }

  void NotifyListeners() {
    LearnSources();
    // A listener may destroy this client.
    const auto listeners = listeners_;
    for (const auto& listener : listeners) listener();
  }

  Environment& environment_;
  PeerTransport& transport_;
  NodeRecord self_;
  ControlEndpoints sources_;
  const ConfigurationTiming timing_;
  const ClusterFaults faults_;

  Configuration configuration_;
  std::vector<std::function<void()>> listeners_;
  bool leased_ = false;
  TimePoint lease_until_;
  /// What the log last said of the lease.
  bool lease_noted_ = false;
  /// When the source last proved itself, or was chosen.
  TimePoint source_since_;
  TimePoint return_at_;
  /// Send times of heartbeats, by nonce.
  std::map<uint64_t, TimePoint> unanswered_;
  int beats_ = 0;
  TimePoint next_beat_;
  std::map<EngineName, EngineObservation> observations_;
  std::set<EngineName> unsent_;
  ScopedTimer timer_;
};

}  // namespace

std::unique_ptr<ConfigurationClient> MakeConfigurationClient(
    Environment& environment, PeerTransport& transport, NodeRecord self,
    std::vector<ControlEndpoint> control_nodes, ConfigurationTiming timing, ClusterFaults faults) {
  return std::make_unique<HeartbeatingConfigurationClient>(
      environment, transport, std::move(self), std::move(control_nodes), timing, faults);
}

}  // namespace millstair
