/// One request of a client on its way through the system: choice of a back end, further attempts,
/// time limits, and the one final answer. The whole answer of a back end is read before it is
/// passed on, so that a broken one can be replaced by another try.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/alive_flag.h"
#include "common/environment.h"
#include "common/scoped_timer.h"
#include "http/exchange.h"
#include "ingress/backend_directory.h"
#include "ingress/backend_protocol.h"
#include "ingress/forward_request.h"
#include "ingress/request_guard.h"
#include "ingress/request_watch.h"
#include "ingress/route_table.h"

namespace millstair {

enum class ForwardOutcome : uint8_t {
  kAnswered,       ///< `head` and `body` are a back end's whole answer
  kNoRoute,        ///< no route leads anywhere
  kNotConfigured,  ///< this node does not know the routes yet; not run
  kNotRun,         ///< no back end took the request, and none will
  kFailed,         ///< a back end may have run it; no whole answer came
  kTimedOut,       ///< a back end may have run it; the time is over
};

/// "answered", "not-run" and so on, for logs and metrics.
std::string_view ForwardOutcomeName(ForwardOutcome outcome);

struct ForwardResult {
  ForwardOutcome outcome = ForwardOutcome::kNotRun;
  HttpResponseHead head;
  std::string body;
  std::string signature;
  /// When the client may come back, if the request did not run.
  Duration retry_after{0};
  /// The back end that answered, or was tried last; empty if none was.
  InstanceId instance;
  /// Version and digest of the routes by which the request began; 0 if none were known.
  uint64_t routing_version = 0;
  uint64_t routing_digest = 0;
  /// Greatest age of the configuration's proof as the request was sent to a back end; none if it
  /// was not sent, or never proven.
  std::optional<Duration> confirmation_age_at_send;
  /// For the log.
  std::string reason;
  uint32_t attempts = 0;
  /// Answers of 500 among the attempts.
  uint32_t server_errors = 0;
};

/// Hears that a request of a tenant began to run at a back end, at the given time.
using RequestStartListener = std::function<void(const TenantName& tenant, TimePoint at)>;

/// Runs `work`, at once or later, when the configuration held may be gone by.
using WhenCurrent = std::function<void(std::function<void()> work)>;

/// What flows share; outlives them.
struct ForwardContext {
  Environment& environment;
  HttpCaller& http;
  BackendDirectory& directory;
  const BackendProtocol& protocol;
  RequestGuard& guard;
  /// May be empty.
  RequestStartListener on_request_started = {};
  /// Asked before each choice of a back end: a flow may have waited while its node stood still, and
  /// the back ends that it knows may have left.
  WhenCurrent when_current = [](const std::function<void()>& work) { work(); };
  /// How long ago the configuration held was last known to be the newest; none if it never was.
  std::function<std::optional<Duration>()> confirmation_age = [] {
    return std::optional<Duration>();
  };
};

/// Meters one request: it counts once, wherever and however often it ran.
class RequestMeter {
 public:
  /// `listener` outlives the meter. Requests of nobody are not metered.
  RequestMeter(const RequestStartListener& listener, const TenantName& tenant)
      : listener_(listener), tenant_(tenant) {}
  /// A back end began to run the request at `at`, or is taken to have done so.
  void RecordStart(TimePoint at) {
    if (noted_ || tenant_ == TenantName() || !listener_) return;
    noted_ = true;
    listener_(tenant_, at);
  }

 private:
  const RequestStartListener& listener_;
  const TenantName tenant_;
  bool noted_ = false;
};

/// Says that `instance` got the request at `sent_at` and gave no whole answer.
void LogLostAttempt(const ForwardContext& context, const ForwardRequest& request,
                    const RequestFingerprint& fingerprint, const InstanceId& instance,
                    TimePoint sent_at, const std::string& reason);

/// The service that one request of `route` goes to, by the weights.
ServiceName DrawService(const Route& route, Environment& environment);

/// Lives on the node's serial executor. Dropping it cancels what is under way.
class ForwardFlow {
 public:
  using Callback = std::function<void(ForwardResult)>;

  /// `done` is called once, never by the constructor, and may destroy the flow.
  ForwardFlow(ForwardContext& context, Route route, ForwardRequest request, Callback done);
  ~ForwardFlow();
  void Start();

 private:
  class Attempt;

  bool repeatable() const { return route_.kind == RouteKind::kRepeatable; }
  /// Asks the guard, then sends or waits.
  void SendIfAllowed();
  /// Back ends ended under the request: it is not sent (any more).
  void Withhold(Duration retry_after);
  /// Runs `work` when the configuration may be gone by, unless the flow has ended by then.
  void WhenCurrentAndOpen(std::function<void()> work);
  void SendAttempt();
  void SendOrWait();
  void Hedge();
  void ArmHedge();
  void OnAnswer(Attempt& attempt, const HttpResponseHead& head, std::string body);
  void OnRefused(Attempt& attempt, bool wrong_instance);
  void OnFailed(Attempt& attempt, bool unreachable, const std::string& reason);
  void EndAttempt(Attempt& attempt, BackendEnd end);
  void CancelAttempts();
  void RetryOrFail();
  void OnDeadline();
  void Finish(ForwardResult result);
  Duration TimeLeft() const;

  ForwardContext& context_;
  const Route route_;
  const ForwardRequest request_;
  Callback done_;
  TimePoint started_at_;
  TimePoint deadline_;
  std::vector<std::unique_ptr<Attempt>> attempts_;
  /// Tries that ended; kept until the flow goes, since their callbacks may be running.
  std::vector<std::unique_ptr<Attempt>> ended_attempts_;
  std::set<InstanceId> tried_;
  RequestMeter meter_;
  RequestWatch watch_;
  /// Back ends that may have run the request.
  uint32_t may_have_run_ = 0;
  uint32_t sent_ = 0;
  uint32_t server_errors_ = 0;
  std::optional<Duration> confirmation_age_at_send_;
  std::string last_reason_;
  InstanceId last_instance_;
  ScopedTimer deadline_timer_;
  ScopedTimer retry_timer_;
  ScopedTimer hedge_timer_;
  AliveFlag alive_;
};

}  // namespace millstair
