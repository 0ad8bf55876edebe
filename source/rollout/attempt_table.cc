#include "rollout/attempt_table.h"

#include <algorithm>

namespace millstair {
namespace {

/// Concurrent attempts at one sample: the first one and a hedge.
constexpr size_t kMaxAttemptsPerSample = 2;

}  // namespace

LeasedAttempt& AttemptTable::Grant(TimePoint now, const SampleKey& key, AttemptEpoch epoch,
                                   const NodeId& gateway) {
  LeasedAttempt attempt;
  attempt.epoch = epoch;
  attempt.gateway = gateway;
  attempt.granted_at = now;
  attempt.last_seen_at = now;
  attempt.progress_at = now;
  ++in_flight_;
  return attempts_[key].emplace_back(attempt);
}

bool AttemptTable::OnAttemptReported(TimePoint now, const SampleKey& key, const NodeId& gateway,
                                     const WorkRequest::Running& running) {
  std::vector<LeasedAttempt>* known = nullptr;
  if (const auto found = attempts_.find(key); found != attempts_.end()) known = &found->second;
  LeasedAttempt* attempt = nullptr;
  if (known != nullptr) {
    for (LeasedAttempt& candidate : *known) {
      if (candidate.epoch == running.epoch && candidate.gateway == gateway) attempt = &candidate;
    }
    if (attempt == nullptr && known->size() >= kMaxAttemptsPerSample) return false;
  }
  if (attempt == nullptr) {
    // Granted by an earlier leader, or considered lost by this one: adopt it.
    attempt = &Grant(now, key, running.epoch, gateway);
  }
  attempt->last_seen_at = now;
  if (running.tokens_done != attempt->tokens_done) attempt->progress_at = now;
  attempt->tokens_done = running.tokens_done;
  attempt->oldest_version = running.oldest_version;
  return true;
}

bool AttemptTable::End(const SampleKey& key, AttemptEpoch epoch) {
  const auto found = attempts_.find(key);
  if (found == attempts_.end()) return false;
  const size_t ended = std::erase_if(
      found->second, [&](const LeasedAttempt& attempt) { return attempt.epoch == epoch; });
  in_flight_ -= static_cast<uint32_t>(ended);
  if (found->second.empty()) attempts_.erase(found);
  return ended > 0;
}

void AttemptTable::Forget(const SampleKey& key) {
  resume_points_.erase(key);
  const auto found = attempts_.find(key);
  if (found == attempts_.end()) return;
  in_flight_ -= static_cast<uint32_t>(found->second.size());
  attempts_.erase(found);
}

void AttemptTable::Clear() {
  attempts_.clear();
  resume_points_.clear();
  in_flight_ = 0;
}

bool AttemptTable::IsLost(TimePoint now, const LeasedAttempt& attempt,
                          const std::map<NodeId, GatewayLiveness>& gateways) const {
  if (now - attempt.last_seen_at >= timing_.lease) return true;
  const auto gateway = gateways.find(attempt.gateway);
  if (gateway == gateways.end()) return false;
  return gateway->second.gone ||
         gateway->second.last_seen_at - attempt.last_seen_at >= timing_.unlisted_grace;
}

std::vector<SampleKey> AttemptTable::DropLost(TimePoint now,
                                              const std::map<NodeId, GatewayLiveness>& gateways) {
  std::vector<SampleKey> orphaned;
  for (auto at = attempts_.begin(); at != attempts_.end();) {
    const size_t dropped = std::erase_if(
        at->second, [&](const LeasedAttempt& attempt) { return IsLost(now, attempt, gateways); });
    in_flight_ -= static_cast<uint32_t>(dropped);
    if (at->second.empty()) {
      orphaned.push_back(at->first);
      at = attempts_.erase(at);
    } else {
      ++at;
    }
  }
  return orphaned;
}

void AttemptTable::SaveResumePoint(const SampleKey& key, ResumePoint point) {
  ResumePoint& saved = resume_points_[key];
  if (point.tokens.size() > saved.tokens.size()) saved = std::move(point);
}

const ResumePoint* AttemptTable::FindResumePoint(const SampleKey& key) const {
  const auto found = resume_points_.find(key);
  return found == resume_points_.end() || found->second.tokens.empty() ? nullptr : &found->second;
}

}  // namespace millstair
