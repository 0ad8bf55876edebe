/// State machine of a group that stores batch jobs: the jobs and the recorded results of each, in
/// an order that never changes.
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
  /// An ended job is retained for this long after its submission, so that resends find it and its
  /// results can be read again.
  std::chrono::milliseconds retention = std::chrono::minutes(2);
  /// Maximum advance of the clock by one command.
  std::chrono::milliseconds max_clock_step = std::chrono::minutes(1);
};

enum class JobChange : uint8_t { kSubmitted, kRecorded, kEnded, kRemoved, kRestored, kAnnounced };

/// Memory that the items of a job take, without their results.
size_t MemoryOf(const JobSpec& job);

/// Deterministic. Its clock is the largest proposal time seen.
class JobStateMachine : public StateMachine {
 public:
  /// Called while an entry is applied: it must only record the change and arm timers. `job` is
  /// empty for kRestored and kAnnounced.
  using Listener = std::function<void(JobChange change, const JobId& job)>;

  explicit JobStateMachine(JobLimits limits = {}) : limits_(limits) {}

  std::string Apply(LogIndex index, std::string_view command) override;
  std::string TakeSnapshot() const override;
  SnapshotParts TakeSnapshotParts() const override;
  absl::Status Restore(LogIndex index, std::string_view snapshot) override;

  const std::map<JobId, JobRecord>& jobs() const { return jobs_; }
  const JobRecord* Find(const JobId& job) const;
  /// Sum of MemoryOf all jobs.
  size_t item_bytes() const;
  bool IsRecorded(const JobId& job, uint32_t item) const;
  /// Largest proposal time seen, limited by the step of each command; zero before the first
  /// command.
  WallTime clock() const { return clock_; }
  /// The latest order announcement for each engine, oldest first.
  const std::vector<AnnounceOrder>& announcements() const { return announcements_; }
  /// As of the latest RecordEnginePaces.
  const std::vector<EnginePace>& engine_paces() const { return engine_paces_; }
  void OnChange(Listener listener) { listener_ = std::move(listener); }

 private:
  JobResultCode Run(const SubmitJob& submit);
  JobResultCode Run(const RecordResult& record);
  JobResultCode Run(const EndJob& end);
  JobResultCode Run(const AnnounceOrder& announce);
  JobResultCode Run(const SaveProgress& save);
  JobResultCode Run(const RecordEnginePaces& record);
  /// The job is reported with its items, none of which runs.
  void ReplacePlaceholder(JobRecord& placeholder, const JobSpec& job);
  void AdvanceClock(WallTime proposed_at);
  void RemoveExpired();
  void Notify(JobChange change, const JobId& job);

  JobLimits limits_;
  WallTime clock_;
  std::map<JobId, JobRecord> jobs_;
  /// Snapshot encoding of each ended job.
  std::map<JobId, std::shared_ptr<const std::string>> ended_encoded_;
  std::vector<AnnounceOrder> announcements_;
  std::vector<EnginePace> engine_paces_;
  /// By job: whether the item of each index is recorded.
  std::map<JobId, std::vector<bool>> recorded_;
  Listener listener_;
};

}  // namespace millstair
