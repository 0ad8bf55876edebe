/// Once-only claims on the keys of non-repeatable requests.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cluster/cluster_commands.h"
#include "common/ids.h"
#include "common/time.h"

namespace millstair {

struct ClaimLimits {
  /// How long a key is remembered, by the state machine's clock. No key is forgotten earlier.
  std::chrono::hours retention{24};
  /// With so many keys remembered, new ones are refused until old ones may be forgotten.
  size_t max_claims = 250'000;
};

enum class ClaimState : uint8_t {
  kHeld = 1,      ///< dispatched or about to be; the outcome is not known
  kDone = 2,      ///< ran
  kReleased = 3,  ///< did not run; the key may be claimed again by another attempt
};

struct Claim {
  NodeId gateway;
  Incarnation incarnation;
  uint64_t attempt = 0;
  std::string request_digest;
  ClaimState state = ClaimState::kHeld;
  int answer_status = 0;
  /// When the key was first claimed, by the state machine's clock.
  WallTime claimed_at;
  /// Log index of the first claim; keys are forgotten in this order.
  LogIndex order;
  friend bool operator==(const Claim&, const Claim&) = default;
};

/// Part of the replicated state: bounded, deterministic.
class ClaimTable {
 public:
  explicit ClaimTable(ClaimLimits limits) : limits_(limits) {}

  ClusterResult Take(const ClaimKey& command, LogIndex index, WallTime now);
  ClusterResult Settle(const SettleClaim& command);
  /// Forgets keys claimed longer ago than the retention.
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
