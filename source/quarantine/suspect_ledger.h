/// Changes of the cluster's record of suspect requests. Part of the replicated state: the same
/// calls in the same order give the same record on every replica.
#pragma once

#include <map>
#include <set>

#include "quarantine/suspect_request.h"

namespace millstair {

using SuspectRequests = std::map<RequestFingerprint, SuspectRequest>;

/// How long a request is remembered after its last change. One crash says little after a minute.
/// Servers are mended within a day, or an operator lifts what is barred.
inline constexpr Duration kWatchedRetention = std::chrono::minutes(1);
inline constexpr Duration kHeldRetention = std::chrono::minutes(10);
inline constexpr Duration kBarredRetention = std::chrono::hours(24);
/// More are not remembered (some 400 kB at each node). Those with the fewest crashes go first, and
/// the oldest among them: a caller that wants to push out a barred one has to crash three servers
/// under each of as many requests.
inline constexpr size_t kMaxSuspects = 1024;

/// Lives for one command. Notes in `touched` which requests it changed.
class SuspectLedger {
 public:
  SuspectLedger(SuspectRequests& suspects, std::set<RequestFingerprint>& touched, Revision revision,
                WallTime now)
      : suspects_(suspects), touched_(touched), revision_(revision), now_(now) {}

  /// Counts the lives that ended under a request; one that is known already changes nothing.
  void Report(const CrashReport& report);
  /// Grants one trial to whoever asks first with the record's last change `seen`; whether it did.
  bool BeginTrial(const RequestFingerprint& request, Revision seen);
  /// A back end has answered the request whose record had no more than `crashes` then: it crashes
  /// nobody. One that has more since stays.
  void Clear(const RequestFingerprint& request, size_t crashes);
  /// Forgets what is old.
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
