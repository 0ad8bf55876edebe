/// What a replica reports about elections, for the log: its own attempts that did not make it
/// leader, and the votes that it refused to others.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "common/ids.h"
#include "consensus/raft_configuration.h"
#include "storage/log_entry.h"

namespace millstair {

/// An attempt of this replica that ended without a quorum of votes.
struct FailedElection {
  bool pre_vote = false;
  Term term;
  LogPosition last;
  /// The other voters of the configuration in force here.
  std::vector<GroupMember> granted;
  std::vector<GroupMember> refused;
  std::vector<GroupMember> unanswered;
};

enum class VoteRefusal : uint8_t {
  kLiveLeader,    ///< this replica hears from a leader, or is one
  kStaleTerm,     ///< the request is for a term that this replica has left
  kAlreadyVoted,  ///< for another candidate of the term, or a leader of it is known
  kLogBehind,     ///< this replica holds entries that the candidate lacks
};

constexpr std::string_view VoteRefusalName(VoteRefusal refusal) {
  switch (refusal) {
    case VoteRefusal::kLiveLeader:
      return "live-leader";
    case VoteRefusal::kStaleTerm:
      return "stale-term";
    case VoteRefusal::kAlreadyVoted:
      return "already-voted";
    case VoteRefusal::kLogBehind:
      break;
  }
  return "log-behind";
}

/// A vote that this replica refused.
struct RefusedVote {
  bool pre_vote = false;
  Term term;
  ReplicaId candidate;
  LogPosition candidate_last;
  VoteRefusal reason = VoteRefusal::kLogBehind;
};

}  // namespace millstair
