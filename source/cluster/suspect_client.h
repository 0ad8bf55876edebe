/// Changes the cluster's record of suspect requests through the node's cluster group client.
#pragma once

#include <vector>

#include "cluster/cluster_commands.h"
#include "cluster/group_client.h"
#include "quarantine/suspect_register.h"

namespace millstair {

/// Lives on the node's serial executor; `cluster` must outlive it.
class SuspectClient : public SuspectRegister {
 public:
  explicit SuspectClient(GroupClient& cluster) : cluster_(cluster) {}

  void Report(std::vector<CrashReport> reports, Reported done) override;
  void BeginTrial(const RequestFingerprint& request, Revision seen, Done done) override;
  void Clear(const RequestFingerprint& request, size_t crashes, Done done) override;

 private:
  /// `done` gets the revision of a change that was committed and accepted, otherwise nullopt.
  void Submit(ClusterOperation operation, Duration timeout, Reported done);

  GroupClient& cluster_;
};

}  // namespace millstair
