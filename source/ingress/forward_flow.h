/// Forwards one client request: selects a back end, retries and hedges within the time limit, and
/// produces exactly one result. A back end's response is buffered completely before it is passed
/// on, so that an incomplete one can be replaced by a retry.
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
#include "http/response_memory.h"
#include "ingress/backend_directory.h"
#include "ingress/backend_protocol.h"
#include "ingress/forward_request.h"
#include "ingress/request_admission.h"
#include "ingress/request_guard.h"
#include "ingress/request_watch.h"
#include "ingress/route_table.h"
#include "ingress/send_bound.h"

namespace millstair {

enum class ForwardOutcome : uint8_t {
  kAnswered,       ///< `head` and `body` hold a back end's complete response
  kNoRoute,        ///< no route matches the request
  kNotConfigured,  ///< this node has not loaded the routes yet; the request did not run
  kNotRun,         ///< no back end accepted the request; it did not run and will not
  kFailed,         ///< a back end may have run it, but no complete response arrived
  kTimedOut,       ///< a back end may have run it, but the deadline passed
  kAbandoned,      ///< the client disconnected first
};

/// "answered", "not-run" and so on, for logs and metrics.
std::string_view ForwardOutcomeName(ForwardOutcome outcome);

struct ForwardResult {
  ForwardOutcome outcome = ForwardOutcome::kNotRun;
  HttpResponseHead head;
  std::string body;
  std::string signature;
  /// When the client may retry, if the request did not run.
  Duration retry_after{0};
  /// The back end that responded, or the last one tried; empty if there was none.
  InstanceId instance;
  /// Version and digest of the routes in use when the request started; 0 if none were loaded.
  uint64_t routing_version = 0;
  uint64_t routing_digest = 0;
  /// Greatest age of the configuration's last confirmation at any send; none if the request was not
  /// sent or the configuration was never confirmed.
  std::optional<Duration> confirmation_age_at_send;
  std::string reason;
  uint32_t attempts = 0;
  /// Number of attempts answered with status 500.
  uint32_t server_errors = 0;
};

/// Called when a request of a tenant starts to run at a back end, with the time of the start.
using RequestStartListener = std::function<void(const TenantName& tenant, TimePoint at)>;

/// Runs `work` as soon as the local configuration is current, which may be at once.
using WhenCurrent = std::function<void(std::function<void()> work)>;

/// Dependencies shared by all flows; outlives them.
struct ForwardContext {
  Environment& environment;
  HttpCaller& http;
  BackendDirectory& directory;
  const BackendProtocol& protocol;
  RequestGuard& guard;
  RequestStartListener on_request_started = {};
  /// Called before each choice of a back end: the node may have been paused while the flow waited,
  /// so that its list of back ends may be out of date.
  WhenCurrent when_current = [](const std::function<void()>& work) { work(); };
  /// Time since the local configuration was last confirmed as the newest; none if it never was.
  std::function<std::optional<Duration>()> confirmation_age = [] {
    return std::optional<Duration>();
  };
  /// Memory of buffered responses; null if it has no bound.
  ResponseMemory* memory = nullptr;
  /// Null where admission is off.
  AdmissionControl* admission = nullptr;
};

/// Larger responses are treated as failures.
inline constexpr size_t kMaxAnswerBytes = 32 * 1024 * 1024;

/// How long `request` may take: the limit of its route, or less if its client waits less.
Duration TimeLimit(const Route& route, const ForwardRequest& request);

/// The count of bytes held in memory; null if it has no bound.
std::shared_ptr<HeldBytes> HeldOf(const ForwardContext& context);

/// Meters a request at most once, however often it runs.
class RequestMeter {
 public:
  /// `listener` outlives the meter. Requests without a tenant are not metered.
  RequestMeter(const RequestStartListener& listener, const TenantName& tenant)
      : listener_(listener), tenant_(tenant) {}
  /// A back end started to run the request at `at`, or must be assumed to have.
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

/// Logs that `instance` received the request at `sent_at` and sent no complete response.
void LogLostAttempt(const ForwardContext& context, const ForwardRequest& request,
                    const RequestFingerprint& fingerprint, const InstanceId& instance,
                    TimePoint sent_at, const std::string& reason);

/// Selects one of the services of `route` at random by weight.
ServiceName DrawService(const Route& route, Environment& environment);

/// Lives on the node's serial executor. Destroying it cancels attempts in progress.
class ForwardFlow : private AdmittedFlow {
 public:
  using Callback = std::function<void(ForwardResult)>;

  /// `done` is called once, never from the constructor, and may destroy the flow.
  ForwardFlow(ForwardContext& context, Route route, ForwardRequest request, Callback done);
  ~ForwardFlow() override;
  void Start();
  /// The attempts so far, for the log; the other fields are unset.
  ForwardResult Progress() const;

 private:
  class Attempt;

  bool repeatable() const { return route_.kind == RouteKind::kRepeatable; }
  /// Consults the request guard, then sends the request, waits or fails it.
  void SendIfAllowed() override;
  void SendAdmitted(BackendInstance target) override;
  /// Ends a request that the guard doesn't allow to be sent.
  void Withhold(Duration retry_after);
  /// Runs `work` once the configuration is current, unless the flow has ended by then.
  void WhenCurrentAndOpen(std::function<void()> work);
  void SendAttempt();
  void SendTo(BackendInstance target);
  void SendOrWait();
  void GiveUp(Duration retry_after, std::string reason) override;
  void Hedge();
  void ArmHedge();
  void OnAnswer(Attempt& attempt, const HttpResponseHead& head, std::string body);
  void OnRefused(Attempt& attempt, bool wrong_instance);
  void OnFailed(Attempt& attempt, bool unreachable, const std::string& reason);
  void EndAttempt(Attempt& attempt, BackendEnd end);
  void CancelAttempts();
  void RetryOrFail(bool reached);
  void OnDeadline();
  void RecordAttempts(ForwardResult& result) const;
  void Finish(ForwardResult result);
  Duration TimeLeft() const;

  ForwardContext& context_;
  const Route route_;
  const ForwardRequest request_;
  Callback done_;
  TimePoint started_at_;
  TimePoint deadline_;
  std::vector<std::unique_ptr<Attempt>> attempts_;
  /// Attempts that ended; destroyed with the flow, since their callbacks may still be on the stack.
  std::vector<std::unique_ptr<Attempt>> ended_attempts_;
  SendProgress sends_;
  RequestMeter meter_;
  RequestWatch watch_;
  RequestAdmission admission_;
  SendPauses pauses_;
  /// Number of back ends that may have run the request.
  uint32_t may_have_run_ = 0;
  uint32_t server_errors_ = 0;
  std::optional<Duration> confirmation_age_at_send_;
  InstanceId last_instance_;
  ScopedTimer deadline_timer_;
  ScopedTimer retry_timer_;
  ScopedTimer hedge_timer_;
  AliveFlag alive_;
};

}  // namespace millstair
