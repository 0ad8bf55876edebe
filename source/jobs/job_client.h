/// Batch jobs as a node without a replica of their group sees them: typed calls to the leader.
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

/// Lives on the node's serial executor. DeadlineExceeded leaves it unknown whether a change was
/// made; all calls bear being repeated.
class JobClient {
 public:
  /// `storage_nodes` gives the nodes that may lead the group.
  JobClient(Environment& environment, PeerTransport& transport,
            GroupClient::Candidates storage_nodes);

  void Submit(JobSpec job, Duration timeout,
              std::function<void(absl::StatusOr<JobResultCode>)> done);
  void End(const JobId& job, Duration timeout,
           std::function<void(absl::StatusOr<JobResultCode>)> done);
  void Query(const JobQuery& query, Duration timeout,
             std::function<void(absl::StatusOr<JobQueryAnswer>)> done);
  /// Messages of kind kCommandReply.
  void Receive(const NodeId& from, const PeerMessage& message) { group_.Receive(from, message); }

 private:
  void Propose(JobCommand command, Duration timeout,
               std::function<void(absl::StatusOr<JobResultCode>)> done);

  GroupClient group_;
};

}  // namespace millstair
