#include "ingress/request_admission.h"

#include <algorithm>
#include <utility>

#include "ingress/forward_flow.h"
#include "retry/retry_policy.h"

namespace millstair {
namespace {

/// A request that finds no usable back end is given up after this share of its time limit, so that
/// the client has time to retry elsewhere.
constexpr double kGiveUpShare = 0.5;
/// A request that every back end refused or lost is given up after two passes over them.
constexpr int kMaxPasses = 2;
/// Long enough for another gateway to have a newer list of back ends.
constexpr Duration kRetryElsewhere = std::chrono::milliseconds(50);
constexpr int kServerError = 500;

}  // namespace

RequestAdmission::RequestAdmission(AdmissionControl* control, Environment& environment,
                                   BackendDirectory& directory, AdmittedFlow& flow,
                                   SendProgress& progress, const Route& route,
                                   const ForwardRequest& request, TimePoint started_at)
    : control_(control),
      environment_(environment),
      directory_(directory),
      flow_(flow),
      progress_(progress),
      route_(route),
      request_(request),
      started_at_(started_at),
      deadline_(started_at),
      pause_timer_(environment) {}

Duration RequestAdmission::target() const {
  return route_.target > Duration(0) ? route_.target : deadline_ - started_at_;
}

SendDemand RequestAdmission::Demand() const {
  SendDemand demand;
  demand.tenant = request_.tenant;
  demand.priority = route_.priority;
  demand.deadline = deadline_;
  // A caller states what is left of its time, so the time since its first call is what is missing.
  Duration before{0};
  if (request_.time_left && route_.timeout) {
    before = std::max(*route_.timeout - *request_.time_left - request_.held, Duration(0));
  }
  demand.target_at = started_at_ - request_.held - before + target();
  demand.first_attempt = before == Duration(0);
  demand.begun = begun_;
  return demand;
}

bool RequestAdmission::DrawLiveService() {
  const auto has_none = [this](const ServiceShare& share) {
    return !directory_.HasLive(share.service);
  };
  ServiceName drawn = DrawService(route_, environment_);
  if (!directory_.HasLive(drawn)) {
    Route live = route_;
    std::erase_if(live.services, has_none);
    if (live.services.empty()) return false;
    drawn = DrawService(live, environment_);
  }
  service_ = &control_->Of(drawn);
  return true;
}

void RequestAdmission::RecordArrival() {
  if (!std::exchange(arrival_recorded_, true)) service_->RecordArrival();
}

void RequestAdmission::Send() {
  if (!progress_.MaySendAgain(route_)) return GiveUp(Reject(RejectionReason::kSendLimit));
  queued_.reset();
  if (auto target = TakePermit()) return SendTo(*std::move(target));
  if (!DrawLiveService()) {
    return begun_ ? Pause(pauses_.Next(environment_.Random())) : RejectWithoutBackend();
  }
  RecordArrival();
  auto decision = service_->Request(
      Demand(), progress_.tried,
      [this](std::variant<SendPermit, SendRejection> outcome) { OnDecided(std::move(outcome)); });
  if (auto* permit = std::get_if<SendPermit>(&decision)) {
    permit->Use();
    return SendTo(permit->target());
  }
  if (auto* queued = std::get_if<std::unique_ptr<ServiceAdmission::Queued>>(&decision)) {
    queued_ = std::move(*queued);
    return;
  }
  if (auto* rejection = std::get_if<SendRejection>(&decision)) return GiveUp(*rejection);
  PauseOrReject();
}

void RequestAdmission::OnDecided(std::variant<SendPermit, SendRejection> outcome) {
  if (auto* rejection = std::get_if<SendRejection>(&outcome)) return GiveUp(*rejection);
  permit_.emplace(std::get<SendPermit>(std::move(outcome)));
  // The guard and the configuration are consulted again after the request has waited.
  flow_.SendIfAllowed();
}

void RequestAdmission::SendAgain(bool reached) {
  if (!enabled()) return flow_.SendIfAllowed();
  if (reached && !service_->SpendRetry()) return GiveUp(Reject(RejectionReason::kRetryBudget));
  Pause(JitteredBackoff(RetryTiming(), ++retries_, environment_.Random()));
}

void RequestAdmission::GiveUp(const SendRejection& rejection) {
  std::string reason(RejectionText(rejection.reason));
  if (!progress_.last_reason.empty()) reason += " (" + progress_.last_reason + ")";
  flow_.GiveUp(rejection.retry_after, std::move(reason));
}

std::optional<BackendInstance> RequestAdmission::TakePermit() {
  if (!permit_) return std::nullopt;
  // The configuration may have changed since the permit was given.
  const BackendInstance* target = directory_.FindLive(permit_->target().id);
  const bool usable = target != nullptr && directory_.ColdAllowance(target->id) > 0;
  if (!usable) {
    permit_.reset();
    return std::nullopt;
  }
  permit_->Use();
  permit_.reset();
  return *target;
}

void RequestAdmission::SendTo(BackendInstance target) {
  if (!std::exchange(sent_, true)) service_->RecordFirstSend();
  WatchTarget(target.id);
  flow_.SendAdmitted(std::move(target));
}

void RequestAdmission::WatchTarget(const InstanceId& instance) {
  const auto timer = target_timers_.try_emplace(instance, environment_).first;
  timer->second.Arm(control_->limits().LateAfter(instance, target()),
                    [this, instance] { control_->limits().RecordLate(instance); });
}

void RequestAdmission::PauseOrReject() {
  if (!begun_ && !progress_.tried.empty() && ++passes_ >= kMaxPasses) {
    progress_.tried.clear();
    return RejectWithoutBackend();
  }
  progress_.tried.clear();
  const double used = ToSeconds(environment_.Now() - started_at_);
  if (!begun_ && used >= kGiveUpShare * ToSeconds(deadline_ - started_at_)) {
    return RejectWithoutBackend();
  }
  Pause(pauses_.Next(environment_.Random()));
}

void RequestAdmission::Pause(Duration pause) {
  pause_timer_.Arm(pause, [this] { flow_.SendIfAllowed(); });
}

void RequestAdmission::RejectWithoutBackend() {
  SendRejection rejection = Reject(RejectionReason::kNoBackend);
  rejection.retry_after = kRetryElsewhere;
  GiveUp(rejection);
}

std::optional<BackendInstance> RequestAdmission::NextHedge(const std::set<InstanceId>& tried) {
  if (!DrawLiveService()) return std::nullopt;
  auto permit = service_->RequestHedge(tried);
  if (!permit) return std::nullopt;
  permit->Use();
  WatchTarget(permit->target().id);
  return permit->target();
}

void RequestAdmission::Close() {
  queued_.reset();
  permit_.reset();
  pause_timer_.Cancel();
}

SendRejection RequestAdmission::Reject(RejectionReason reason) {
  // A route without back ends may have no service with a queue yet.
  ServiceAdmission& service =
      service_ != nullptr ? *service_ : control_->Of(route_.services.front().service);
  return service.Reject(reason, deadline_, service.ClassOf(Demand()), request_.tenant);
}

void RequestAdmission::RecordEnd(const InstanceId& instance, BackendEnd end, Duration elapsed,
                                 int status) {
  if (!enabled() || service_ == nullptr) return;
  const auto timer = target_timers_.extract(instance);
  const bool late_recorded = !timer.empty() && !timer.mapped().armed();
  BackendLimits& limits = control_->limits();
  switch (end) {
    case BackendEnd::kAnswered:
      // A request that is answered with an error takes less time than the service's work.
      if (IsSuccess(status)) {
        service_->RecordResponse(elapsed, elapsed <= target());
        limits.RecordResponse(instance, elapsed);
      }
      // A server error sent quickly is no sign of capacity.
      if (!late_recorded && status != kServerError) limits.RecordInTime(instance);
      if (late_recorded) {
        limits.RecordBacklog(instance, elapsed - limits.LateAfter(instance, target()));
      }
      return;
    case BackendEnd::kRefused:
      return limits.RecordRefused(instance);
    case BackendEnd::kFailed:
      if (!late_recorded) limits.RecordLate(instance);
      return;
    // A back end that can't be reached is passed over by its ejection; it has no load to limit.
    case BackendEnd::kUnreachable:
    case BackendEnd::kWrongInstance:
    case BackendEnd::kCancelled:
      return;
  }
}

}  // namespace millstair
