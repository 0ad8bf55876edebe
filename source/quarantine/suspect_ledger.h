/// Changes the cluster's record of suspect requests. Part of the replicated state: the same calls
/// in the same order produce the same record on every replica.
#pragma once

#include <map>
#include <set>

#include "quarantine/suspect_request.h"

namespace millstair {

using SuspectRequests = std::map<RequestFingerprint, SuspectRequest>;

/// How long a request is remembered after its last change. A barred request is kept long enough for
/// the servers to be fixed or an operator to lift it.
inline constexpr Duration kWatchedRetention = std::chrono::minutes(1);
inline constexpr Duration kHeldRetention = std::chrono::minutes(10);
inline constexpr Duration kBarredRetention = std::chrono::hours(24);
/// Maximum number of records, to bound the memory of each node. The oldest of those with the fewest
/// crashes are dropped first: to push out a barred request, a caller has to crash three servers
/// under each of as many requests.
inline constexpr size_t kMaxSuspects = 1024;

/// Exists for one command. Adds the requests that it changes to `touched`.
class SuspectLedger {
 public:
  SuspectLedger(SuspectRequests& suspects, std::set<RequestFingerprint>& touched, Revision revision,
                WallTime now)
      : suspects_(suspects), touched_(touched), revision_(revision), now_(now) {}

  /// Records the incarnations that ended under a request; known ones change nothing.
  void Report(const CrashReport& report);
  /// Grants a trial if `seen` is the revision of the record's last change, so that only the first
  /// of several concurrent requests succeeds. Returns whether it was granted.
  bool BeginTrial(const RequestFingerprint& request, Revision seen);
  /// Deletes the record of a request that a back end answered, unless it holds more than `crashes`,
  /// the number known to the reporting node.
  void Clear(const RequestFingerprint& request, size_t crashes);
  /// Deletes expired records.
  void Expire();

 private:
  using Entry = SuspectRequests::iterator;

  void Touch(SuspectRequest& suspect);
  void Erase(Entry entry);
  void BoundCount();

  SuspectRequests& suspects_;
  std::set<RequestFingerprint>& touched_;
  const Revision revision_;
  const WallTime now_;
};

}  // namespace millstair
