/// Requests under which back ends crashed, and whether they may be sent.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.h"
#include "common/time.h"

namespace millstair {

/// Number of crashes at which a request is held. One crash may strike any running request; two
/// without a response in between are rarely chance. A third would reach the platform's limit.
inline constexpr size_t kCrashesToHold = 2;
/// Number of crashes in trials at which a held request is barred. In a trial the request is the
/// only one of its content in the cluster, while earlier crashes may come from many concurrent ones
/// meeting the same outage. Two, since a server may crash during a trial for another reason.
inline constexpr size_t kTrialCrashesToBar = 2;
/// Number of trials without a response at which a request is barred, as outcomes may be lost with
/// the nodes that ran the trials. The platform allows three sends after a request's third crash.
inline constexpr uint32_t kMaxTrials = 3;

enum class SuspectStanding : uint8_t {
  kWatched,  ///< one crash: sent as any other
  kHeld,     ///< sent only in one trial at a time in the whole cluster
  kBarred,   ///< not sent until its record expires or an operator lifts it
};

/// "watched", "held" or "barred", for logs and operators.
std::string_view SuspectStandingName(SuspectStanding standing);

struct CrashCount {
  size_t crashes = 0;
  uint32_t trials = 0;
  /// Crashes since the first trial was granted.
  size_t in_trials = 0;
};

SuspectStanding StandingOf(const CrashCount& count);

/// Back ends that crashed while running one request, none of which has answered it since.
struct SuspectRequest {
  RequestFingerprint request;
  /// Host and path, truncated to kMaxPlaceBytes.
  std::string place;
  /// Distinct incarnations that ended under it; at most kMaxRecordedCrashes.
  std::vector<InstanceId> crashed;
  /// Trials granted since it was held.
  uint32_t trials = 0;
  /// Number of crashes when the first trial was granted.
  uint32_t crashes_before_trials = 0;
  /// Set by the state machine: revision and cluster time of the last change.
  Revision changed_at;
  WallTime changed_time;

  /// The count with a total of `crashes`, which may exceed those recorded here.
  CrashCount CountWith(size_t crashes) const;
  SuspectStanding standing() const { return StandingOf(CountWith(crashed.size())); }
  friend bool operator==(const SuspectRequest&, const SuspectRequest&) = default;
};

inline constexpr size_t kMaxRecordedCrashes = 16;
inline constexpr size_t kMaxPlaceBytes = 200;

/// Host and path of a request, truncated.
std::string PlaceOf(std::string_view host, std::string_view target);

/// One node's report on one request.
struct CrashReport {
  RequestFingerprint request;
  std::string place;
  std::vector<InstanceId> crashed;
};

}  // namespace millstair
