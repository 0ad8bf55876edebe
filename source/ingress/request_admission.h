/// Connects one request with the admission of its service: asks for each send, and reports how each
/// send ended.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "common/environment.h"
#include "common/scoped_timer.h"
#include "ingress/forward_request.h"
#include "ingress/route_table.h"
#include "ingress/send_bound.h"
#include "ingress/service_admission.h"

namespace millstair {

/// What a flow does next.
struct SendStep {
  enum class Kind : uint8_t {
    kSend,    ///< send to `target` now
    kWait,    ///< a callback follows
    kPause,   ///< ask again after `pause`
    kReject,  ///< end the request
  };
  Kind kind = Kind::kWait;
  std::optional<BackendInstance> target;
  Duration pause{0};
  SendRejection rejection;
};

/// Owned by a flow, which destroys it with its other members; then nothing is called any more.
class RequestAdmission {
 public:
  /// `control` is null where admission is off. `route` and `request` outlive it. The request's time
  /// began at `started_at`.
  RequestAdmission(AdmissionControl* control, Environment& environment, BackendDirectory& directory,
                   const Route& route, const ForwardRequest& request, TimePoint started_at);
  RequestAdmission(const RequestAdmission&) = delete;
  RequestAdmission& operator=(const RequestAdmission&) = delete;

  bool enabled() const { return control_ != nullptr; }
  /// The end of the request's time; to be set before the first send.
  void SetDeadline(TimePoint deadline) { deadline_ = deadline; }

  /// A part of the response was passed on: from now on the request waits for a back end until its
  /// deadline, since a rejection would lose what its caller has received.
  void OnBegun() { begun_ = true; }

  /// Called at the moment of a send, after the configuration and the guard have allowed it. If the
  /// step is to wait, either `admitted` or `rejected` is called once; after `admitted` the flow
  /// calls this again. `tried` is cleared when all back ends have been tried.
  SendStep NextSend(std::set<InstanceId>& tried, std::function<void()> admitted,
                    std::function<void(SendRejection)> rejected);
  /// The target of a hedge; nullopt if there must be none now.
  std::optional<BackendInstance> NextHedge(const std::set<InstanceId>& tried);
  /// The pause before the request is sent again, paid from the retry budget if the last send
  /// reached a back end; nullopt if the budget is used up.
  std::optional<Duration> BeginRetry(bool reached);
  /// The request has ended: it leaves the queue, and no callback follows.
  void Close();
  /// Counts a rejection that the flow decides on.
  SendRejection Reject(RejectionReason reason);

  /// A send to `instance` ended after `elapsed`, or its stream began. `status` is that of the
  /// response if it was answered.
  void RecordEnd(const InstanceId& instance, BackendEnd end, Duration elapsed, int status);

 private:
  SendDemand Demand() const;
  /// The target of the permit received in the queue; nullopt if there is none or it has ended.
  std::optional<BackendInstance> TakePermit();
  SendStep Send(BackendInstance target);
  /// Records `instance` as late once a response would be.
  void WatchTarget(const InstanceId& instance);
  SendStep RejectNow(RejectionReason reason, Duration retry_after);
  /// No back end may be used now: waits for one or gives up.
  SendStep PauseOrReject(std::set<InstanceId>& tried);
  SendStep Pause();
  /// Draws one of the route's services that have back ends; false if there is none.
  bool DrawLiveService();
  void RecordArrival();
  Duration target() const;

  AdmissionControl* const control_;
  Environment& environment_;
  BackendDirectory& directory_;
  const Route& route_;
  const ForwardRequest& request_;
  const TimePoint started_at_;
  TimePoint deadline_;
  ServiceAdmission* service_ = nullptr;
  bool arrival_recorded_ = false;
  bool begun_ = false;
  bool sent_ = false;
  int retries_ = 0;
  /// Passes over all back ends of the service that ended without a response.
  int passes_ = 0;
  SendPauses pauses_;
  /// By back end that has the request. A timer that has fired stays until the send ends.
  std::map<InstanceId, ScopedTimer> target_timers_;
  std::optional<SendPermit> permit_;
  std::unique_ptr<ServiceAdmission::Queued> queued_;
};

}  // namespace millstair
