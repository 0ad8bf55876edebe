#include "jobs/job_client.h"

#include <utility>

#include "jobs/job_group_founder.h"

namespace millstair {

JobClient::JobClient(Environment& environment, PeerTransport& transport,
                     GroupClient::Candidates storage_nodes)
    : group_(environment, transport, kJobGroup, std::move(storage_nodes)) {}

void JobClient::Propose(JobCommand command, Duration timeout,
                        std::function<void(absl::StatusOr<JobResultCode>)> done) {
  group_.Submit(CommandMode::kPropose, EncodeJobCommand(command), timeout,
                [done = std::move(done)](const absl::StatusOr<std::string>& result) {
                  if (!result.ok()) return done(result.status());
                  done(DecodeJobResultCode(*result));
                });
}

void JobClient::Submit(JobSpec job, Duration timeout,
                       std::function<void(absl::StatusOr<JobResultCode>)> done) {
  Propose({SubmitJob{std::move(job)}, {}}, timeout, std::move(done));
}

void JobClient::End(const JobId& job, Duration timeout,
                    std::function<void(absl::StatusOr<JobResultCode>)> done) {
  Propose({EndJob{job}, {}}, timeout, std::move(done));
}

void JobClient::Query(const JobQuery& query, Duration timeout,
                      std::function<void(absl::StatusOr<JobQueryAnswer>)> done) {
  group_.Submit(CommandMode::kQuery, EncodeJobQuery(query), timeout,
                [done = std::move(done)](const absl::StatusOr<std::string>& result) {
                  if (!result.ok()) return done(result.status());
                  done(DecodeJobQueryAnswer(*result));
                });
}

}  // namespace millstair
