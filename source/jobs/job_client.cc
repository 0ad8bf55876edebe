#include "jobs/job_client.h"

#include <utility>

#include "jobs/job_group_bootstrapper.h"

namespace millstair {

JobClient::JobClient(Environment& environment, PeerTransport& transport,
                     GroupClient::Candidates for_changes, GroupClient::Candidates for_reads,
                     JobClientTiming timing)
    : changes_(environment, transport, kJobGroup, std::move(for_changes)),
      reads_(environment, transport, kJobGroup, std::move(for_reads), GroupTarget::kNearest),
      timing_(timing) {}

void JobClient::Propose(JobCommand command, bool may_be_rejected,
                        std::function<void(absl::StatusOr<JobResultCode>)> done) {
  changes_.Submit(
      CommandMode::kPropose, EncodeJobCommand(command), timing_.timeout,
      [done = std::move(done)](const absl::StatusOr<std::string>& result) {
        if (!result.ok()) return done(result.status());
        done(DecodeJobResultCode(*result));
      },
      may_be_rejected);
}

void JobClient::Submit(JobSpec job, std::function<void(absl::StatusOr<JobResultCode>)> done) {
  Propose({SubmitJob{std::move(job)}, {}}, true, std::move(done));
}

void JobClient::End(EndJob end, std::function<void(absl::StatusOr<JobResultCode>)> done) {
  Propose({std::move(end), {}}, false, std::move(done));
}

void JobClient::Query(const JobQuery& query,
                      std::function<void(absl::StatusOr<JobQueryAnswer>)> done) {
  reads_.Submit(CommandMode::kQuery, EncodeJobQuery(query), timing_.timeout,
                [done = std::move(done)](const absl::StatusOr<std::string>& result) {
                  if (!result.ok()) return done(result.status());
                  done(DecodeJobQueryAnswer(*result));
                });
}

}  // namespace millstair
