/// Encoding of the work requests and replies between gateways and stream leaders.
#include "rollout/rollout_wire.h"
#include "rollout/stream_commands.h"

namespace millstair {
namespace {

void FillReturned(WireArena& arena, const WorkRequest::Returned& from, millstair_WorkReturned* to) {
  to->sample = arena.NewString(from.sample.value());
  to->epoch = from.epoch.value();
  to->tokens = arena.NewChunkedBytes(JoinTokens(from.tokens), &to->tokens_count);
  FillSpans(arena, from.spans, &to->spans_count, &to->spans);
  to->kv_source = arena.NewString(from.kv_source);
}

void FillAttempt(WireArena& arena, const Attempt& from, millstair_WorkAttempt* to) {
  to->has_prompt = true;
  FillPrompt(arena, from.prompt, &to->prompt);
  to->step = arena.NewString(from.step.value());
  to->epoch = from.epoch.value();
  to->lease_microseconds = static_cast<uint64_t>(from.lease.count());
  to->resume_tokens =
      arena.NewChunkedBytes(JoinTokens(from.resume_tokens), &to->resume_tokens_count);
  FillSpans(arena, from.resume_spans, &to->resume_spans_count, &to->resume_spans);
  to->kv_source = arena.NewString(from.kv_source);
  to->expected_tokens = from.expected_tokens;
}

Attempt ReadAttempt(const millstair_WorkAttempt& from) {
  Attempt attempt;
  attempt.prompt = ReadPrompt(from.prompt);
  attempt.step = StepId(ToString(from.step));
  attempt.epoch = AttemptEpoch(from.epoch);
  attempt.lease = Duration(static_cast<Duration::rep>(from.lease_microseconds));
  attempt.resume_tokens = SplitTokens(JoinBytes(from.resume_tokens, from.resume_tokens_count));
  attempt.resume_spans = ReadSpans(from.resume_spans, from.resume_spans_count);
  attempt.kv_source = ToString(from.kv_source);
  attempt.expected_tokens = from.expected_tokens;
  return attempt;
}

}  // namespace

std::string EncodeWorkRequest(const WorkRequest& request) {
  WireArena arena;
  millstair_WorkRequestMessage message = millstair_WorkRequestMessage_init_zero;
  message.stream = arena.NewString(request.stream.value());
  message.gateway = arena.NewString(request.gateway.value());
  message.room = request.free_slots;
  message.sequence = request.sequence;
  message.running = arena.NewArray<millstair_WorkRunning>(request.running.size());
  message.running_count = static_cast<pb_size_t>(request.running.size());
  for (size_t i = 0; i < request.running.size(); ++i) {
    const WorkRequest::Running& from = request.running[i];
    millstair_WorkRunning& to = message.running[i];
    to.sample = arena.NewString(from.sample.value());
    to.epoch = from.epoch.value();
    to.tokens_done = from.tokens_done;
    to.oldest_version = from.oldest_version.value();
  }
  message.returned = arena.NewArray<millstair_WorkReturned>(request.returned.size());
  message.returned_count = static_cast<pb_size_t>(request.returned.size());
  for (size_t i = 0; i < request.returned.size(); ++i) {
    FillReturned(arena, request.returned[i], &message.returned[i]);
  }
  return EncodeNanopb(millstair_WorkRequestMessage_fields, &message);
}

absl::StatusOr<WorkRequest> DecodeWorkRequest(std::string_view bytes) {
  auto decoded = DecodedMessage<millstair_WorkRequestMessage>::Decode(
      millstair_WorkRequestMessage_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  const millstair_WorkRequestMessage& message = **decoded;
  WorkRequest request;
  request.stream = StreamName(ToString(message.stream));
  request.gateway = NodeId(ToString(message.gateway));
  request.free_slots = message.room;
  request.sequence = message.sequence;
  for (pb_size_t i = 0; i < message.running_count; ++i) {
    const millstair_WorkRunning& from = message.running[i];
    request.running.push_back({SampleId(ToString(from.sample)), AttemptEpoch(from.epoch),
                               from.tokens_done, WeightVersion(from.oldest_version)});
  }
  for (pb_size_t i = 0; i < message.returned_count; ++i) {
    const millstair_WorkReturned& from = message.returned[i];
    request.returned.push_back({SampleId(ToString(from.sample)), AttemptEpoch(from.epoch),
                                SplitTokens(JoinBytes(from.tokens, from.tokens_count)),
                                ReadSpans(from.spans, from.spans_count), ToString(from.kv_source)});
  }
  return request;
}

std::string EncodeWorkReply(const WorkReply& reply) {
  WireArena arena;
  millstair_WorkReplyMessage message = millstair_WorkReplyMessage_init_zero;
  message.stream = arena.NewString(reply.stream.value());
  message.answered = reply.answered;
  message.attempts = arena.NewArray<millstair_WorkAttempt>(reply.attempts.size());
  message.attempts_count = static_cast<pb_size_t>(reply.attempts.size());
  for (size_t i = 0; i < reply.attempts.size(); ++i) {
    FillAttempt(arena, reply.attempts[i], &message.attempts[i]);
  }
  message.cancelled = arena.NewArray<millstair_WorkCancelled>(reply.cancelled.size());
  message.cancelled_count = static_cast<pb_size_t>(reply.cancelled.size());
  for (size_t i = 0; i < reply.cancelled.size(); ++i) {
    message.cancelled[i].sample = arena.NewString(reply.cancelled[i].sample.value());
    message.cancelled[i].epoch = reply.cancelled[i].epoch.value();
  }
  return EncodeNanopb(millstair_WorkReplyMessage_fields, &message);
}

absl::StatusOr<WorkReply> DecodeWorkReply(std::string_view bytes) {
  auto decoded =
      DecodedMessage<millstair_WorkReplyMessage>::Decode(millstair_WorkReplyMessage_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  const millstair_WorkReplyMessage& message = **decoded;
  WorkReply reply;
  reply.stream = StreamName(ToString(message.stream));
  reply.answered = message.answered;
  for (pb_size_t i = 0; i < message.attempts_count; ++i) {
    reply.attempts.push_back(ReadAttempt(message.attempts[i]));
  }
  for (pb_size_t i = 0; i < message.cancelled_count; ++i) {
    reply.cancelled.push_back({SampleId(ToString(message.cancelled[i].sample)),
                               AttemptEpoch(message.cancelled[i].epoch)});
  }
  return reply;
}

}  // namespace millstair
