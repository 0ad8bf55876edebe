/// The once-only claim of a non-repeatable request: committed to the cluster log before the request
/// is sent, settled when its outcome is known. A claim that is never settled keeps an unknown
/// outcome, which any gateway reports for a request that reuses the key.
#pragma once

#include <functional>
#include <string>

#include "cluster/cluster_commands.h"
#include "common/alive_flag.h"
#include "gateway/gateway_context.h"

namespace millstair {

enum class ClaimAnswer {
  kGranted,
  kHeld,         ///< a request with this key is in progress, or its outcome is unknown
  kDone,         ///< the request with this key ran
  kTooOld,       ///< the key is older than the retention time of keys
  kMismatch,     ///< a request with another digest used this key
  kUnavailable,  ///< the control nodes did not reply; nothing was sent to a back end
};

/// Lives on the node's serial executor.
class OnceClaim {
 public:
  /// `digest` distinguishes requests that use the same key.
  OnceClaim(GatewayContext& context, std::string key, std::string digest,
            std::optional<WallTime> issued);
  ~OnceClaim();
  OnceClaim(const OnceClaim&) = delete;
  OnceClaim& operator=(const OnceClaim&) = delete;

  void Take(Duration timeout, std::function<void(ClaimAnswer)> done);
  /// The request ran with response status `status`. Completes in the background, also after the
  /// claim is destroyed.
  void SettleDone(int status);
  /// The request did not run. `released` is called with true once the release is committed, and
  /// with false if that could not be confirmed (the outcome of the key then stays unknown).
  void Release(std::function<void(bool)> released);
  bool granted() const { return granted_; }

 private:
  void Settle(bool released, int status, std::function<void(bool)> done);

  GatewayContext& context_;
  std::string key_;
  std::string digest_;
  std::optional<WallTime> issued_;
  /// Random per claim; distinguishes a repeated submission of this claim from another request with
  /// the same key on the same gateway.
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
