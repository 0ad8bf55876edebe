/// Leasing of attempts by the stream leader.
#include <algorithm>

#include "common/event_log.h"
#include "rollout/stream_leader.h"

namespace millstair {
namespace {

/// Requests that arrive within this time are processed together, so that work is spread over them.
constexpr Duration kFlushDelay = std::chrono::milliseconds(2);
/// Free slots reported longer ago are ignored.
constexpr Duration kMaxFreeSlotsAge = std::chrono::milliseconds(2500);
/// Samples granted to a gateway before it is the next one's turn.
constexpr uint32_t kGrantsPerTurn = 2;
/// Limit of one reply.
constexpr size_t kMaxAttemptsPerReply = 256;
/// A step is nearly done at this number or fraction of open samples, whichever is larger.
constexpr uint32_t kTailSamples = 4;
constexpr double kTailShare = 0.05;
/// A straggler without a new token for this long is hedged.
constexpr Duration kStallTimeout = std::chrono::seconds(3);
/// Hedges are issued only if the idle time weight of the stream is at least this.
constexpr double kMinIdleWeightToHedge = 0.5;
/// Time for engines to swap to a new active version. Attempts restarted earlier might begin on the
/// old version again.
constexpr Duration kSwapDuration = std::chrono::seconds(2);
/// Fraction of its expected tokens that an attempt may discard for newer weights, at an idle time
/// weight of 0.
constexpr double kRestartShare = 0.5;

}  // namespace

void StreamLeaderNode::Enqueue(const SampleKey& key, bool urgent) {
  const StepRecord& step = state_.data().steps.at(key.step_sequence);
  schedule_.Add(environment_.Now(), key, ExpectedTokens(key),
                static_cast<uint32_t>(step.samples.size()), urgent);
}

uint32_t StreamLeaderNode::ExpectedTokens(const SampleKey& key) const {
  const Prompt prompt = state_.PromptOf(key);
  return lengths_.Expected(prompt.text, prompt.max_tokens);
}

void StreamLeaderNode::ReceiveWork(const NodeId&, const PeerMessage& message) {
  UpdateLeadership();
  const absl::StatusOr<WorkRequest> request = DecodeWorkRequest(message.payload);
  if (!Leads() || !request.ok() || request->stream != stream_) return;
  Requester& requester = requesters_[request->gateway];
  requester.requested_at = environment_.Now();
  requester.free_slots = request->free_slots;
  requester.sequence = request->sequence;
  requester.reply_due = true;
  HandleRunning(*request, requester);
  HandleReturned(*request);
  ScheduleFlush();
}

void StreamLeaderNode::HandleRunning(const WorkRequest& request, Requester& requester) {
  const TimePoint now = environment_.Now();
  for (const WorkRequest::Running& running : request.running) {
    const std::optional<SampleKey> key = state_.FindSample(running.sample);
    // A new leader may not have applied the step of the sample yet.
    if (!key && now - leader_since_ < options_.settle) continue;
    if (!key || !state_.IsOpen(*key) ||
        !attempts_.OnAttemptReported(now, *key, request.gateway, running)) {
      requester.cancelled.push_back({running.sample, running.epoch});
      continue;
    }
    schedule_.Remove(*key);
  }
}

void StreamLeaderNode::HandleReturned(const WorkRequest& request) {
  for (const WorkRequest::Returned& returned : request.returned) {
    const std::optional<SampleKey> key = state_.FindSample(returned.sample);
    if (!key || !state_.IsOpen(*key)) continue;
    // A repeated return of a settled attempt has no effect.
    const bool known = attempts_.End(*key, returned.epoch);
    if (!known && attempts_.Running(*key)) continue;
    if (!returned.tokens.empty()) {
      attempts_.SaveResumePoint(*key, {returned.tokens, returned.spans, returned.kv_source});
    }
    if (!attempts_.Running(*key)) Enqueue(*key, true);
  }
}

ScheduleContext StreamLeaderNode::MakeScheduleContext() const {
  ScheduleContext context;
  context.now = environment_.Now();
  context.idle_time_weight = settings_->stream.idle_time_weight;
  context.staleness_bound = state_.data().staleness_bound;
  context.newest = state_.data().newest;
  context.trainer_waiting = IsTrainerWaiting();
  context.swap_pending = active_ < context.newest || context.now - active_since_ < kSwapDuration;
  context.tail_handling = options_.tail_handling;
  return context;
}

void StreamLeaderNode::ScheduleFlush() {
  if (flush_timer_.armed()) return;
  flush_timer_.Arm(kFlushDelay, [this] { Flush(); });
}

void StreamLeaderNode::Flush() {
  if (!Leads()) return;
  const bool settled = environment_.Now() - leader_since_ >= options_.settle;
  if (settled && InSync() && state_.data().payload_bytes < kMaxPayloadBytes) GrantRound();
  for (auto& [gateway, requester] : requesters_) {
    if (!requester.reply_due && requester.granted.empty() && requester.cancelled.empty()) continue;
    requester.reply_due = false;
    WorkReply reply{stream_, std::move(requester.granted), std::move(requester.cancelled),
                    requester.sequence};
    requester.granted.clear();
    requester.cancelled.clear();
    transport_.Send(gateway, {MessageKind::kWorkReply, EncodeWorkReply(reply)});
  }
}

/// Grants samples round-robin, so that a small step is spread over all gateways with free slots.
void StreamLeaderNode::GrantRound() {
  bool granted = true;
  while (granted) {
    granted = false;
    for (auto& [gateway, requester] : requesters_) {
      for (uint32_t i = 0; i < kGrantsPerTurn; ++i)
        granted = GrantOne(gateway, requester) || granted;
    }
  }
}

bool StreamLeaderNode::GrantOne(const NodeId& gateway, Requester& requester) {
  if (requester.free_slots == 0 || requester.granted.size() >= kMaxAttemptsPerReply) return false;
  if (environment_.Now() - requester.requested_at > kMaxFreeSlotsAge) return false;
  if (settings_->gone_gateways.contains(gateway)) return false;
  if (attempts_.in_flight() >= settings_->max_in_flight) return false;
  std::optional<SampleKey> key = schedule_.Take(MakeScheduleContext(), state_.data().steps);
  if (!key) key = FindHedgeCandidate(gateway);
  if (!key) return false;
  Grant(gateway, requester, *key);
  return true;
}

void StreamLeaderNode::Grant(const NodeId& gateway, Requester& requester, const SampleKey& key) {
  const AttemptEpoch epoch((led_term_.value() << 32) | ++last_epoch_);
  LeasedAttempt& leased = attempts_.Grant(environment_.Now(), key, epoch, gateway);
  leased.expected_tokens = ExpectedTokens(key);
  Attempt attempt;
  attempt.prompt = state_.PromptOf(key);
  attempt.step = state_.data().steps.at(key.step_sequence).step;
  attempt.epoch = epoch;
  attempt.lease = options_.attempts.lease;
  attempt.expected_tokens = leased.expected_tokens;
  if (const ResumePoint* resume = attempts_.FindResumePoint(key)) {
    attempt.resume_tokens = resume->tokens;
    attempt.resume_spans = resume->spans;
    attempt.kv_source = resume->kv_source;
  }
  requester.granted.push_back(std::move(attempt));
  --requester.free_slots;
}

/// Selects a sample of the oldest step whose only attempt has stalled, once the step is nearly
/// done.
std::optional<SampleKey> StreamLeaderNode::FindHedgeCandidate(const NodeId& gateway) const {
  if (!options_.tail_handling || settings_->stream.idle_time_weight < kMinIdleWeightToHedge) {
    return std::nullopt;
  }
  if (schedule_.waiting() > 0 || attempts_.attempts().empty()) return std::nullopt;
  const uint64_t oldest = attempts_.attempts().begin()->first.step_sequence;
  const auto step = state_.data().steps.find(oldest);
  if (step == state_.data().steps.end()) return std::nullopt;
  const auto tail =
      std::max(kTailSamples, static_cast<uint32_t>(kTailShare * step->second.samples.size()));
  uint32_t open = 0;
  std::optional<SampleKey> straggler;
  TimePoint stalled_since = environment_.Now() - kStallTimeout;
  for (const auto& [key, running] : attempts_.attempts()) {
    if (key.step_sequence != oldest) break;
    if (++open > tail) return std::nullopt;
    if (running.size() != 1 || running.front().gateway == gateway) continue;
    const TimePoint progress = std::min(running.front().progress_at, running.front().last_seen_at);
    if (progress > stalled_since) continue;
    stalled_since = progress;
    straggler = key;
  }
  return straggler;
}

void StreamLeaderNode::StopAttempt(const SampleKey& key, const LeasedAttempt& attempt) {
  const auto requester = requesters_.find(attempt.gateway);
  if (requester != requesters_.end()) {
    requester->second.cancelled.push_back({state_.PromptOf(key).sample, attempt.epoch});
  }
  attempts_.End(key, attempt.epoch);
}

bool StreamLeaderNode::IsTooStale(const LeasedAttempt& attempt) const {
  const StreamData& data = state_.data();
  if (attempt.oldest_version.value() == 0 || data.newest <= attempt.oldest_version) return false;
  return data.newest.value() - attempt.oldest_version.value() > data.staleness_bound;
}

/// Stops attempts whose samples are too stale to be delivered.
void StreamLeaderNode::StopStaleAttempts() {
  const auto running = attempts_.attempts();
  for (const auto& [key, leased] : running) {
    for (const LeasedAttempt& attempt : leased) {
      if (!IsTooStale(attempt)) continue;
      StopAttempt(key, attempt);
      attempts_.DropResumePoint(key);
      if (!attempts_.Running(key)) Enqueue(key, true);
    }
  }
}

/// Once engines serve a new version, restarts attempts that have few tokens from an older one.
/// Discards at most (1 - w) * kRestartShare of the expected tokens of a sample.
void StreamLeaderNode::RestartEarlyAttempts() {
  if (restarted_for_active_ || environment_.Now() - active_since_ < kSwapDuration) return;
  restarted_for_active_ = true;
  if (!options_.tail_handling) return;
  const double share = (1.0 - settings_->stream.idle_time_weight) * kRestartShare;
  const auto running = attempts_.attempts();
  for (const auto& [key, leased] : running) {
    if (leased.size() != 1) continue;
    const LeasedAttempt& attempt = leased.front();
    if (attempt.oldest_version.value() == 0 || attempt.oldest_version >= active_) continue;
    if (attempt.tokens_done > share * attempt.expected_tokens) continue;
    StopAttempt(key, attempt);
    attempts_.DropResumePoint(key);
    Enqueue(key, true);
  }
}

}  // namespace millstair
