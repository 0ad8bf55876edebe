/// Codecs of api/jobs.proto: commands, queries, replies and snapshots of a job group.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "absl/status/statusor.h"
#include "jobs/job_types.h"

namespace millstair {

using JobOperation =
    std::variant<SubmitJob, RecordResult, EndJob, AnnounceOrder, SaveProgress, RecordEnginePaces>;

struct JobCommand {
  JobOperation operation;
  /// Wall time of the proposing leader.
  WallTime proposed_at;
};

struct SnapshotJob {
  JobRecord record;
  /// Its encoding in the snapshot; see EncodeSnapshotJob.
  std::string encoded;
};

struct JobSnapshot {
  WallTime clock;
  std::vector<SnapshotJob> jobs;
  /// The latest for each engine, oldest first.
  std::vector<AnnounceOrder> announcements;
  std::vector<EnginePace> engine_paces;
};

std::string EncodeJobCommand(const JobCommand& command);
absl::StatusOr<JobCommand> DecodeJobCommand(std::string_view bytes);
std::string EncodeJobResultCode(JobResultCode code);
absl::StatusOr<JobResultCode> DecodeJobResultCode(std::string_view bytes);
std::string EncodeJobQuery(const JobQuery& query);
absl::StatusOr<JobQuery> DecodeJobQuery(std::string_view bytes);
std::string EncodeJobQueryAnswer(const JobQueryAnswer& answer);
absl::StatusOr<JobQueryAnswer> DecodeJobQueryAnswer(std::string_view bytes);
/// A snapshot is a head followed by separately encoded jobs: an ended job never changes, so its
/// encoding is reused in later snapshots.
std::string EncodeSnapshotHead(WallTime clock, const std::vector<AnnounceOrder>& announcements,
                               const std::vector<EnginePace>& engine_paces);
std::string EncodeSnapshotJob(const JobRecord& record);
absl::StatusOr<JobSnapshot> DecodeJobSnapshot(std::string_view bytes);

}  // namespace millstair
