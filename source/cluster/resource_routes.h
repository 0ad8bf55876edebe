/// Operators' routes for resources and sessions: GET, PUT, DELETE /v1/resources, POST /v1/apply,
/// POST /v1/sessions.
#pragma once

#include "cluster/cluster_replica.h"
#include "cluster/cluster_submitter.h"
#include "cluster/operators_answer.h"
#include "cluster/operators_request.h"
#include "common/alive_flag.h"

namespace millstair {

class ResourceRoutes {
 public:
  ResourceRoutes(ClusterReplica& cluster, ClusterSubmitter& submitter)
      : cluster_(cluster), submitter_(submitter) {}

  /// `path` follows /v1/resources.
  void Handle(const HttpRequest& request, const std::vector<std::string>& path,
              const SharedWriter& writer);
  void Apply(const HttpRequest& request, const SharedWriter& writer);
  void OpenSession(const SharedWriter& writer);

 private:
  void List(std::optional<ResourceKind> kind, const SharedWriter& writer);
  void Get(const ResourceKey& key, const SharedWriter& writer);
  void Put(const HttpRequest& request, const ResourceKey& key, const SharedWriter& writer);
  void Delete(const HttpRequest& request, const ResourceKey& key, const SharedWriter& writer);
  void Change(const HttpRequest& request, ClusterOperation operation, const SharedWriter& writer);

  ClusterReplica& cluster_;
  ClusterSubmitter& submitter_;
  AliveFlag alive_;
};

}  // namespace millstair
