/// One node's view of the registered back ends: their state, the requests that this node has in
/// progress at each, and their recent latency and failures. Selects a back end for a request.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/configuration.h"
#include "common/environment.h"
#include "common/ids.h"
#include "common/scoped_timer.h"
#include "common/stats.h"
#include "ingress/backend_silence.h"
#include "ingress/cold_limits.h"
#include "limits/token_bucket.h"
#include "routing/outlier_ejection.h"

namespace millstair {

/// Limits on requests to cold back ends, which are slow after their start.
struct ColdPolicy {
  /// Requests per second by service; services without an entry are not limited.
  std::map<ServiceName, double> service_rates;
  ColdBound bound;
  friend bool operator==(const ColdPolicy&, const ColdPolicy&) = default;
};

/// A back end that may be used for a request, and its expected latency in relative units.
struct BackendCandidate {
  const BackendInstance* record = nullptr;
  double cost = 0;
};

enum class BackendEnd : uint8_t {
  kAnswered,
  kRefused,        ///< it did not run the request
  kFailed,         ///< no complete response arrived
  kUnreachable,    ///< nothing could be sent
  kWrongInstance,  ///< another incarnation uses the address: this one has ended
  kCancelled,      ///< this node no longer needs the response
};

/// Lives on the node's serial executor.
class BackendDirectory {
 public:
  /// `stats` outlives the directory, and may be null.
  BackendDirectory(Environment& environment, Zone own_zone, StatsRegistry* stats = nullptr);

  /// Applies a complete configuration.
  void Update(const Configuration& configuration);
  /// Applies `changes`, which led to `configuration`. The cost grows with the number of changes,
  /// not with the number of back ends.
  void Apply(const Configuration& configuration, const ConfigurationDelta& changes);

  /// Whether this node is the one of its kind that may send to a cold back end; by default every
  /// node is.
  using ColdAssignmentCheck = std::function<bool(const InstanceId&)>;
  void SetColdAssignmentCheck(ColdAssignmentCheck check) {
    cold_assignment_check_ = std::move(check);
  }
  void SetColdPolicy(ColdPolicy policy);
  /// How many requests this node may start at `instance` now if it is cold; unlimited if it is not.
  uint32_t ColdAllowance(const InstanceId& instance);

  /// Selects the back end of `service` with the lowest expected latency; none if there is no other
  /// than `excluded`. Back ends that recently refused are used only if there is no healthy one, and
  /// ejected ones, the least recently ejected first, only if there is no other. After its ejection
  /// a back end gets one request at a time until it responds. Of a large service only the first
  /// healthy ones in this node's own order are considered, so that connections are reused.
  std::optional<BackendInstance> Pick(const ServiceName& service,
                                      const std::set<InstanceId>& excluded);
  /// The back ends among which Pick selects; valid until the configuration changes.
  std::vector<BackendCandidate> Candidates(const ServiceName& service,
                                           const std::set<InstanceId>& excluded);
  /// The cheapest of a few of `candidates`, drawn at random; there must be at least one.
  const BackendInstance& CheapestOf(std::vector<BackendCandidate> candidates);
  /// Whether any back end of `service` accepts new work.
  bool HasLive(const ServiceName& service) const { return services_.contains(service); }
  /// All back ends that accept new work, ordered by identifier.
  std::vector<const BackendInstance*> Live(const ServiceName& service) const;
  /// Whether at least `count` back ends of `service` accept new work and are neither ejected nor
  /// `excluded`.
  bool HasHealthy(const ServiceName& service, size_t count,
                  const std::function<bool(const BackendInstance&)>& excluded) const;
  /// Null if the back end is unknown or accepts no new work.
  const BackendInstance* FindLive(const InstanceId& instance) const;
  bool Ejected(const InstanceId& instance) const;

  /// Requests are counted from Begin to End.
  void Begin(const InstanceId& instance);
  void End(const InstanceId& instance, BackendEnd end, Duration elapsed);
  /// The head of a response or a part of its body arrived; the request is still in progress.
  void OnResponse(const InstanceId& instance);
  /// The request sent at `sent_at` is still in progress, and no byte of its response has arrived.
  /// If it has waited long enough to count as silence, other back ends are preferred for a while.
  /// `target` is that of the route; 0 if it has none.
  void OnUnanswered(const InstanceId& instance, TimePoint sent_at, Duration target);
  /// When a request that was just sent to `instance` is to be hedged, if it is not answered: after
  /// `delay`, or sooner, after twice the usual latency, if the back end has not responded since it
  /// was silent or ejected.
  Duration HedgeDelay(const InstanceId& instance, Duration delay) const;
  /// Ends a request that was dropped without a byte of a response. Two silent ones in a row eject
  /// the back end.
  void EndUnanswered(const InstanceId& instance, TimePoint sent_at, Duration target);
  /// Another incarnation of the server was found at its address: it gets no more work.
  void OnSuperseded(const InstanceId& instance);
  uint32_t Running(const InstanceId& instance) const;
  /// Start of the latest request; the epoch if there was none.
  TimePoint LatestBegin(const InstanceId& instance) const;

