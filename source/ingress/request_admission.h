/// Connects one request with the admission of its service: asks for each send, and reports how each
/// send ended.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "common/environment.h"
#include "common/scoped_timer.h"
#include "ingress/forward_request.h"
#include "ingress/route_table.h"
#include "ingress/send_bound.h"
#include "ingress/service_admission.h"

namespace millstair {

/// The sends of one request so far.
struct SendProgress {
  std::set<InstanceId> tried;
  uint32_t sent = 0;
  /// Sends of which nothing reached the back end. They are as a wait for a back end and don't count
  /// towards the bound of sends.
  uint32_t unreached = 0;
  /// Why the last send was not answered.
  std::string last_reason;

  bool MaySendAgain(const Route& route) const { return sent - unreached < MaxSends(route); }
};

/// What a flow does on behalf of its admission.
class AdmittedFlow {
 public:
  virtual ~AdmittedFlow() = default;
  /// Consults the guard and the configuration, then calls RequestAdmission::Send.
  virtual void SendIfAllowed() = 0;
  /// Sends the request to `target` now.
  virtual void SendAdmitted(BackendInstance target) = 0;
  /// Ends the request, which no back end answered. May destroy the flow.
  virtual void GiveUp(Duration retry_after, std::string reason) = 0;
};

/// Owned by a flow, which destroys it with its other members; then nothing is called any more.
class RequestAdmission {
 public:
  /// `control` is null where admission is off. `flow`, `progress`, `route` and `request` outlive
  /// it. The request's time began at `started_at`.
  RequestAdmission(AdmissionControl* control, Environment& environment, BackendDirectory& directory,
                   AdmittedFlow& flow, SendProgress& progress, const Route& route,
                   const ForwardRequest& request, TimePoint started_at);
  RequestAdmission(const RequestAdmission&) = delete;
  RequestAdmission& operator=(const RequestAdmission&) = delete;

  bool enabled() const { return control_ != nullptr; }
  /// The end of the request's time; to be set before the first send.
  void SetDeadline(TimePoint deadline) { deadline_ = deadline; }

  /// A part of the response was passed on: from now on the request waits for a back end until its
  /// deadline, since a rejection would lose what its caller has received.
  void OnBegun() { begun_ = true; }

  /// Called at the moment of a send where admission is on, after the configuration and the guard
  /// have allowed it: the flow sends the request, gives it up, or asks again after a wait.
  void Send();
  /// A back end refused or lost the request, or was not reached. The flow sends it again after a
  /// pause, paid from the retry budget if the last send reached a back end, or gives it up.
  void SendAgain(bool reached);
  /// The target of a hedge; nullopt if there must be none now.
  std::optional<BackendInstance> NextHedge(const std::set<InstanceId>& tried);
  /// The request has ended: it leaves the queue, and no callback follows.
  void Close();

  /// A send to `instance` ended after `elapsed`, or its stream began. `status` is that of the
  /// response if it was answered.
  void RecordEnd(const InstanceId& instance, BackendEnd end, Duration elapsed, int status);

 private:
  SendDemand Demand() const;
  /// The target of the permit received in the queue; nullopt if there is none or it has ended.
  std::optional<BackendInstance> TakePermit();
  void SendTo(BackendInstance target);
  /// Records `instance` as late once a response would be.
  void WatchTarget(const InstanceId& instance);
  /// Counts a rejection of a request that is not in the queue.
  SendRejection Reject(RejectionReason reason);
  void RejectWithoutBackend();
  void GiveUp(const SendRejection& rejection);
  /// The outcome of a request that waited.
  void OnDecided(std::variant<SendPermit, SendRejection> outcome);
  /// No back end may be used now: waits for one or gives up.
  void PauseOrReject();
  void Pause(Duration pause);
  /// Draws one of the route's services that have back ends; false if there is none.
  bool DrawLiveService();
  void RecordArrival();
  Duration target() const;

  AdmissionControl* const control_;
  Environment& environment_;
  BackendDirectory& directory_;
  AdmittedFlow& flow_;
  SendProgress& progress_;
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
  ScopedTimer pause_timer_;
  /// By back end that has the request. A timer that has fired stays until the send ends.
  std::map<InstanceId, ScopedTimer> target_timers_;
  std::optional<SendPermit> permit_;
  std::unique_ptr<ServiceAdmission::Queued> queued_;
};

}  // namespace millstair
