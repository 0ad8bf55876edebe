#include "gateway/once_claim.h"

#include <xxhash.h>

#include <utility>

#include "common/random.h"

namespace millstair {
namespace {

/// Timeout of the command that settles a claim.
constexpr Duration kSettleTimeout = std::chrono::seconds(60);

const GroupId& ClusterGroup() {
  static const GroupId group("cluster");
  return group;
}

ClaimAnswer AnswerOf(const absl::StatusOr<std::string>& reply) {
  if (!reply.ok()) return ClaimAnswer::kUnavailable;
  const absl::StatusOr<ClusterResult> result = DecodeResult(*reply);
  if (!result.ok()) return ClaimAnswer::kUnavailable;
  switch (result->code) {
    case ClusterResultCode::kOk:
      return ClaimAnswer::kGranted;
    case ClusterResultCode::kClaimHeld:
      return ClaimAnswer::kHeld;
    case ClusterResultCode::kClaimDone:
      return ClaimAnswer::kDone;
    case ClusterResultCode::kClaimTooOld:
      return ClaimAnswer::kTooOld;
    case ClusterResultCode::kClaimMismatch:
      return ClaimAnswer::kMismatch;
    default:
      return ClaimAnswer::kUnavailable;
  }
}

}  // namespace

OnceClaim::OnceClaim(GatewayContext& context, std::string key, std::string digest,
                     std::optional<WallTime> issued)
    : context_(context),
      key_(std::move(key)),
      digest_(std::move(digest)),
      issued_(issued),
      attempt_(context.environment.Random()() | 1) {}

OnceClaim::~OnceClaim() {
  // Destroyed before the reply arrived: nothing was sent, so the claim is released.
  if (pending_ && !context_.closing) Settle(true, 0, [](bool) {});
  if (owns_key_) context_.once_keys.erase(key_);
}

void OnceClaim::Take(Duration timeout, std::function<void(ClaimAnswer)> done) {
  if (!context_.once_keys.insert(key_).second) {
    done(ClaimAnswer::kHeld);
    return;
  }
  owns_key_ = true;
  if (context_.faults.skip_claim) {
    granted_ = true;
    done(ClaimAnswer::kGranted);
    return;
  }
  pending_ = true;
  ClusterCommand command;
  command.operation =
      ClaimKey{key_, context_.self.node, context_.self.incarnation, digest_, issued_, attempt_};
  command.proposed_at = context_.environment.WallNow();
  context_.control.Submit(
      ClusterGroup(), CommandMode::kPropose, EncodeCommand(command), timeout,
      alive_.Guard([this, done = std::move(done)](const absl::StatusOr<std::string>& reply) {
        const ClaimAnswer answer = AnswerOf(reply);
        pending_ = false;
        granted_ = answer == ClaimAnswer::kGranted;
        if (granted_) ++context_.counters.claims_taken;
        if (!granted_) ++context_.counters.claims_refused;
        // The claim may have been committed; nothing was sent, so it is released.
        if (answer == ClaimAnswer::kUnavailable) Settle(true, 0, [](bool) {});
        done(answer);
      }));
}

void OnceClaim::SettleDone(int status) {
  Settle(false, status, [](bool) {});
}

void OnceClaim::Release(std::function<void(bool)> released) {
  Settle(true, 0, std::move(released));
}

void OnceClaim::Settle(bool released, int status, std::function<void(bool)> done) {
  if (settled_ || context_.faults.skip_claim) {
    done(true);
    return;
  }
  settled_ = true;
  ClusterCommand command;
  command.operation =
      SettleClaim{key_, context_.self.node, context_.self.incarnation, released, status, attempt_};
  command.proposed_at = context_.environment.WallNow();
  context_.control.Submit(
      ClusterGroup(), CommandMode::kPropose, EncodeCommand(command), kSettleTimeout,
      [done = std::move(done)](const absl::StatusOr<std::string>& reply) { done(reply.ok()); });
}

std::string RequestDigest(const HttpRequest& request) {
  std::string content = request.method;
  content += '\n';
  content += request.target;
  content += '\n';
  content += request.body.str();
  const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

}  // namespace millstair
