/// Keeps requests that crash the servers that run them from being sent on and on.
///
/// A request that loses its back end is counted against the back end's life only if that life has
/// ended (LivenessCheck). Who else ran there at that moment is counted as well: what tells them
/// apart is that they are answered at the next back end, which clears them, that what was served
/// lately is not counted, and that a request is held only after a second crash without an answer
/// between. The counts of all nodes meet in the cluster's record (SuspectLedger), which reaches
/// each node with its configuration, also one that has just started; a node adds what it saw itself
/// and the record does not hold yet. A held request is sent by one node at a time in the cluster
/// (BeginTrial), long enough after its last crash that the servers it ended are back.
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

/// How long a held request rests between its last crash, or the last trial, and the next trial: one
/// pause for each trial that the cluster grants.
using TrialPauses = std::array<Duration, kMaxTrials>;
/// Requests of clients. Longer than servers take to come back (3 s), so that a trial never takes a
/// service's last server; then longer than an outage, since a server that ends under the second
/// trial as well is the price of telling chance from cause.
inline constexpr TrialPauses kClientTrialPauses = {
    std::chrono::seconds(5), std::chrono::seconds(60), std::chrono::minutes(5)};
/// Items of batch jobs: the text of one that met two crashes by chance is due in some seconds.
inline constexpr TrialPauses kItemTrialPauses = {Duration(0), std::chrono::seconds(5),
                                                 std::chrono::seconds(30)};
/// What a node has seen served in this or the last span of this length crashes no server: losing it
/// says nothing. Popular requests run at all servers all day and would meet each crash.
inline constexpr Duration kServedSpan = std::chrono::seconds(5);
/// When callers of a barred request may come back: nothing changes before an operator acts.
inline constexpr Duration kBarredRetryAfter = std::chrono::seconds(60);
/// A check of a life is under way; it takes some milliseconds.
inline constexpr Duration kCheckPause = std::chrono::milliseconds(10);

/// What a node may do with a request now.
enum class GuardVerdict : uint8_t {
  kSend,
  kWait,    ///< whether a life ended under it is being found out
  kTrial,   ///< only after BeginTrial has granted it
  kRefuse,  ///< not at all
};

struct GuardDecision {
  GuardVerdict verdict = GuardVerdict::kSend;
  /// For kRefuse: when it may be tried again.
  Duration retry_after{0};
  /// As far as this node knows.
  CrashCount count;
  SuspectStanding standing = SuspectStanding::kWatched;
};

/// A request as the guard knows it.
struct GuardedRequest {
  RequestFingerprint fingerprint;
  std::string place;
};

/// Lives on the node's serial executor.
class RequestGuard {
 public:
  /// Path at which back ends of a service answer whether they are well; empty if unknown.
  using HealthPath = std::function<std::string(const ServiceName&)>;

  /// `stats` may be null.
  RequestGuard(Environment& environment, HttpCaller& http, const BackendProtocol& protocol,
               HealthPath health_path, StatsRegistry* stats);

  /// Where crashes are reported; without one the node goes by what it sees itself. Outlives the
  /// guard.
  void SetRegister(SuspectRegister* suspect_register) { register_ = suspect_register; }
  /// The cluster's record changed, or may have.
  void Update(const SuspectRequests& suspects);
  /// The configuration held is that of `revision`, its record of suspects included.
  void OnRevision(Revision revision);

  /// Nothing is suspected.
  bool idle() const { return places_.empty(); }
  /// Whether a request of `place` can be suspected at all; saves making its fingerprint.
  bool MayBeSuspect(const std::string& place) const;
  GuardDecision Judge(const RequestFingerprint& request,
                      const TrialPauses& pauses = kClientTrialPauses) const;
  /// `done` hears whether this node may send the request once.
  void BeginTrial(const RequestFingerprint& request, std::function<void(bool granted)> done);
  /// A trial was granted and no back end was reached: it has told nothing. It is kept for the next
  /// try at this node, since the cluster counts trials as it grants them: three that ran nowhere
  /// would bar a content for a day.
  void ReturnTrial(const RequestFingerprint& request);

  /// `instance` got the request and gave no whole answer.
  void OnLost(const GuardedRequest& request, const BackendInstance& instance);
  /// A back end has answered the request, or got further with it than those that ended.
  void OnServed(const RequestFingerprint& request);
  /// A back end has answered a request, suspect or not; `digest` tells it from others.
  void RecordServed(uint64_t digest);
  bool ServedRecently(uint64_t digest);
  /// Seeds the digests of this process, so that nobody can foresee them.
  uint64_t digest_seed() const { return digest_seed_; }
  /// No try of this node follows: its crashes are reported even if there is only one. One crash of
  /// a request that is tried again here is not: the next answer clears it, and a crash of a server
  /// strikes all that runs there.
  void OnGivenUp(const RequestFingerprint& request);

 private:
  /// What this node saw and the cluster's record may not hold yet.
  struct Seen {
    std::string place;
    std::set<InstanceId> crashed;
    /// Lives that are being asked for.
    std::set<InstanceId> unverified;
    TimePoint changed_at;
    bool given_up = false;
    /// Lives that the cluster has been told of, and the revision with which they count there; none
    /// before that is known.
    std::set<InstanceId> reported;
    std::optional<Revision> reported_at;
  };
  /// The cluster's record of a request, and since when this node holds it.
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
  /// What the configuration held accounts for is not this node's to hold against a request: the
  /// cluster's record does, or has been cleared since.
  void DropCommitted();
  void DropOldSeen();
  void RefreshPlaces();
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
  /// Requests of `known_` of which a trial is granted to this node and not used.
  std::set<RequestFingerprint> unused_trials_;
  Revision revision_;
  /// Places of all that is seen or known.
  std::set<std::string> places_;
  std::map<InstanceId, Check> checks_;
  const uint64_t digest_seed_;
  /// Digests of what was served in this span and in the one before.
  absl::flat_hash_set<uint64_t> served_;
  absl::flat_hash_set<uint64_t> served_before_;
  TimePoint span_started_at_;
  ScopedTimer report_timer_;
  AliveFlag alive_;
};

}  // namespace millstair
