/// One run of an item at one engine.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "common/environment.h"
#include "common/scoped_timer.h"
#include "consensus/raft_group.h"
#include "ingress/backend_directory.h"
#include "ingress/backend_protocol.h"
#include "ingress/event_stream.h"
#include "jobs/item_progress.h"
#include "jobs/job_types.h"

namespace millstair {

enum class ItemRunEnd : uint8_t {
  kComplete,       ///< the stream ended normally
  kRefused,        ///< the engine did not run it
  kWrongInstance,  ///< another incarnation of the engine has the address
  kUnreachable,    ///< the request could not be sent
  kBroken,         ///< the stream broke or stalled
  kServerError,    ///< the engine ran it and failed
  kImpossible,     ///< the engine reports that it can never be done
  kWrongVersion,   ///< made by weights that the job does not allow
  kTooLong,        ///< the text exceeds kMaxTextBytes
};

/// Limit on the text of an item, in bytes. A complete text takes one command of the group's log,
/// whose other half is left for the versions, the score and later limits.
inline constexpr size_t kMaxTextBytes = kMaxCommandBytes / 2;

/// Name for logs and metrics, such as "whole" or "refused".
std::string_view ItemRunEndName(ItemRunEnd end);

/// Constraints on the weights that may make the text.
struct VersionRule {
  WeightVersion min_version;
  bool single_version = false;
};

struct ItemRunOptions {
  /// A run that receives no byte for this long counts as broken.
  Duration stall_timeout{0};
  VersionRule versions;
};

/// Lives on the node's serial executor. The destructor closes the connection to the engine.
class ItemRun : public HttpCallObserver {
 public:
  using Callback = std::function<void(ItemRunEnd end, const std::string& reason)>;
  /// Receives the time between two events of the run.
  using GapListener = std::function<void(const InstanceId& instance, Duration gap)>;

  /// `progress` must outlive the run, which appends to it. `done` is called once and must not
  /// destroy the run before it returns.
  ItemRun(Environment& environment, BackendDirectory& directory, const BackendProtocol& protocol,
          ItemProgress& progress, ItemRunOptions options, Callback done);
  ~ItemRun() override;
  void Start(HttpCaller& http, const BackendInstance& target, const BackendRequest& request);

  TimePoint started_at() const { return started_at_; }
  /// Time of the run's latest event; none before the first.
  std::optional<TimePoint> last_event_at() const { return last_event_at_; }
  void SetGapListener(GapListener listener) { on_gap_ = std::move(listener); }
  const BackendInstance& target() const { return target_; }
  const InstanceId& instance() const { return target_.id; }
  /// The version that the engine reported in this run; 0 if none. Other engines may have made parts
  /// of the text.
  WeightVersion named_version() const { return version_; }

  void OnHead(const HttpResponseHead& head) override;
  void OnBody(std::string bytes) override;
  void OnFinished() override;
  void OnFailed(CallFailure failure, const std::string& reason) override;

 private:
  /// False if the event ended the run.
  bool HandleEvent(const std::string& lines);
  bool VersionAllowed(WeightVersion version) const;
  void WatchForStall();
  void End(ItemRunEnd end, const std::string& reason);

  Environment& environment_;
  BackendDirectory& directory_;
  const BackendProtocol& protocol_;
  ItemProgress& progress_;
  const ItemRunOptions options_;
  Callback done_;
  BackendInstance target_;
  std::string request_id_;
  TimePoint started_at_;
  std::optional<TimePoint> last_event_at_;
  GapListener on_gap_;
  std::unique_ptr<CallHandle> handle_;
  EventStreamSplitter splitter_;
  WeightVersion version_;
  bool streaming_ = false;
  bool ended_ = false;
  ScopedTimer stall_timer_;
};

}  // namespace millstair
