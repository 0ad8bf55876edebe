/// Injected consensus faults. Set only by tests and the simulator, to verify that their checks
/// detect each fault.
#pragma once

namespace millstair {

struct ConsensusFaults {
  /// Votes are sent before they are durable.
  bool vote_not_synced = false;
  /// Followers acknowledge entries, and leaders count their own copy, before they are durable.
  bool ack_before_sync = false;
  /// A leader serves reads without confirming its leadership.
  bool read_without_confirmation = false;
  /// A follower serves reads at its own commit index without a request to the leader.
  bool local_follower_reads = false;
  /// Membership changes skip the quorum check and may overlap.
  bool unchecked_membership_change = false;
  /// Votes are granted to candidates whose log is not up to date.
  bool vote_without_log_check = false;
  /// A leader commits entries of earlier terms by counting replicas.
  bool commit_earlier_terms = false;
  /// Learners count towards the quorum.
  bool count_learners = false;
};

}  // namespace millstair
