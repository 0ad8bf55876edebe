/// Encoding of Raft messages, member lists and snapshots.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "consensus/raft_group.h"
#include "consensus/raft_messages.h"

namespace millstair {

/// Numeric key that identifies a group in heartbeats.
uint64_t GroupKey(const GroupId& group);

/// A message with its group. `group` is empty in decoded heartbeats, which carry only the key.
struct AddressedRaftMessage {
  GroupId group;
  uint64_t group_key = 0;
  RaftMessage message;
};

/// Estimated size of `message` in a batch.
uint64_t EncodedSize(const RaftMessage& message);
std::string EncodeRaftBatch(const std::vector<AddressedRaftMessage>& messages);
/// InvalidArgument if any message of the batch is malformed.
absl::StatusOr<std::vector<AddressedRaftMessage>> DecodeRaftBatch(std::string_view bytes);

std::string EncodeMembers(const std::vector<GroupMember>& members);
absl::StatusOr<std::vector<GroupMember>> DecodeMembers(std::string_view bytes);

/// Contents of a group's snapshot: its members and the state machine's snapshot.
struct GroupSnapshot {
  std::vector<GroupMember> members;
  std::string_view state;
};
/// Encodes the part of a group's snapshot that precedes the state machine's snapshot.
std::string EncodeGroupSnapshotHeader(const std::vector<GroupMember>& members);
/// The result points into `bytes`.
absl::StatusOr<GroupSnapshot> DecodeGroupSnapshot(std::string_view bytes);

}  // namespace millstair
