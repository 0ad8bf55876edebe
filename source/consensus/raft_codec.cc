#include "consensus/raft_codec.h"

#include <xxhash.h>

#include <utility>

#include "api/generated/raft.pb.h"
#include "storage/byte_codec.h"
#include "wire/nanopb_message.h"

namespace millstair {
namespace {

/// Estimated overhead of an envelope and of an entry in it.
constexpr uint64_t kEnvelopeBytes = 80;
constexpr uint64_t kEntryBytes = 16;

bool IsHeartbeat(RaftMessageType type) {
  return type == RaftMessageType::kHeartbeat || type == RaftMessageType::kHeartbeatReply;
}

void FillHeartbeat(const AddressedRaftMessage& addressed, millstair_RaftHeartbeat& out) {
  const RaftMessage& message = addressed.message;
  out.group = addressed.group_key;
  out.from = message.from.value();
  out.to = message.to.value();
  out.term = message.term.value();
  out.commit = message.commit.value();
  out.context = message.context;
  out.reply = message.type == RaftMessageType::kHeartbeatReply;
}

void FillEntries(const std::vector<LogEntry>& entries, WireArena& arena,
                 millstair_RaftEnvelope& out) {
  out.entries = arena.NewArray<millstair_RaftEntry>(entries.size());
  out.entries_count = static_cast<pb_size_t>(entries.size());
  for (size_t i = 0; i < entries.size(); ++i) {
    out.entries[i].term = entries[i].term.value();
    out.entries[i].type = static_cast<uint32_t>(entries[i].type);
    out.entries[i].payload =
        arena.NewChunkedBytes(*entries[i].payload, &out.entries[i].payload_count);
  }
}

void FillEnvelope(const AddressedRaftMessage& addressed, WireArena& arena,
                  millstair_RaftEnvelope& out) {
  const RaftMessage& message = addressed.message;
  out.group = arena.NewString(addressed.group.value());
  out.type = static_cast<uint32_t>(message.type);
  out.from = message.from.value();
  out.to = message.to.value();
  out.term = message.term.value();
  out.index = message.position.index.value();
  out.log_term = message.position.term.value();
  out.commit = message.commit.value();
  out.hint_index = message.hint.index.value();
  out.hint_term = message.hint.term.value();
  out.reject = message.reject;
  out.transfer = message.transfer;
  out.context = message.context;
  FillEntries(message.entries, arena, out);
  out.offset = message.offset;
  out.total = message.total;
  out.data = arena.NewChunkedBytes(message.data, &out.data_count);
}

AddressedRaftMessage ReadHeartbeat(const millstair_RaftHeartbeat& in) {
  AddressedRaftMessage out;
  out.group_key = in.group;
  out.message.type = in.reply ? RaftMessageType::kHeartbeatReply : RaftMessageType::kHeartbeat;
  out.message.from = ReplicaId(in.from);
  out.message.to = ReplicaId(in.to);
  out.message.term = Term(in.term);
  out.message.commit = LogIndex(in.commit);
  out.message.context = in.context;
  return out;
}

absl::StatusOr<AddressedRaftMessage> ReadEnvelope(const millstair_RaftEnvelope& in) {
  if (in.type == 0 || in.type > kLastRaftMessageType) {
    return absl::InvalidArgumentError("unknown type of Raft message");
  }
  AddressedRaftMessage out;
  out.group = GroupId(ToString(in.group));
  out.group_key = GroupKey(out.group);
  RaftMessage& message = out.message;
  message.type = static_cast<RaftMessageType>(in.type);
  message.from = ReplicaId(in.from);
  message.to = ReplicaId(in.to);
  message.term = Term(in.term);
  message.position = {LogIndex(in.index), Term(in.log_term)};
  message.commit = LogIndex(in.commit);
  message.hint = {LogIndex(in.hint_index), Term(in.hint_term)};
  message.reject = in.reject;
  message.transfer = in.transfer;
  message.context = in.context;
  message.offset = in.offset;
  message.total = in.total;
  message.data = JoinBytes(in.data, in.data_count);
  message.entries.reserve(in.entries_count);
  for (pb_size_t i = 0; i < in.entries_count; ++i) {
    const millstair_RaftEntry& entry = in.entries[i];
    if (entry.type > static_cast<uint32_t>(EntryType::kConfiguration)) {
      return absl::InvalidArgumentError("unknown type of log entry");
    }
    message.entries.push_back(
        {LogIndex(in.index + 1 + i), Term(entry.term), static_cast<EntryType>(entry.type),
         std::make_shared<std::string>(JoinBytes(entry.payload, entry.payload_count))});
  }
  return out;
}

}  // namespace

uint64_t GroupKey(const GroupId& group) {
  return XXH3_64bits(group.value().data(), group.value().size());
}

uint64_t EncodedSize(const RaftMessage& message) {
  uint64_t size = kEnvelopeBytes + message.data.size();
  for (const LogEntry& entry : message.entries) size += kEntryBytes + entry.payload->size();
  return size;
}

std::string EncodeRaftBatch(const std::vector<AddressedRaftMessage>& messages) {
  WireArena arena;
  millstair_RaftBatch batch = millstair_RaftBatch_init_zero;
  size_t heartbeats = 0;
  for (const auto& addressed : messages) heartbeats += IsHeartbeat(addressed.message.type) ? 1 : 0;
  batch.heartbeats = arena.NewArray<millstair_RaftHeartbeat>(heartbeats);
  batch.envelopes = arena.NewArray<millstair_RaftEnvelope>(messages.size() - heartbeats);
  for (const auto& addressed : messages) {
    if (IsHeartbeat(addressed.message.type)) {
      FillHeartbeat(addressed, batch.heartbeats[batch.heartbeats_count++]);
    } else {
      FillEnvelope(addressed, arena, batch.envelopes[batch.envelopes_count++]);
    }
  }
  return EncodeNanopb(millstair_RaftBatch_fields, &batch);
}

absl::StatusOr<std::vector<AddressedRaftMessage>> DecodeRaftBatch(std::string_view bytes) {
  auto batch = DecodedMessage<millstair_RaftBatch>::Decode(millstair_RaftBatch_fields, bytes);
  if (!batch.ok()) return batch.status();
  std::vector<AddressedRaftMessage> messages;
  messages.reserve((*batch)->heartbeats_count + (*batch)->envelopes_count);
  for (pb_size_t i = 0; i < (*batch)->envelopes_count; ++i) {
    auto message = ReadEnvelope((*batch)->envelopes[i]);
    if (!message.ok()) return message.status();
    messages.push_back(*std::move(message));
  }
  for (pb_size_t i = 0; i < (*batch)->heartbeats_count; ++i) {
    messages.push_back(ReadHeartbeat((*batch)->heartbeats[i]));
  }
  return messages;
}

std::string EncodeMembers(const std::vector<GroupMember>& members) {
  WireArena arena;
  millstair_RaftConfiguration configuration = millstair_RaftConfiguration_init_zero;
  configuration.members = arena.NewArray<millstair_RaftMember>(members.size());
  configuration.members_count = static_cast<pb_size_t>(members.size());
  for (size_t i = 0; i < members.size(); ++i) {
    millstair_RaftMember& out = configuration.members[i];
    out.replica = members[i].replica.value();
    out.node = arena.NewString(members[i].node.value());
    out.address = arena.NewString(members[i].address);
    out.voter = members[i].voter;
  }
  return EncodeNanopb(millstair_RaftConfiguration_fields, &configuration);
}

absl::StatusOr<std::vector<GroupMember>> DecodeMembers(std::string_view bytes) {
  auto configuration = DecodedMessage<millstair_RaftConfiguration>::Decode(
      millstair_RaftConfiguration_fields, bytes);
  if (!configuration.ok()) return configuration.status();
  std::vector<GroupMember> members;
  for (pb_size_t i = 0; i < (*configuration)->members_count; ++i) {
    const millstair_RaftMember& in = (*configuration)->members[i];
    members.push_back(
        {ReplicaId(in.replica), NodeId(ToString(in.node)), ToString(in.address), in.voter});
  }
  return members;
}

std::string EncodeGroupSnapshotHeader(const std::vector<GroupMember>& members) {
  const std::string encoded = EncodeMembers(members);
  std::string bytes;
  AppendInteger(bytes, static_cast<uint32_t>(encoded.size()));
  bytes += encoded;
  return bytes;
}

absl::StatusOr<GroupSnapshot> DecodeGroupSnapshot(std::string_view bytes) {
  ByteReader reader(bytes);
  const auto head_size = reader.Read<uint32_t>();
  const std::string_view head = reader.ReadBytes(head_size);
  if (!reader.ok()) return absl::DataLossError("malformed group snapshot");
  auto members = DecodeMembers(head);
  if (!members.ok()) return absl::DataLossError("malformed members in group snapshot");
  return GroupSnapshot{*std::move(members), reader.rest()};
}

}  // namespace millstair
