/// The once-only claim of a non-repeatable request: taken in the cluster's log before the request
/// is sent, settled when its outcome is known. A claim that is never settled stays in doubt, and a
/// resend anywhere is told so.
#pragma once

#include <functional>
#include <string>

#include "cluster/cluster_commands.h"
#include "common/alive_flag.h"
#include "gateway/gateway_context.h"

namespace millstair {

enum class ClaimAnswer {
  kGranted,
  kHeld,         ///< another request with this key is under way or in doubt
  kDone,         ///< the request of this key ran
  kTooOld,       ///< the key is older than keys are remembered
  kMismatch,     ///< another request used this key
  kUnavailable,  ///< the control nodes gave no answer; nothing was sent to a back end
};

/// Lives on the node's serial executor.
class OnceClaim {
 public:
  /// `digest` tells requests apart that use the same key.
  OnceClaim(GatewayContext& context, std::string key, std::string digest,
            std::optional<WallTime> issued);
  ~OnceClaim();
  OnceClaim(const OnceClaim&) = delete;
  OnceClaim& operator=(const OnceClaim&) = delete;

  void Take(Duration timeout, std::function<void(ClaimAnswer)> done);
  /// The request ran; `status` is the back end's answer. Goes on by itself.
  void SettleDone(int status);
  /// The request truly did not run. `released` is called once the log has it, or when that can't
  /// be told (the key then stays in doubt).
  void Release(std::function<void(bool)> released);
  bool granted() const { return granted_; }

 private:
  void Settle(bool released, int status, std::function<void(bool)> done);

  GatewayContext& context_;
  std::string key_;
  std::string digest_;
  std::optional<WallTime> issued_;
  /// Differs for each claim, so that a resend of this claim is told from another request with the
  /// same key through the same gateway.
  uint64_t attempt_;
  bool owns_key_ = false;
  bool pending_ = false;
  bool granted_ = false;
  bool settled_ = false;
  AliveFlag alive_;
};

/// Digest of method, target and body.
std::string RequestDigest(const HttpRequest& request);

}  // namespace millstair
