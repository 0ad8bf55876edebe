/// Operators' HTTP API of a control node: dispatches requests to routes.
#pragma once

#include "cluster/evacuation_routes.h"
#include "cluster/replica_routes.h"
#include "cluster/resource_routes.h"
#include "cluster/status_routes.h"
#include "cluster/suspect_routes.h"
#include "http/exchange.h"

namespace millstair {

class OperatorsApi : public RequestHandler {
 public:
  OperatorsApi(Environment& environment, ClusterReplica& cluster, ClusterSubmitter& submitter,
               ZoneEvacuation& evacuation)
      : resources_(cluster, submitter),
        status_(environment, cluster, submitter),
        replicas_(cluster),
        suspects_(cluster, submitter),
        evacuations_(cluster, evacuation) {}

  void Start(GroupHost& groups) { status_.Start(groups); }
  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override;
  void ConfigurationChanged() { status_.ConfigurationChanged(); }
  /// Ends long polls, for a planned shutdown.
  void Drain() { status_.EndWatches(); }

 private:
  void Watch(const OperatorsTarget& target, const SharedWriter& writer);
  /// False if the request is not for a route of evacuated zones.
  bool HandleEvacuation(const HttpRequest& request, const OperatorsTarget& target,
                        const SharedWriter& writer);
  void Lagging(const OperatorsTarget& target, const SharedWriter& writer);

  ResourceRoutes resources_;
  StatusRoutes status_;
  ReplicaRoutes replicas_;
  SuspectRoutes suspects_;
  EvacuationRoutes evacuations_;
};

}  // namespace millstair
