/// Batch jobs as a node without a replica of their group sees them: typed calls, changes to the
/// leader and reads to the nearest replica, which confirms with the leader that it is up to date.
/// So texts that are read do not cross zones again where the own zone has a replica.
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
  /// Without an answer of the leader for this long a change or a query is given up.
  Duration timeout = std::chrono::milliseconds(2500);
  /// When a client may come back whose call was given up.
  Duration retry_after = std::chrono::milliseconds(200);
};

/// Lives on the node's serial executor. DeadlineExceeded leaves it unknown whether a change was
/// made; all calls bear being repeated.
class JobClient {
 public:
  /// `for_changes` and `for_reads` give the nodes to ask, the best first.
  JobClient(Environment& environment, PeerTransport& transport, GroupClient::Candidates for_changes,
            GroupClient::Candidates for_reads, JobClientTiming timing = {});

  Duration retry_after() const { return timing_.retry_after; }

  void Submit(JobSpec job, std::function<void(absl::StatusOr<JobResultCode>)> done);
  void End(EndJob end, std::function<void(absl::StatusOr<JobResultCode>)> done);
  void Query(const JobQuery& query, std::function<void(absl::StatusOr<JobQueryAnswer>)> done);
  /// Messages of kind kCommandReply.
  void Receive(const NodeId& from, const PeerMessage& message) {
    if (!changes_.Receive(from, message)) reads_.Receive(from, message);
  }

 private:
  void Propose(JobCommand command, std::function<void(absl::StatusOr<JobResultCode>)> done);

  GroupClient changes_;
  GroupClient reads_;
  const JobClientTiming timing_;
};

}  // namespace millstair
