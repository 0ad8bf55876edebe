/// Requests under which back ends ended, and what their record allows.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.h"
#include "common/time.h"

namespace millstair {

/// Crashes from which on a request is held: one crash may strike any request that runs, two in a
/// row without an answer between are rarely chance. A third would be the platform's limit already.
inline constexpr size_t kCrashesToHold = 2;
/// Crashes in trials from which on a held request is barred. In a trial it is the only one of its
/// kind in the cluster; before, many of one content may run at once and meet every crash of an
/// outage (calls of one content that score texts met three in 0.2 s). A server may still end under
/// a trial for another reason.
inline constexpr size_t kTrialCrashesToBar = 2;
/// Trials without an answer after which it is barred: outcomes may be lost with the nodes that made
/// them. The platform allows three sends after a request's third crash.
inline constexpr uint32_t kMaxTrials = 3;

enum class SuspectStanding : uint8_t {
  kWatched,  ///< one crash: sent as any other
  kHeld,     ///< not sent, but for one trial at a time in the whole cluster
  kBarred,   ///< not sent until it is forgotten or an operator lifts it
};

/// "watched", "held" or "barred", for logs and operators.
std::string_view SuspectStandingName(SuspectStanding standing);

/// What is held against a request.
struct CrashCount {
  size_t crashes = 0;
  uint32_t trials = 0;
  /// Of the crashes, those since the first trial was granted.
  size_t in_trials = 0;
};

SuspectStanding StandingOf(const CrashCount& count);

/// Back ends that ended while they ran one request, none of which has answered it since.
struct SuspectRequest {
  RequestFingerprint request;
  /// Host and path, cut to kMaxPlaceBytes.
  std::string place;
  /// Lives that ended under it, each once; no more than kMaxRecordedCrashes.
  std::vector<InstanceId> crashed;
  /// Trials granted since it is held.
  uint32_t trials = 0;
  /// How many lives had ended under it when the first trial was granted.
  uint32_t crashes_before_trials = 0;
  /// Set by the state machine: revision of its last change, and the cluster's clock then.
  Revision changed_at;
  WallTime changed_time;

  /// With `crashes` lives ended, of which the record may not hold all.
  CrashCount CountWith(size_t crashes) const;
  SuspectStanding standing() const { return StandingOf(CountWith(crashed.size())); }
  friend bool operator==(const SuspectRequest&, const SuspectRequest&) = default;
};

/// More lives than this need not be known.
inline constexpr size_t kMaxRecordedCrashes = 16;
inline constexpr size_t kMaxPlaceBytes = 200;

/// Host and path of a request as records state it.
std::string PlaceOf(std::string_view host, std::string_view target);

/// What a node reports of one request.
struct CrashReport {
  RequestFingerprint request;
  std::string place;
  std::vector<InstanceId> crashed;
};

}  // namespace millstair
