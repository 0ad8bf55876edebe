/// The operators' HTTP API as seen by a client: any control node answers, changes carry a session
/// and a number, and a change whose answer was lost is sent again under the same number.
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
  /// For one try.
  Duration attempt_timeout = std::chrono::seconds(5);
  /// For a request with all its resends.
  Duration timeout = std::chrono::seconds(30);
  /// Pause after all servers were tried.
  Duration retry_delay = std::chrono::milliseconds(200);
};

/// A resource to write and the version it must replace; 0 demands absence.
struct ApplyItem {
  Resource resource;
  Revision expected;
};

/// Answer to a change. `conflicting` is set when it lost against others.
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
  /// `sleep` waits between rounds; tests put a fake in its location.
  ControlApi(BlockingCaller& caller, ControlApiOptions options,
             std::function<void(Duration)> sleep);

  absl::StatusOr<std::vector<Resource>> List(ResourceKind kind);
  absl::StatusOr<Resource> Get(const ResourceKey& key);
  /// All or none.
  absl::StatusOr<ChangeResult> Apply(const std::vector<ApplyItem>& items);
  absl::StatusOr<ChangeResult> Delete(const ResourceKey& key, std::optional<Revision> expected);
  absl::StatusOr<boost::json::object> Status();
  /// Requests under which back ends ended.
  absl::StatusOr<boost::json::object> Suspects();
  /// Lifts what is held against one of them.
  absl::StatusOr<ChangeResult> LiftSuspect(const std::string& request);
  /// Zones whose back ends get nothing.
  absl::StatusOr<boost::json::object> Evacuations();
  absl::StatusOr<ChangeResult> Evacuate(const std::string& zone, bool start);
  absl::StatusOr<std::vector<LaggingNode>> Lagging(Revision revision);
  /// Waits up to `wait` for a revision after `after`; gives the newest.
  absl::StatusOr<Revision> Watch(Revision after, Duration wait);
  absl::StatusOr<ChangeResult> AddReplica(const std::string& node, const std::string& address,
                                          uint64_t replica);
  absl::StatusOr<ChangeResult> RemoveReplica(const std::string& node);

 private:
  /// Sends until some server gives a final answer.
  absl::StatusOr<BlockingReply> Send(HttpRequest request);
  /// The same for a change, under the session's next number.
  absl::StatusOr<ChangeResult> Change(HttpRequest request);
  absl::StatusOr<boost::json::object> Read(const std::string& target);
  absl::Status OpenSession();

  BlockingCaller& caller_;
  ControlApiOptions options_;
  std::function<void(Duration)> sleep_;
  /// Server that answered last.
  size_t current_ = 0;
  std::string session_;
  uint64_t sequence_ = 0;
};

/// Newest revision named by a status page; 0 if none.
Revision RevisionOf(const boost::json::object& page);

}  // namespace millstair
