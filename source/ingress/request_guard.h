/// Stops requests that crash back ends from being sent again and again.
///
/// A crash is counted against a request only if the back end's incarnation that lost it has ended
/// (LivenessCheck). Requests that merely ran at the same time as the cause are counted too. They
/// are told apart as follows: a response from the next back end clears a request, a request that
/// was served recently is not counted, and a request is held only after a second crash without a
/// response in between.
///
/// The counts of all nodes are merged in the cluster's record (SuspectLedger), which reaches each
/// node with its configuration. A node adds its own observations that the record doesn't hold yet.
/// A held request is sent by one node of the cluster at a time (BeginTrial), long enough after its
/// last crash for the back ends to have restarted.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "cluster/configuration.h"
#include "common/alive_flag.h"
#include "common/environment.h"
#include "common/stats.h"
#include "ingress/liveness_check.h"
#include "quarantine/suspect_register.h"

namespace millstair {

/// Minimum time between the last crash or trial of a held request and its next trial, one entry for
/// each trial.
using TrialPauses = std::array<Duration, kMaxTrials>;
/// For client requests. The first exceeds the restart time of a server (3 s), so that a trial never
/// takes down a service's last server. The second exceeds the length of a usual outage, so that
/// unrelated crashes are not counted.
inline constexpr TrialPauses kClientTrialPauses = {
    std::chrono::seconds(5), std::chrono::seconds(60), std::chrono::minutes(5)};
/// Minimum time between the last known crash of any back end and the first trial of a held request
/// while its service has kSpareBackends. Covers the liveness checks and reports of all requests
/// that were lost, which take up to 400 ms, so that a trial isn't blamed for a crash of the same
/// burst.
inline constexpr Duration kSpareTrialPause = std::chrono::milliseconds(500);
/// Number of back ends that a service must have, besides those that crashed and their restarted
/// incarnations, for a trial that does not wait for restarts. Three, so that one still serves if
/// two nodes begin a trial at the same moment and each ends its back end.
inline constexpr size_t kSpareBackends = 3;
/// Length of the windows in which served requests are remembered. Losing a request that was served
/// in this or the last window is not counted against it: popular requests run on all servers and
/// would be in progress at every crash.
inline constexpr Duration kServedSpan = std::chrono::seconds(5);
/// Retry-After of a barred request, which stays barred until an operator acts or the record
/// expires.
inline constexpr Duration kBarredRetryAfter = std::chrono::seconds(60);
/// Poll intervals while a request waits: at first, and at most if the outcome is due later. Another
/// node may serve the request meanwhile, which clears it.
inline constexpr Duration kCheckPause = std::chrono::milliseconds(10);
inline constexpr Duration kMaxCheckPause = std::chrono::milliseconds(50);

/// What a node may do with a request now.
enum class GuardVerdict : uint8_t {
  kSend,
  kWait,    ///< a liveness check that may hold the request, or a trial, ends soon
  kTrial,   ///< may be sent once BeginTrial has granted it
  kRefuse,  ///< must not be sent
};

struct GuardDecision {
  GuardVerdict verdict = GuardVerdict::kSend;
  /// For kRefuse: when to retry. For kWait: when the outcome is due; 0 if unknown.
  Duration retry_after{0};
  /// According to this node and the cluster's record as received here.
  CrashCount count;
  SuspectStanding standing = SuspectStanding::kWatched;
};

struct GuardedRequest {
  RequestFingerprint fingerprint;
  std::string place;
  /// It was sent on a trial.
  bool on_trial = false;
  /// It is known to be sound: its crashes stay at this node and only delay it here, see
  /// `CrashesSeen`.
  bool trusted = false;
};

/// What this node has seen of a trusted request since a back end last responded to it.
struct SeenCrashes {
  /// Incarnations that ended under it, and those whose liveness check is running.
  size_t crashes = 0;
  /// Time of the last crash or of the last loss of a connection.
  TimePoint last_at;
};

/// Lives on the node's serial executor.
class RequestGuard {
 public:
  /// Returns the health check path of a service; empty if unknown.
  using HealthPath = std::function<std::string(const ServiceName&)>;

  /// `stats` may be null.
  RequestGuard(Environment& environment, HttpCaller& http, const BackendProtocol& protocol,
               HealthPath health_path, StatsRegistry* stats);

  /// Where crashes are reported; outlives the guard. Without one the node relies on its own
  /// observations.
  void SetRegister(SuspectRegister* suspect_register) { register_ = suspect_register; }
  /// Applies the cluster's record, which may have changed.
  void Update(const SuspectRequests& suspects);
  /// The local configuration, including its record of suspects, is at `revision`.
  void OnRevision(Revision revision);

