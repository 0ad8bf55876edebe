/// State machine of a group that keeps batch jobs: which jobs there are and the listed results of
/// each, in an order that never changes.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "consensus/state_machine.h"
#include "jobs/job_codec.h"
#include "jobs/job_types.h"

namespace millstair {

struct JobLimits {
  /// An ended job is remembered for this long after it was submitted, so that a resend of it is
  /// answered and its results can be read again.
  std::chrono::milliseconds retention = std::chrono::minutes(2);
  /// The clock moves at most this far with one command.
  std::chrono::milliseconds max_clock_step = std::chrono::minutes(1);
};

/// What the application of a command changed.
enum class JobChange : uint8_t {
  kSubmitted,
  kRecorded,
  kEnded,
  kRemoved,
  kRestored,
  kOrderAnnounced
};

/// Deterministic. Its clock is the largest proposal time seen.
class JobStateMachine : public StateMachine {
 public:
  /// Called while an entry is applied: only notes and arms timers. `job` is empty for kRestored and
  /// kOrderAnnounced.
  using Listener = std::function<void(JobChange change, const JobId& job)>;

  explicit JobStateMachine(JobLimits limits = {}) : limits_(limits) {}

  std::string Apply(LogIndex index, std::string_view command) override;
  std::string TakeSnapshot() const override;
  SnapshotParts TakeSnapshotParts() const override;
  absl::Status Restore(LogIndex index, std::string_view snapshot) override;

  const std::map<JobId, JobRecord>& jobs() const { return jobs_; }
  /// Null if there is no such job.
  const JobRecord* Find(const JobId& job) const;
  bool IsRecorded(const JobId& job, uint32_t item) const;
  /// The latest announcement of an order to each engine, the oldest first.
  const std::vector<AnnounceOrder>& announcements() const { return announcements_; }
  void OnChange(Listener listener) { listener_ = std::move(listener); }

 private:
  JobResultCode Run(const SubmitJob& submit);
  JobResultCode Run(const RecordResult& record);
  JobResultCode Run(const EndJob& end);
  JobResultCode Run(const AnnounceOrder& announce);
  JobResultCode Run(const SaveProgress& keep);
  void AdvanceClock(WallTime proposed_at);
  void RemoveExpired();
  void Notify(JobChange change, const JobId& job);

  JobLimits limits_;
  WallTime clock_;
  std::map<JobId, JobRecord> jobs_;
  /// Of each ended job, how it stands in a snapshot.
  std::map<JobId, std::shared_ptr<const std::string>> ended_encoded_;
  std::vector<AnnounceOrder> announcements_;
  /// By job, whether the item of that index is listed.
  std::map<JobId, std::vector<bool>> recorded_;
  Listener listener_;
};

}  // namespace millstair
