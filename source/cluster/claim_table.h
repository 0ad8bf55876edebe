/// Claims on idempotency keys, so that a non-repeatable request runs at most once.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cluster/cluster_commands.h"
#include "common/ids.h"
#include "common/time.h"

namespace millstair {

struct ClaimLimits {
  /// Minimum time that a key is retained, by the state machine's clock.
  std::chrono::hours retention{24};
  /// At this number of retained keys, new ones are rejected until old ones expire.
  size_t max_claims = 250'000;
};

enum class ClaimState : uint8_t {
  kHeld = 1,      ///< dispatched or about to be; outcome unknown
  kDone = 2,      ///< ran
  kReleased = 3,  ///< did not run; another attempt may claim the key again
};

struct Claim {
  NodeId gateway;
  Incarnation incarnation;
  uint64_t attempt = 0;
  std::string request_digest;
  ClaimState state = ClaimState::kHeld;
  int answer_status = 0;
  /// Time of the first claim of the key, by the state machine's clock.
  WallTime claimed_at;
  /// Log index of the first claim; keys expire in this order.
  LogIndex order;
  friend bool operator==(const Claim&, const Claim&) = default;
};

/// Part of the replicated state: deterministic, with bounded memory.
class ClaimTable {
 public:
  explicit ClaimTable(ClaimLimits limits) : limits_(limits) {}

  ClusterResult Take(const ClaimKey& command, LogIndex index, WallTime now);
  ClusterResult Settle(const SettleClaim& command);
  /// Removes keys claimed longer ago than the retention.
  void Prune(WallTime now);

  const std::map<std::string, Claim>& claims() const { return claims_; }
  void Replace(std::map<std::string, Claim> claims);

 private:
  ClusterResult TakeAgain(const ClaimKey& command, Claim& claim);

  ClaimLimits limits_;
  std::map<std::string, Claim> claims_;
  std::map<LogIndex, std::string> by_order_;
};

}  // namespace millstair
