/// Serves commands and queries of other nodes for a job group. The leader executes commands, every
/// replica answers queries. A node that can't serve a call replies with the leader, if it knows
/// one.
#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "absl/status/statusor.h"
#include "cluster/control_messages.h"
#include "common/alive_flag.h"
#include "common/environment.h"
#include "common/peer_transport.h"
#include "common/scoped_timer.h"
#include "common/stats.h"
#include "consensus/raft_group.h"
#include "jobs/job_admission.h"
#include "jobs/job_state_machine.h"

namespace millstair {

struct JobServiceLimits {
  /// Time for which a rejected command is remembered, in which a delayed copy may still arrive.
  Duration rejection_retention = std::chrono::minutes(10);
  /// Bound on the remembered commands, of about 200 bytes each. Above it no job is rejected.
  size_t max_rejections = 10'000;
  /// Bound on the jobs whose proposal is in progress or failed. If there are more, no job is
  /// rejected until the next term.
  size_t max_proposals = 10'000;
  /// Bound on the memory of the items of all jobs; 0 sets none. A job that alone exceeds it is
  /// accepted while there is no other.
  size_t max_item_bytes = 0;
  /// Bound on the placeholders of jobs that were ended before they were submitted. Above it such an
  /// end is refused.
  size_t max_placeholders = 4096;
  /// Bound on the ends that this replica remembers until they are applied.
  size_t max_received_ends = 4096;
};

/// Lives on the node's serial executor.
class JobService {
 public:
  /// Why a job can't be served; none if it may be accepted. See JobScheduler::RejectionOf.
  using Admission = std::function<std::optional<JobRejection>(const JobSpec&)>;

  /// `placed_leader` returns the leader of the group according to the configuration; may be empty.
  JobService(
      Environment& environment, PeerTransport& transport,
      std::function<NodeId()> placed_leader = [] { return NodeId(); },
      StatsRegistry* stats = nullptr, JobServiceLimits limits = {});

  /// Sets the group's replica on this node; null if there is none.
  void Attach(RaftGroup* group, const JobStateMachine* state);
  /// Called on the leader for each submission whose sender handles rejections. Without it, all jobs
  /// are accepted.
  void SetAdmission(Admission admission) { admission_ = std::move(admission); }
  /// `listener` is called on the leader with each open job whose owner asks for its end, before the
  /// end is committed.
  void SetEndListener(std::function<void(const JobId&)> listener) {
    end_listener_ = std::move(listener);
  }
  /// To be called once this replica leads: proposes the ends that it has received and not applied,
  /// also those that came while another replica led.
  void ProposeReceivedEnds();
  /// Handles a message of kind kCommand for the group.
  void Receive(const NodeId& from, const PeerMessage& message);
  /// The state machine applied a change; held queries are answered from a timer.
  void OnStateChange(const JobId& job);

 private:
  using Callback = std::function<void(absl::StatusOr<std::string>)>;
  /// Identifies a command in progress, to recognize its resends.
  struct CommandKey {
    NodeId from;
    uint64_t id = 0;
    friend auto operator<=>(const CommandKey&, const CommandKey&) = default;  // NOLINT
  };
  struct HeldQuery {
    explicit HeldQuery(Environment& environment) : limit(environment) {}
    JobQuery query;
    Callback done;
    ScopedTimer limit;
  };

  /// A submission that was rejected.
  struct RememberedRejection {
    TimePoint until;
    absl::Status status;
  };

  void Propose(const CommandKey& key, const GroupCommand& command, Callback done);
  void LogEndReceived(const NodeId& from, const EndJob& end) const;
  /// An end reaches the leader also if its sender reaches only followers: they relay it, and answer
  /// once it is applied.
  void ReceiveAsFollower(const NodeId& from, const GroupCommand& group_command);
  bool HasEnded(const EndJob& end) const;
  void RememberEnd(const EndJob& end);
  void ForgetAppliedEnds();
  void RelayEnd(const NodeId& from, const EndJob& end, const GroupCommand& command);
  /// The end of a job that is unknown when it is applied is kept, so that a submission that is
  /// committed later does not run.
  void ProposeEnd(const EndJob& end, Callback done);
  void KeepEndOfUnknownJob(const EndJob& end, const Callback& done);
  bool HasRoomForPlaceholder(const EndJob& end) const;
  void ProposeCommand(JobCommand command, Callback done);
  void ProposeJob(JobCommand command, Callback done);
  /// Null if the job must or may be proposed: it is known, its proposal is in progress, or it fits.
  std::optional<JobRejection> RejectionOf(const JobSpec& job, bool lacks_memory);
  /// Rejects the submission once it is confirmed that this replica leads and has applied all
  /// earlier entries, unless the job is known or fits by then.
  void ConfirmRejection(const CommandKey& key, JobCommand command, Callback done);
  absl::Status Reject(const CommandKey& key, const JobSpec& job, const JobRejection& rejection);
  /// Whether the memory of items does not take those of a job that is new.
  bool LacksMemoryFor(const JobSpec& job) const;
  void ForgetOldRejections();
  void Query(const std::string& bytes, Callback done);
  void AnswerOrHold(const JobQuery& query, Callback done);
  JobQueryAnswer AnswerOf(const JobQuery& query) const;
  void AnswerChanged();
  /// According to the replica on this node or else the configuration; empty if unknown.
  NodeId KnownLeader() const;
  void Reply(const NodeId& to, uint64_t id, const absl::StatusOr<std::string>& result);

  Environment& environment_;
  PeerTransport& transport_;
  const std::function<NodeId()> placed_leader_;
  RaftGroup* group_ = nullptr;
  const JobStateMachine* state_ = nullptr;
  StatsRegistry* const stats_;
  const JobServiceLimits limits_;
  Admission admission_;
  std::function<void(const JobId&)> end_listener_;
  /// Ends that this replica received and has not applied, and when each may be relayed again.
  std::map<EndJob, TimePoint> received_ends_;
  /// Jobs whose placeholder is proposed.
  std::set<JobId> placeholders_in_flight_;
  /// Commands in progress, with the number of copies that arrived.
  std::map<CommandKey, size_t> running_;
  struct Proposal {
    Term term;
    size_t item_bytes = 0;
  };

  /// Jobs that were proposed, until the proposal succeeded. One that failed may still be committed.
  std::map<JobId, Proposal> proposed_;
  /// Term in which a job was proposed that is not in `proposed_`, since that was full.
  std::optional<Term> proposals_exceeded_in_;
  std::map<CommandKey, RememberedRejection> rejected_;
  std::list<HeldQuery> held_;
  std::set<JobId> changed_;
  ScopedTimer change_timer_;
  AliveFlag alive_;
};

}  // namespace millstair
