/// Client of a job group for nodes without a replica of it. Changes go to the leader, reads to the
/// nearest replica, which confirms with the leader that it is up to date. So texts that are read
/// don't cross zones again where the own zone has a replica.
#pragma once

#include <functional>
#include <vector>

#include "absl/status/statusor.h"
#include "cluster/group_client.h"
#include "common/environment.h"
#include "common/peer_transport.h"
#include "jobs/job_codec.h"
#include "jobs/job_types.h"

namespace millstair {

struct JobClientTiming {
  /// Timeout of a change or a query.
  Duration timeout = std::chrono::milliseconds(2500);
  /// Delay before a client may retry a call that timed out.
  Duration retry_after = std::chrono::milliseconds(200);
};

/// Lives on the node's serial executor. After DeadlineExceeded the outcome of a change is unknown;
/// all calls are idempotent.
class JobClient {
 public:
  /// `for_changes` and `for_reads` return the nodes to call, in order of preference.
  JobClient(Environment& environment, PeerTransport& transport, GroupClient::Candidates for_changes,
            GroupClient::Candidates for_reads, JobClientTiming timing = {});

  Duration retry_after() const { return timing_.retry_after; }

  /// A status with RejectionRetryAfter: the job can't be served, and no item of it runs.
  void Submit(JobSpec job, std::function<void(absl::StatusOr<JobResultCode>)> done);
  void End(EndJob end, std::function<void(absl::StatusOr<JobResultCode>)> done);
  void Query(const JobQuery& query, std::function<void(absl::StatusOr<JobQueryAnswer>)> done);
  /// Handles a message of kind kCommandReply.
  void Receive(const NodeId& from, const PeerMessage& message) {
    if (!changes_.Receive(from, message)) reads_.Receive(from, message);
  }

 private:
  void Propose(JobCommand command, bool may_be_rejected,
               std::function<void(absl::StatusOr<JobResultCode>)> done);

  GroupClient changes_;
  GroupClient reads_;
  const JobClientTiming timing_;
};

}  // namespace millstair