  /// No request is suspect.
  bool idle() const { return places_.empty(); }
  /// Whether a request of `place` may be suspect; a cheap check before its fingerprint is computed.
  bool MayBeSuspect(const std::string& place) const;
  /// `has_spare_backends` tells whether kSpareBackends of the request's service are healthy. Called
  /// only for a held request around its first trial; if it is null, the request never waits for it.
  GuardDecision Judge(const RequestFingerprint& request,
                      const std::function<bool()>& has_spare_backends = nullptr) const;
  /// For a trusted request, which is not judged.
  SeenCrashes CrashesSeen(const RequestFingerprint& request) const;
  /// Whether the back end is known to have ended under a suspect request, or may be the restarted
  /// one of these, since it was registered after the last known crash.
  bool MayHaveCrashed(const BackendInstance& backend) const {
    return ended_.contains(backend.id) || backend.registered_at > last_crash_revision_;
  }
  /// `done` receives whether this node may send the request once.
  void BeginTrial(const RequestFingerprint& request, std::function<void(bool granted)> done);
  /// A trial was granted, but showed nothing about the request: no back end was reached, or the one
  /// that was lives on. It is kept for this node's next attempt, since the cluster counts trials
  /// when it grants them: three of these would bar the request.
  void ReturnTrial(const RequestFingerprint& request);

  /// `instance` received the request and sent no complete response.
  void OnLost(const GuardedRequest& request, const BackendInstance& instance);
  /// A back end responded to the request, or got further with it than the ones that crashed.
  void OnServed(const RequestFingerprint& request);
  /// A back end responded to a request, whether suspect or not; `digest` identifies it.
  void RecordServed(uint64_t digest);
  bool ServedRecently(uint64_t digest);
  /// Random seed of this process's digests, so that callers can't produce collisions.
  uint64_t digest_seed() const { return digest_seed_; }
  /// This node won't retry the request: its crashes are reported even if there is only one. A
  /// single crash of a request that is retried here is not reported, since most are cleared by the
  /// next response.
  void OnGivenUp(const RequestFingerprint& request);

 private:
  /// This node's observations of a request that the cluster's record may not hold yet.
  struct Seen {
    std::string place;
    std::set<InstanceId> crashed;
    /// Incarnations whose liveness check is running.
    std::set<InstanceId> unverified;
    /// Those of `unverified` that received the request on a trial.
    std::set<InstanceId> on_trial;
    TimePoint changed_at;
    bool given_up = false;
    bool trusted = false;
    /// Incarnations reported to the cluster, and the revision at which the report was committed;
    /// none until that is known.
    std::set<InstanceId> reported;
    std::optional<Revision> reported_at;
  };
  /// The cluster's record of a request, and when this node received it.
  struct Known {
    SuspectRequest record;
    TimePoint received_at;
    bool clearing = false;
  };
  struct Check {
    std::unique_ptr<LivenessCheck> check;
    std::set<RequestFingerprint> requests;
  };

  void OnChecked(const InstanceId& instance, LivenessVerdict verdict);
  void Report(const std::vector<RequestFingerprint>& requests);
  bool WantsReport(const Seen& seen) const;
  void ReportSoon();
  void OnReported(const std::vector<RequestFingerprint>& requests, std::optional<Revision> at);
  /// Drops observations that were committed at or before the local revision: the cluster's record
  /// holds them, or has been cleared since.
  void DropCommitted();
  void DropOldSeen();
  /// Rebuilds `places_` and `ended_`.
  void RefreshIndexes();
  /// Whether a held request should wait for its first trial, or for the outcome of it, since its
  /// service has spare back ends. Sets `decision.retry_after` to the time until then. `unverified`:
  /// a liveness check of a back end that lost it is running.
  bool WaitsForTrial(const RequestFingerprint& request, GuardDecision& decision, bool unverified,
                     const std::function<bool()>& has_spare_backends) const;
  /// Until `pause` after `since`; at least 0.
  Duration TimeLeft(TimePoint since, Duration pause) const;
  void RotateServedIfDue();
  static size_t CrashesOf(const Seen* seen, const Known* known);
  const Seen* FindSeen(const RequestFingerprint& request) const;
  const Known* FindKnown(const RequestFingerprint& request) const;

  Environment& environment_;
  HttpCaller& http_;
  const BackendProtocol& protocol_;
  const HealthPath health_path_;
  StatsRegistry* const stats_;
  SuspectRegister* register_ = nullptr;
  std::map<RequestFingerprint, Seen> seen_;
  std::map<RequestFingerprint, Known> known_;
  /// Requests of `known_` with a trial granted to this node and not used.
  std::set<RequestFingerprint> unused_trials_;
  Revision revision_;
  /// The places of all requests in `seen_` and `known_`.
  std::set<std::string> places_;
  /// Requests for which this node has asked for a trial and has no answer yet.
  std::set<RequestFingerprint> asking_;
  /// The crashed incarnations of all requests in `seen_` and `known_`.
  absl::flat_hash_set<InstanceId> ended_;
  /// When this node last learned of a crash, of whichever request.
  TimePoint last_crash_at_;
  /// The local revision at that time, or the one at which the crash was recorded.
  Revision last_crash_revision_;
  std::map<InstanceId, Check> checks_;
  const uint64_t digest_seed_;
  /// Digests of requests served in the current and in the previous window.
  absl::flat_hash_set<uint64_t> served_;
  absl::flat_hash_set<uint64_t> served_before_;
  TimePoint span_started_at_;
  ScopedTimer report_timer_;
  AliveFlag alive_;
};

}  // namespace millstair
