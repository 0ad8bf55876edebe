#include "cluster/claim_table.h"

namespace millstair {
namespace {

ClusterResult Answer(ClusterResultCode code, std::string message = "") {
  ClusterResult result;
  result.code = code;
  result.message = std::move(message);
  return result;
}

template <class Command>
bool SameHolder(const Command& command, const Claim& claim) {
  return command.gateway == claim.gateway && command.incarnation == claim.incarnation &&
         command.attempt == claim.attempt;
}

}  // namespace

ClusterResult ClaimTable::Take(const ClaimKey& command, LogIndex index, WallTime now) {
  const auto found = claims_.find(command.key);
  if (found != claims_.end()) return TakeAgain(command, found->second);
  if (command.issued && *command.issued + limits_.retention < now) {
    return Answer(ClusterResultCode::kClaimTooOld, "the key is older than the retention");
  }
  if (claims_.size() >= limits_.max_claims) {
    return Answer(ClusterResultCode::kInvalid, "too many keys are remembered");
  }
  Claim& claim = claims_[command.key];
  claim.gateway = command.gateway;
  claim.incarnation = command.incarnation;
  claim.attempt = command.attempt;
  claim.request_digest = command.request_digest;
  claim.claimed_at = now;
  claim.order = index;
  by_order_[index] = command.key;
  return Answer(ClusterResultCode::kOk);
}

ClusterResult ClaimTable::TakeAgain(const ClaimKey& command, Claim& claim) {
  if (command.request_digest != claim.request_digest) {
    return Answer(ClusterResultCode::kClaimMismatch, "another request used this key");
  }
  if (claim.state == ClaimState::kDone) {
    return Answer(ClusterResultCode::kClaimDone, std::to_string(claim.answer_status));
  }
  const bool same_attempt = command.attempt != 0 && SameHolder(command, claim);
  if (claim.state == ClaimState::kHeld) {
    if (same_attempt) return Answer(ClusterResultCode::kOk);
    return Answer(ClusterResultCode::kClaimHeld, "the outcome of the key is not known");
  }
  // A delayed copy of the attempt that released the key must not claim it again.
  if (same_attempt) {
    return Answer(ClusterResultCode::kClaimHeld, "the attempt has given the key back");
  }
  claim.gateway = command.gateway;
  claim.incarnation = command.incarnation;
  claim.attempt = command.attempt;
  claim.state = ClaimState::kHeld;
  return Answer(ClusterResultCode::kOk);
}

ClusterResult ClaimTable::Settle(const SettleClaim& command) {
  const auto found = claims_.find(command.key);
  if (found == claims_.end()) return Answer(ClusterResultCode::kNotFound);
  Claim& claim = found->second;
  if (!SameHolder(command, claim)) {
    return Answer(ClusterResultCode::kClaimMismatch, "another attempt holds the key");
  }
  const ClaimState wanted = command.released ? ClaimState::kReleased : ClaimState::kDone;
  if (claim.state == wanted) return Answer(ClusterResultCode::kOk);
  if (claim.state != ClaimState::kHeld) {
    return Answer(ClusterResultCode::kConflict, "the claim was settled otherwise");
  }
  claim.state = wanted;
  claim.answer_status = command.answer_status;
  return Answer(ClusterResultCode::kOk);
}

void ClaimTable::Prune(WallTime now) {
  while (!by_order_.empty()) {
    const auto oldest = claims_.find(by_order_.begin()->second);
    if (oldest->second.claimed_at + limits_.retention >= now) return;
    claims_.erase(oldest);
    by_order_.erase(by_order_.begin());
  }
}

void ClaimTable::Replace(std::map<std::string, Claim> claims) {
  claims_ = std::move(claims);
  by_order_.clear();
  for (const auto& [key, claim] : claims_) by_order_[claim.order] = key;
}

}  // namespace millstair
