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
/// Crashes from which on it is barred: the platform allows three, and no more than three sends
/// after them.
inline constexpr size_t kCrashesToBar = 3;
/// Trials without an answer after which a held request is barred: their outcomes may be lost with
/// the nodes that made them. With the crashes that hold it, and if none of them is noted, two sends
/// follow the third crash.
inline constexpr uint32_t kMostTrials = 3;

enum class SuspectStanding : uint8_t {
  kWatched,  ///< one crash: sent as any other
  kHeld,     ///< not sent, but for one trial at a time in the whole cluster
  kBarred,   ///< not sent until it is forgotten or an operator lifts it
};

/// "watched", "held" or "barred", for logs and operators.
std::string_view SuspectStandingName(SuspectStanding standing);

SuspectStanding StandingOf(size_t crashes, uint32_t trials);

/// Back ends that ended while they ran one request, none of which has answered it since.
struct SuspectRequest {
  RequestFingerprint request;
  /// Host and path, cut to kMostPlaceBytes.
  std::string place;
  /// Lives that ended under it, each once; no more than kMostCrashesKept.
  std::vector<InstanceId> crashed;
  /// Trials granted since it is held.
  uint32_t trials = 0;
  /// Set by the state machine: revision of its last change, and the cluster's clock then.
  Revision changed_at;
  WallTime changed_time;

  SuspectStanding standing() const { return StandingOf(crashed.size(), trials); }
  friend bool operator==(const SuspectRequest&, const SuspectRequest&) = default;
};

/// More lives than bar a request need not be known.
inline constexpr size_t kMostCrashesKept = 8;
inline constexpr size_t kMostPlaceBytes = 200;

/// Host and path of a request as records state it.
std::string PlaceOf(std::string_view host, std::string_view target);

/// What a node reports of one request.
struct CrashReport {
  RequestFingerprint request;
  std::string place;
  std::vector<InstanceId> crashed;
};

}  // namespace millstair
