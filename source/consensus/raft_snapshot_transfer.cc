/// Snapshot transfer to a follower whose next entry was already compacted.
#include <algorithm>
#include <utility>

#include "consensus/raft_core.h"

namespace millstair {

void RaftCore::SendSnapshotChunk(ReplicaId to, Progress& progress) {
  if (progress.snapshot != log_.snapshot()) progress.BeginSnapshot(log_.snapshot(), now_);
  auto bytes = log_.ReadSnapshotBytes(progress.snapshot_offset, options_.snapshot_chunk_bytes);
  if (!bytes.ok()) {
    read_error_ = bytes.status();
    return;
  }
  RaftMessage message = MakeMessage(RaftMessageType::kSnapshotChunk, to);
  message.position = progress.snapshot;
  message.offset = progress.snapshot_offset;
  message.total = log_.snapshot_file_bytes();
  message.data = *std::move(bytes);
  progress.chunk_sent = now_;
  Send(std::move(message));
}

void RaftCore::HandleSnapshotChunk(RaftMessage message) {
  if (IsLeader()) return;
  OnLeaderMessage(message.from);
  if (installing_) return;
  if (message.position.index <= commit_) {
    RaftMessage reply = MakeMessage(RaftMessageType::kAppendReply, message.from);
    reply.position.index = commit_;
    return SendDurable(std::move(reply));
  }
  if (message.position != incoming_position_) {
    incoming_position_ = message.position;
    incoming_bytes_.clear();
  }
  if (message.offset == incoming_bytes_.size()) incoming_bytes_ += message.data;
  RaftMessage reply = MakeMessage(RaftMessageType::kSnapshotReply, message.from);
  reply.position = message.position;
  reply.offset = incoming_bytes_.size();
  Send(std::move(reply));
  if (incoming_bytes_.size() != message.total) return;
  installing_ = true;
  received_ = ReceivedSnapshot{incoming_position_, std::exchange(incoming_bytes_, {})};
  incoming_position_ = {};
}

void RaftCore::HandleSnapshotReply(const RaftMessage& message) {
  if (!IsLeader()) return;
  const auto it = progress_.find(message.from);
  if (it == progress_.end()) return;
  Progress& progress = it->second;
  progress.RecordActivity(now_);
  if (progress.state() != ProgressState::kSnapshot || message.position != progress.snapshot) return;
  if (message.offset == progress.snapshot_offset) return;
  progress.snapshot_offset = std::min(message.offset, log_.snapshot_file_bytes());
  progress.chunk_sent = now_;
  // All chunks were received; the follower acknowledges the position after the installation.
  if (progress.snapshot_offset == log_.snapshot_file_bytes()) {
    progress.snapshot_offset = 0;
    return;
  }
  SendSnapshotChunk(message.from, progress);
}

void RaftCore::SnapshotInstalled(const LogPosition& position, std::vector<GroupMember> members) {
  installing_ = false;
  SetCommit(position.index);
  configurations_.Reset(position.index, std::move(members));
  // Entries after the snapshot may remain in the log.
  if (absl::Status status = LoadConfigurations(configurations_.Current().members); !status.ok()) {
    configurations_incomplete_ = true;
    read_error_ = status;
    return;
  }
  if (leader_ == ReplicaId() || IsLeader()) return;
  RaftMessage reply = MakeMessage(RaftMessageType::kAppendReply, leader_);
  reply.position.index = position.index;
  SendDurable(std::move(reply));
}

}  // namespace millstair
