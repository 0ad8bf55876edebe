/// The cluster's record of suspect requests, as a node that sends requests changes it.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "quarantine/suspect_request.h"

namespace millstair {

/// Calls on the node's serial executor. A call whose outcome is not known says false, late.
class SuspectRegister {
 public:
  /// Whether the change is committed.
  using Done = std::function<void(bool committed)>;

  virtual ~SuspectRegister() = default;
  /// The revision with which a report counts; none if it may not be committed.
  using Reported = std::function<void(std::optional<Revision> committed_at)>;
  virtual void Report(std::vector<CrashReport> reports, Reported done) = 0;
  /// Says true to one node at a time.
  virtual void BeginTrial(const RequestFingerprint& request, Revision seen, Done done) = 0;
  virtual void Clear(const RequestFingerprint& request, size_t crashes, Done done) = 0;
};

}  // namespace millstair
