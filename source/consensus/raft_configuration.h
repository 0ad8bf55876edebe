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

/// The configuration in force is the newest one in the log, committed or not; truncation of the
/// log brings the one before back.
class ConfigurationHistory {
 public:
  const Configuration& Current() const { return history_.back(); }
  /// The configuration as of `index`.
  const Configuration& At(LogIndex index) const;
  void Add(LogIndex index, std::vector<GroupMember> members);
  /// Forgets configurations from `index` on.
  void TruncateFrom(LogIndex index);
  /// Forgets what is older than the configuration as of `index`.
  void Compact(LogIndex index);
  /// Starts anew, from a snapshot.
  void Reset(LogIndex index, std::vector<GroupMember> members);

 private:
  std::vector<Configuration> history_ = {Configuration{}};
};

}  // namespace millstair
