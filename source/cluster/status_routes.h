/// Operators' routes for the state of the fleet: GET /v1/status, /v1/revisions/{N}/lagging,
/// /v1/watch.
#pragma once

#include <map>
#include <memory>

#include "cluster/cluster_replica.h"
#include "cluster/cluster_submitter.h"
#include "cluster/operators_answer.h"
#include "cluster/operators_request.h"
#include "common/alive_flag.h"
#include "common/scoped_timer.h"

namespace millstair {

class StatusRoutes {
 public:
  StatusRoutes(Environment& environment, ClusterReplica& cluster, ClusterSubmitter& submitter)
      : environment_(environment), cluster_(cluster), submitter_(submitter) {}

  void Start(GroupHost& groups) { groups_ = &groups; }
  void Status(const SharedWriter& writer);
  void Lagging(Revision revision, const SharedWriter& writer);
  /// Responds once the local revision exceeds `after`, or after `wait`.
  void Watch(Revision after, Duration wait, const SharedWriter& writer);
  /// Must be called when the configuration has changed: ends the watches that waited for it.
  void ConfigurationChanged();
  /// Ends all watches, for a planned shutdown.
  void EndWatches();

 private:
  struct PendingWatch {
    explicit PendingWatch(Environment& environment) : timer(environment) {}
    Revision after;
    SharedWriter writer;
    ScopedTimer timer;
  };

  void EndWatch(uint64_t id);

  Environment& environment_;
  ClusterReplica& cluster_;
  ClusterSubmitter& submitter_;
  GroupHost* groups_ = nullptr;
  std::map<uint64_t, std::unique_ptr<PendingWatch>> watches_;
  uint64_t next_watch_ = 0;
  bool ending_ = false;
  AliveFlag alive_;
};

}  // namespace millstair