 private:
  struct Backend {
    BackendInstance record;
    uint32_t running = 0;
    TimePoint latest_begin;
    /// Smoothed latency of complete responses; 0 before the first.
    double answer_seconds = 0;
    OutlierEjection ejection;
    /// It has not responded since its latest ejection.
    bool unproven = false;
    /// Start of the one request that an unproven back end gets at a time.
    std::optional<TimePoint> probe_sent_at;
    BackendSilence silence;
    /// It was silent lately; other back ends are preferred until then.
    TimePoint doubted_until;
    /// It refused a request for lack of capacity; avoided until then.
    TimePoint full_until;
    /// Another incarnation responded at its address.
    bool superseded = false;
    /// Deleted from the configuration; erased once its last request has ended.
    bool forgotten = false;
    /// In `at_address_`.
    bool attached = false;
    /// The entry of `services_` that holds it.
    std::optional<ServiceName> candidate_for;
    /// Assumed to be cold until then.
    TimePoint cold_until;
    /// Limits this node's requests while the back end is cold; none while it is not.
    std::optional<TokenBucket> cold_tokens;
    /// Sort key of this node's own order of a service's back ends, those of its zone first.
    uint64_t preference = 0;
  };
  /// The back ends of a service that accept new work.
  struct ServiceBackends {
    std::vector<Backend*> by_id;
    std::vector<Backend*> by_preference;
  };

  bool MayGetWork(const Backend& backend) const;
  uint32_t ColdAllowance(Backend& backend);
  uint64_t PreferenceOf(const BackendInstance& record) const;
  /// Treats a back end that was unreachable or in an evacuated zone as possibly cold until its next
  /// heartbeats tell.
  void AssumeCold(Backend& backend);
  void ApplyEvacuations(const std::map<Zone, EvacuatedZone>& evacuated);
  void RefreshZoneCandidates(const Zone& zone);
  double Cost(const Backend& backend) const;
  void RecordEnd(Backend& backend, BackendEnd end, Duration elapsed);
  void RecordResponse(Backend& backend);
  void RecordFailure(Backend& backend, bool unreachable);
  void RecordUnreachable(Backend& backend, Duration elapsed);
  /// Whether a request sent at `sent_at` has waited for a response for so long that it counts as
  /// silence, while the back end sent this node nothing else either. A back end that was removed
  /// has ended and is not silent.
  bool IsSilent(const Backend& backend, TimePoint sent_at, Duration target);
  void EndRunning(Backend& backend);
  void StartPauseChecks();
  void ArmPauseCheck();
  void CheckForPause();
  /// Whether this node was paused after `at`. Responses that arrived during a pause are read after
  /// timers have expired and other connections have ended, so requests that were in progress then
  /// say nothing about their back ends.
  bool PausedSince(TimePoint at);
  /// `strong` silence ejects at once, unless no other back end of the service is in use.
  void RecordSilence(Backend& backend, TimePoint sent_at, bool strong);
  void EjectAsSilent(Backend& backend, TimePoint sent_at);
  /// Makes other back ends preferred; for silence in another zone, those of the own zone.
  void Doubt(Backend& backend, TimePoint sent_at);
  bool HasAlternative(const Backend& backend) const;
  /// Whether it has not responded since it was silent or ejected.
  static bool MayBeSilent(const Backend& backend) {
    return backend.unproven || backend.silence.count() > 0;
  }
  /// Whether the one request that `backend` may get is in progress.
  static bool IsProbed(const Backend& backend) {
    return backend.unproven && backend.probe_sent_at.has_value();
  }
  static void RecordProbeEnd(Backend& backend, TimePoint sent_at);
  void EndSilence(const Backend& backend);
  void MarkSuperseded(Backend& backend);
  void ApplyRecord(const BackendInstance& record);
  void Forget(const InstanceId& instance);
  void EraseIfIdle(const InstanceId& instance);
  /// Removes a back end from `at_address_` and from the candidates.
  void Detach(Backend& backend);
  void Attach(Backend& backend);
  /// Makes the newest back end at an address a candidate, if it accepts work, and removes the
  /// others.
  void RefreshCandidates(const std::string& address);
  void AddCandidate(Backend& backend);
  void RemoveCandidate(Backend& backend);

  Environment& environment_;
  const Zone own_zone_;
  /// Node-based: the indices below point to its entries.
  std::map<InstanceId, Backend> backends_;
  /// Back ends that are neither gone nor superseded, by address. A new incarnation may register
  /// before the old one is known to have ended.
  std::unordered_map<std::string, std::vector<Backend*>> at_address_;
  /// The candidates by service. Of several back ends at one address, only the newest.
  std::map<ServiceName, ServiceBackends> services_;
  /// Makes the order of preference differ between nodes.
  const uint64_t preference_seed_;
  std::set<Zone> evacuated_;
  /// A back end of another zone was silent and none has responded since; back ends of the own zone
  /// are preferred until then.
  TimePoint other_zones_doubted_until_;
  /// When a back end of another zone last responded.
  std::optional<TimePoint> other_zones_responded_at_;
  /// Back ends that were ejected as silent and have not responded since, with the start of their
  /// silence.
  std::map<InstanceId, TimePoint> silent_;
  /// Requests in progress at all back ends.
  size_t running_ = 0;
  /// Armed while requests are in progress.
  ScopedTimer pause_check_;
  TimePoint pause_checked_at_;
  /// End of this node's latest pause.
  TimePoint paused_until_;
  /// Null if there are no stats.
  Gauge* const silent_backends_;
  Counter* const silent_attempts_;
  ColdPolicy cold_;
  ColdAssignmentCheck cold_assignment_check_ = [](const InstanceId&) { return true; };
};

}  // namespace millstair
