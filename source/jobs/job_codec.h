/// Codecs of api/jobs.proto: commands, queries, answers and snapshots of a job group.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "absl/status/statusor.h"
#include "jobs/job_types.h"

namespace millstair {

using JobOperation = std::variant<SubmitJob, ListResult, EndJob, AnnounceOrder, KeepProgress>;

struct JobCommand {
  JobOperation operation;
  /// Wall time of the proposing leader.
  WallTime proposed_at;
};

struct JobSnapshot {
  WallTime clock;
  std::vector<JobRecord> jobs;
  /// The latest for each engine, the oldest first.
  std::vector<AnnounceOrder> announcements;
};

std::string EncodeJobCommand(const JobCommand& command);
absl::StatusOr<JobCommand> DecodeJobCommand(std::string_view bytes);
std::string EncodeJobResultCode(JobResultCode code);
absl::StatusOr<JobResultCode> DecodeJobResultCode(std::string_view bytes);
std::string EncodeJobQuery(const JobQuery& query);
absl::StatusOr<JobQuery> DecodeJobQuery(std::string_view bytes);
std::string EncodeJobQueryAnswer(const JobQueryAnswer& answer);
absl::StatusOr<JobQueryAnswer> DecodeJobQueryAnswer(std::string_view bytes);
std::string EncodeJobSnapshot(WallTime clock, const std::map<JobId, JobRecord>& jobs,
                              const std::vector<AnnounceOrder>& announcements);
absl::StatusOr<JobSnapshot> DecodeJobSnapshot(std::string_view bytes);

}  // namespace millstair
