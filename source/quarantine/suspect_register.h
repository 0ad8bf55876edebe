/// Interface by which nodes that send requests change the cluster's record of suspect requests.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "quarantine/suspect_request.h"

namespace millstair {

/// Called on the node's serial executor. If the outcome of a call is unknown, `done` receives false
/// after a timeout.
class SuspectRegister {
 public:
  using Done = std::function<void(bool committed)>;

  virtual ~SuspectRegister() = default;
  /// The revision at which the report was committed; none if that is unknown.
  using Reported = std::function<void(std::optional<Revision> committed_at)>;
  virtual void Report(std::vector<CrashReport> reports, Reported done) = 0;
  /// Grants a trial to one node at a time.
  virtual void BeginTrial(const RequestFingerprint& request, Revision seen, Done done) = 0;
  virtual void Clear(const RequestFingerprint& request, size_t crashes, Done done) = 0;
};

}  // namespace millstair
