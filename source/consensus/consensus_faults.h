/// Switches that break consensus on purpose. Only tests and the simulator set them, to show that
/// their checks catch each of these faults.
#pragma once

namespace millstair {

struct ConsensusFaults {
  /// Votes leave before they are durable.
  bool vote_not_synced = false;
  /// Followers acknowledge entries, and leaders count their own, before they are durable.
  bool ack_before_sync = false;
  /// A leader answers reads without confirming that it still leads.
  bool read_without_confirmation = false;
  /// A follower answers reads from what it knows without asking the leader.
  bool local_follower_reads = false;
  /// Membership changes skip the quorum and one-at-a-time rules.
  bool unchecked_membership_change = false;
  /// Votes are granted to candidates whose log is behind.
  bool vote_without_log_check = false;
  /// A leader counts replicas of entries of earlier terms as committed.
  bool commit_earlier_terms = false;
  /// Learners count towards the quorum.
  bool count_learners = false;
};

}  // namespace millstair
