/// Member lists of a group and their history in the log.
#pragma once

#include <vector>

#include "common/ids.h"
#include "consensus/raft_group.h"

namespace millstair {

/// The members at one point of the log, sorted by replica.
struct Configuration {
  LogIndex index;
  std::vector<GroupMember> members;

  const GroupMember* Find(ReplicaId replica) const;
  bool IsVoter(ReplicaId replica) const;
  size_t VoterCount() const;
  size_t Quorum() const { return VoterCount() / 2 + 1; }
};

/// The current configuration is the newest one in the log, committed or not; truncating the log
/// reverts to the previous one.
class ConfigurationHistory {
 public:
  const Configuration& Current() const { return history_.back(); }
  /// The configuration as of `index`.
  const Configuration& At(LogIndex index) const;
  void Add(LogIndex index, std::vector<GroupMember> members);
  /// Removes configurations at and after `index`.
  void TruncateFrom(LogIndex index);
  /// Removes configurations older than the one as of `index`.
  void Compact(LogIndex index);
  /// Replaces the history with the configuration of a snapshot.
  void Reset(LogIndex index, std::vector<GroupMember> members);

 private:
  std::vector<Configuration> history_ = {Configuration{}};
};

}  // namespace millstair
