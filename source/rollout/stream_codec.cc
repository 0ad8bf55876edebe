/// Encoding of stream commands, results and cursor queries.
#include "rollout/rollout_wire.h"
#include "rollout/stream_commands.h"

namespace millstair {
namespace {

struct CommandFiller {
  WireArena& arena;
  millstair_StreamCommandMessage& message;

  void operator()(const PutStep& command) const {
    message.has_put_step = true;
    message.put_step.step = arena.NewString(command.step.value());
    message.put_step.prompts = arena.NewArray<millstair_RolloutPrompt>(command.prompts.size());
    message.put_step.prompts_count = static_cast<pb_size_t>(command.prompts.size());
    for (size_t i = 0; i < command.prompts.size(); ++i) {
      FillPrompt(arena, command.prompts[i], &message.put_step.prompts[i]);
    }
  }
  void operator()(const AppendSample& command) const {
    message.has_append_sample = true;
    FillSample(arena, command.sample, &message.append_sample);
  }
  void operator()(const RecordPublishedVersion& command) const {
    message.has_note_published = true;
    message.note_published.version = command.version.value();
    message.note_published.digest = arena.NewString(command.digest.value());
  }
  void operator()(const DeliverSamples& command) const {
    message.has_hand_on = true;
    message.hand_on.after = command.after.value();
    message.hand_on.max_samples = command.max_samples;
  }
  void operator()(const SetStalenessBound& command) const {
    message.has_set_staleness_bound = true;
    message.set_staleness_bound.bound = command.bound;
  }
};

PutStep ReadPutStep(const millstair_StreamPutStep& message) {
  PutStep command;
  command.step = StepId(ToString(message.step));
  for (pb_size_t i = 0; i < message.prompts_count; ++i) {
    command.prompts.push_back(ReadPrompt(message.prompts[i]));
  }
  return command;
}

}  // namespace

std::string EncodeStreamCommand(const StreamCommand& command) {
  WireArena arena;
  millstair_StreamCommandMessage message = millstair_StreamCommandMessage_init_zero;
  std::visit(CommandFiller{arena, message}, command);
  return EncodeNanopb(millstair_StreamCommandMessage_fields, &message);
}

absl::StatusOr<StreamCommand> DecodeStreamCommand(std::string_view bytes) {
  auto decoded = DecodedMessage<millstair_StreamCommandMessage>::Decode(
      millstair_StreamCommandMessage_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  const millstair_StreamCommandMessage& message = **decoded;
  const int set = message.has_put_step + message.has_append_sample + message.has_note_published +
                  message.has_hand_on + message.has_set_staleness_bound;
  if (set != 1)
    return absl::InvalidArgumentError("a stream command must hold exactly one operation");
  if (message.has_put_step) return StreamCommand(ReadPutStep(message.put_step));
  if (message.has_append_sample) {
    return StreamCommand(AppendSample{ReadSample(message.append_sample)});
  }
  if (message.has_note_published) {
    return StreamCommand(
        RecordPublishedVersion{WeightVersion(message.note_published.version),
                               WeightDigest(ToString(message.note_published.digest))});
  }
  if (message.has_hand_on) {
    return StreamCommand(
        DeliverSamples{StreamOffset(message.hand_on.after), message.hand_on.max_samples});
  }
  return StreamCommand(SetStalenessBound{message.set_staleness_bound.bound});
}

std::string EncodeStreamResult(const StreamResult& result) {
  WireArena arena;
  millstair_StreamResultMessage message = millstair_StreamResultMessage_init_zero;
  message.code = static_cast<uint32_t>(result.code);
  message.handed_on = arena.NewArray<millstair_StreamHandedOn>(result.delivered.size());
  message.handed_on_count = static_cast<pb_size_t>(result.delivered.size());
  for (size_t i = 0; i < result.delivered.size(); ++i) {
    const DeliveredEntry& from = result.delivered[i];
    millstair_StreamHandedOn& to = message.handed_on[i];
    to.offset = from.offset.value();
    to.withdrawn = from.withdrawn;
    to.has_sample = true;
    FillSample(arena, from.sample, &to.sample);
  }
  message.next = result.next.value();
  message.newest = result.newest.value();
  message.message = arena.NewString(result.message);
  return EncodeNanopb(millstair_StreamResultMessage_fields, &message);
}

absl::StatusOr<StreamResult> DecodeStreamResult(std::string_view bytes) {
  auto decoded = DecodedMessage<millstair_StreamResultMessage>::Decode(
      millstair_StreamResultMessage_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  const millstair_StreamResultMessage& message = **decoded;
  if (message.code < static_cast<uint32_t>(StreamResultCode::kOk) ||
      message.code > static_cast<uint32_t>(StreamResultCode::kFull)) {
    return absl::InvalidArgumentError("unknown stream result code");
  }
  StreamResult result;
  result.code = static_cast<StreamResultCode>(message.code);
  for (pb_size_t i = 0; i < message.handed_on_count; ++i) {
    const millstair_StreamHandedOn& from = message.handed_on[i];
    result.delivered.push_back(
        {StreamOffset(from.offset), from.withdrawn, ReadSample(from.sample)});
  }
  result.next = StreamOffset(message.next);
  result.newest = WeightVersion(message.newest);
  result.message = ToString(message.message);
  return result;
}

std::string EncodeCursorQuery(const CursorQuery& query) {
  millstair_StreamCursorQuery message = millstair_StreamCursorQuery_init_zero;
  message.after = query.after.value();
  message.wait_milliseconds = static_cast<uint32_t>(query.wait.count());
  return EncodeNanopb(millstair_StreamCursorQuery_fields, &message);
}

absl::StatusOr<CursorQuery> DecodeCursorQuery(std::string_view bytes) {
  auto decoded = DecodedMessage<millstair_StreamCursorQuery>::Decode(
      millstair_StreamCursorQuery_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  return CursorQuery{StreamOffset((*decoded)->after),
                     std::chrono::milliseconds((*decoded)->wait_milliseconds)};
}

std::string EncodeCursorStatus(const CursorStatus& status) {
  millstair_StreamCursorStatus message = millstair_StreamCursorStatus_init_zero;
  message.acknowledged = status.acknowledged.value();
  message.last_offset = status.last_offset.value();
  message.newest = status.newest.value();
  message.open_samples = status.open_samples;
  return EncodeNanopb(millstair_StreamCursorStatus_fields, &message);
}

absl::StatusOr<CursorStatus> DecodeCursorStatus(std::string_view bytes) {
  auto decoded = DecodedMessage<millstair_StreamCursorStatus>::Decode(
      millstair_StreamCursorStatus_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  return CursorStatus{StreamOffset((*decoded)->acknowledged), StreamOffset((*decoded)->last_offset),
                      WeightVersion((*decoded)->newest), (*decoded)->open_samples};
}

}  // namespace millstair
