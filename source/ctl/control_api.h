/// Client of the operators' HTTP API. Any control node can serve a request. Changes have a session
/// and a sequence number, and a change without a response is resent under the same number.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "boost/json.hpp"
#include "ctl/blocking_client.h"
#include "resources/resource.h"

namespace millstair {

struct ControlApiOptions {
  /// Control nodes' HTTP addresses, "ip:port"; tried in turn.
  std::vector<std::string> servers;
  /// Timeout of one attempt.
  Duration attempt_timeout = std::chrono::seconds(5);
  /// Timeout of a request including all retries.
  Duration timeout = std::chrono::seconds(30);
  /// Pause after all servers were tried.
  Duration retry_delay = std::chrono::milliseconds(200);
};

/// A resource to write and the version that it must replace; 0 requires absence.
struct ApplyItem {
  Resource resource;
  Revision expected;
};

/// Result of a change. `conflicting` holds the stored resources if it conflicted with other
/// changes.
struct ChangeResult {
  Revision revision;
  std::vector<Resource> conflicting;
};

struct LaggingNode {
  std::string node;
  uint64_t revision = 0;
  std::string reason;
};

/// Errors: NotFound, InvalidArgument, Aborted (conflict; message names the winner), Unavailable
/// (nobody answered), FailedPrecondition (refused, did not run), Unknown (it may have run).
class ControlApi {
 public:
  /// `sleep` waits between retries; replaced by a fake in tests.
  ControlApi(BlockingCaller& caller, ControlApiOptions options,
             std::function<void(Duration)> sleep);

  absl::StatusOr<std::vector<Resource>> List(ResourceKind kind);
  absl::StatusOr<Resource> Get(const ResourceKey& key);
  /// Atomic: applies all items or none.
  absl::StatusOr<ChangeResult> Apply(const std::vector<ApplyItem>& items);
  absl::StatusOr<ChangeResult> Delete(const ResourceKey& key, std::optional<Revision> expected);
  absl::StatusOr<boost::json::object> Status();
  /// Requests during which back ends crashed.
  absl::StatusOr<boost::json::object> Suspects();
  /// Clears a request from the list of suspects.
  absl::StatusOr<ChangeResult> LiftSuspect(const std::string& request);
  /// Zones whose back ends get no work.
  absl::StatusOr<boost::json::object> Evacuations();
  absl::StatusOr<ChangeResult> Evacuate(const std::string& zone, bool start);
  absl::StatusOr<std::vector<LaggingNode>> Lagging(Revision revision);
  /// Waits up to `wait` for a revision after `after`; returns the newest.
  absl::StatusOr<Revision> Watch(Revision after, Duration wait);
  absl::StatusOr<ChangeResult> AddReplica(const std::string& node, const std::string& address,
                                          uint64_t replica);
  absl::StatusOr<ChangeResult> RemoveReplica(const std::string& node);

 private:
  /// Retries on all servers until one returns a final response.
  absl::StatusOr<BlockingReply> Send(HttpRequest request);
  /// Sends a change under the session's next sequence number.
  absl::StatusOr<ChangeResult> Change(HttpRequest request);
  absl::StatusOr<boost::json::object> Read(const std::string& target);
  absl::Status OpenSession();

  BlockingCaller& caller_;
  ControlApiOptions options_;
  std::function<void(Duration)> sleep_;
  /// Server that responded last.
  size_t current_ = 0;
  std::string session_;
  uint64_t sequence_ = 0;
};

/// Revision in a response; 0 if there is none.
Revision RevisionOf(const boost::json::object& page);

}  // namespace millstair
