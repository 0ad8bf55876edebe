#include "ingress/service_admission.h"

#include <algorithm>
#include <utility>

#include "common/random.h"

namespace millstair {
namespace {

/// Bounds the memory of a queue; its order is computed anew for each request that has to wait.
constexpr size_t kMaxQueued = 256;
/// Longest time between two looks at a queue: the limits change with each response.
constexpr Duration kProcessInterval = std::chrono::milliseconds(10);
constexpr Duration kMinProcessInterval = std::chrono::milliseconds(1);
/// Floor of each back end's limit, as a share of the gateway's own demand. The floors of all
/// gateways add up to this share of the whole demand, retries included: 30 of 1200 requests a
/// second, half of what a back end of six slots answers that takes 120 ms for each, so that no
/// queue stays there.
constexpr double kFloorShare = 0.025;
/// The window of the demand matches the one of the limits.
constexpr Duration kDemandWindow = std::chrono::seconds(1);
/// Limits are needed while this part of the requests has to wait for them or is rejected. At a
/// lower one the demand is below the limits, and random arrivals meet empty ones now and then.
constexpr double kDeniedShare = 0.2;
/// Shorter than the time after which a calm limit ends: what a burst was denied must not count when
/// the burst is over.
constexpr Duration kDeniedWindow = std::chrono::milliseconds(250);
/// Holds a few requests of a tenant that sends one a second.
constexpr Duration kTenantDemandWindow = std::chrono::seconds(3);
constexpr double kResponseSmoothing = 0.1;
/// Even a refusal takes this long. A request sent later would end without one at its deadline, as
/// one that may have run.
constexpr Duration kMinResponseTime = std::chrono::milliseconds(10);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);
/// Callers wait for Retry-After up to this share of their remaining time.
constexpr int kRetryAfterShare = 3;
/// Part of the time that a retry may use up on its caller's side and still meet its target. The
/// rest is for its way to another gateway and its wait there.
constexpr double kRetryInTargetShare = 0.4;
/// Spreads retries, so that rejected callers don't return all at once.
constexpr double kRetryAfterSpread = 0.5;
/// Keeps forecasts finite while nothing drains.
constexpr double kMinDrainPerSecond = 0.01;
/// Part of the sends that is assumed to be left to tenants that take none in advance.
constexpr double kMinShareAboveMean = 0.25;
/// Stands for a back end without a limit; nothing waits then.
constexpr double kUnlimitedPerSecond = 1e9;

}  // namespace

std::string_view RejectionReasonName(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::kQueueFull:
      return "queue-full";
    case RejectionReason::kCannotBeInTime:
      return "cannot-be-in-time";
    case RejectionReason::kStandingQueue:
      return "standing-queue";
    case RejectionReason::kNoBackend:
      return "no-back-end";
    case RejectionReason::kRetryBudget:
      return "retry-budget";
    case RejectionReason::kSendLimit:
      break;
  }
  return "send-limit";
}

std::string_view RejectionText(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::kQueueFull:
      return "overloaded: the queue for the service is full";
    case RejectionReason::kCannotBeInTime:
      return "overloaded: the request could not be answered in time";
    case RejectionReason::kStandingQueue:
      return "overloaded: the request would miss the target behind others";
    case RejectionReason::kNoBackend:
      return "no back end is available";
    case RejectionReason::kRetryBudget:
      return "overloaded: the retry budget of the service is used up";
    case RejectionReason::kSendLimit:
      break;
  }
  return "the request was sent as often as it may be";
}

SendPermit::SendPermit(BackendLimits& limits, BackendInstance target)
    : limits_(&limits), target_(std::move(target)) {}

SendPermit::SendPermit(SendPermit&& other) noexcept
    : limits_(std::exchange(other.limits_, nullptr)), target_(std::move(other.target_)) {}

SendPermit::~SendPermit() {
  if (limits_ != nullptr) limits_->Return(target_.id);
}

AdmissionStats::AdmissionStats(StatsRegistry* registry) : registry(registry) {
  if (registry == nullptr) return;
  queued = &registry->NewGauge(
      {"millstair_admission_queued", "Requests that wait for an overloaded service.", "", ""});
  wait_seconds =
      &registry->NewHistogram({"millstair_admission_wait_seconds",
                               "Time that requests waited for an overloaded service before they "
                               "were sent or rejected.",
                               "", ""});
}

void AdmissionStats::CountRejection(RejectionReason reason) {
  if (registry == nullptr) return;
  registry
      ->NewCounter({"millstair_admission_rejected_total",
                    "Requests that were not sent to an overloaded service, by reason.", "reason",
                    std::string(RejectionReasonName(reason))})
      .Add();
}

ServiceAdmission::Queued::~Queued() { admission_.Withdraw(*this); }

ServiceAdmission::ServiceAdmission(Environment& environment, BackendDirectory& directory,
                                   BackendLimits& limits, AdmissionStats& stats,
                                   ServiceName service)
    : environment_(environment),
      directory_(directory),
      limits_(limits),
      stats_(stats),
      service_(std::move(service)),
      queue_(kMaxQueued),
      arrivals_(kDemandWindow),
      asked_(kDeniedWindow),
      denied_(kDeniedWindow),
      in_time_arrivals_(kDemandWindow),
      demand_(kTenantDemandWindow),
      process_timer_(environment) {}

ServiceAdmission::Decision ServiceAdmission::Request(const SendDemand& demand,
                                                     const std::set<InstanceId>& excluded,
                                                     Callback later) {
  if (directory_.Candidates(service_, excluded).empty()) return NoCandidate{};
  const FairQueue::Entry entry{demand.priority, demand.tenant.value(), demand.deadline,
                               ClassOf(demand)};
  const TimePoint now = environment_.Now();
  if (entry.target_class == TargetClass::kInTime) in_time_arrivals_.Record(entry.tenant, now);
  demand_.Record(entry.tenant, now);
  asked_.Add(now);
  const FairQueue::Place place = queue_.empty() ? FairQueue::Place{} : queue_.PlaceOf(entry);
  if (auto permit = TryArrived(entry, excluded, place.ahead)) {
    queue_.RecordServed(entry.priority, entry.tenant, entry.target_class);
    return *std::move(permit);
  }
  RecordDenied(excluded);
  return QueueOrReject(demand, excluded, entry, place, std::move(later));
}

std::optional<SendPermit> ServiceAdmission::TryArrived(const FairQueue::Entry& entry,
                                                       const std::set<InstanceId>& excluded,
                                                       size_t ahead) {
  // Requests may wait behind it although a send is allowed, see SendsFor.
  if (ahead == 0) {
    if (auto permit = TryPermit(excluded, SendsFor(entry))) return permit;
  }
  if (!MayTakeAdvance(entry)) return std::nullopt;
  if (auto permit = TryPermit(excluded, Sends::kAll)) return permit;
  return TryPermit(excluded, Sends::kAdvance);
}

bool ServiceAdmission::MayTakeAdvance(const FairQueue::Entry& entry) const {
  const auto next = queue_.Next();
  if (next && queue_.Get(*next).priority < entry.priority) return false;
  return demand_.IsBelowMean(entry.tenant, environment_.Now());
}

ServiceAdmission::Decision ServiceAdmission::QueueOrReject(const SendDemand& demand,
                                                           const std::set<InstanceId>& excluded,
                                                           FairQueue::Entry entry,
                                                           FairQueue::Place place, Callback later) {
  const TargetClass target_class = entry.target_class;
  auto reason = Judge(demand, target_class, place);
  if (!reason && target_class == TargetClass::kInTime && !MeetsTarget(demand, place.ahead)) {
    entry.target_class = TargetClass::kLate;
    reason = Judge(demand, TargetClass::kLate, queue_.PlaceOf(entry));
  }
  if (reason) return Reject(*reason, demand, target_class);
  auto queued = Enqueue(demand, excluded, entry, std::move(later));
  if (queued == nullptr) return Reject(RejectionReason::kQueueFull, demand, target_class);
  return queued;
}

std::unique_ptr<ServiceAdmission::Queued> ServiceAdmission::Enqueue(
    const SendDemand& demand, const std::set<InstanceId>& excluded, const FairQueue::Entry& entry,
    Callback later) {
  const auto id = queue_.Push(entry);
  if (!id) return nullptr;
  std::unique_ptr<Queued> queued(new Queued(*this, demand, excluded, std::move(later)));
  queued->entry_ = *id;
  queued->queued_at_ = environment_.Now();
  waiting_.emplace(*id, queued.get());
  AddToGauge(1);
  ArmProcess();
  return queued;
}

ServiceAdmission::Sends ServiceAdmission::SendsFor(const FairQueue::Entry& entry) const {
  const bool in_time = entry.target_class == TargetClass::kInTime;
  if (in_time || queue_.Waiting(TargetClass::kInTime) > 0) return Sends::kAll;
  return UsesShareOfInTime(entry.tenant, DrainPerSecond()) ? Sends::kSpare : Sends::kAll;
}

bool ServiceAdmission::AllowsSend(SendRateLimit& limit, Sends sends, TimePoint now) {
  switch (sends) {
    case Sends::kAdvance:
      return limit.AllowsAdvance(now);
    case Sends::kAll:
      return limit.Allows(now);
    case Sends::kSpare:
      break;
  }
  return limit.AllowsSpare(now);
}

std::optional<SendPermit> ServiceAdmission::TryPermit(const std::set<InstanceId>& excluded,
                                                      Sends sends) {
  const TimePoint now = environment_.Now();
  const double floor = kFloorShare * arrivals_.PerSecond(now);
  std::vector<BackendCandidate> allowed;
  for (const BackendCandidate& candidate : directory_.Candidates(service_, excluded)) {
    SendRateLimit& limit = limits_.Of(candidate.record->id);
    limit.SetFloor(floor, now);
    if (AllowsSend(limit, sends, now)) allowed.push_back(candidate);
  }
  if (allowed.empty()) return std::nullopt;
  const BackendInstance& target = directory_.CheapestOf(std::move(allowed));
  limits_.Of(target.id).Take(now);
  return SendPermit(limits_, target);
}

void ServiceAdmission::RecordDenied(const std::set<InstanceId>& excluded) {
  const TimePoint now = environment_.Now();
  denied_.Add(now);
  if (denied_.Count(now) < kDeniedShare * asked_.Count(now)) return;
  // Requests that are kept from one back end go to the others, so that the end of another limit
  // would let all of them through at once.
  for (const BackendCandidate& candidate : directory_.Candidates(service_, excluded)) {
    limits_.Of(candidate.record->id).RecordDenied(now);
  }
}

std::optional<SendPermit> ServiceAdmission::RequestHedge(const std::set<InstanceId>& excluded) {
  std::vector<BackendCandidate> candidates = directory_.Candidates(service_, excluded);
  for (const BackendInstance* instance : directory_.Live(service_)) {
    // A back end that was ejected is out of reach, not overloaded; its limit must not keep requests
    // from being hedged to those that respond.
    if (limits_.Limited(instance->id) && !directory_.Ejected(instance->id)) return std::nullopt;
  }
  if (candidates.empty() || !budget_.Spend()) return std::nullopt;
  const BackendInstance& target = directory_.CheapestOf(std::move(candidates));
  limits_.Of(target.id).Take(environment_.Now());
  return SendPermit(limits_, target);
}

double ServiceAdmission::DrainPerSecond() const {
  double sum = 0;
  for (const BackendCandidate& candidate : directory_.Candidates(service_, {})) {
    const SendRateLimit& limit = limits_.Of(candidate.record->id);
    if (!limit.limited()) return kUnlimitedPerSecond;
    sum += limit.PerSecond(environment_.Now());
  }
  return std::max(sum, kMinDrainPerSecond);
}

bool ServiceAdmission::UsesShareOfInTime(const std::string& tenant, double drain) const {
  const double in_time = in_time_arrivals_.PerSecond(tenant, environment_.Now());
  if (in_time <= 0) return false;
  const auto tenants = static_cast<double>(in_time_arrivals_.size());
  return in_time >= ShareOf(TargetClass::kInTime) * drain / tenants;
}

double ServiceAdmission::LateDrainPerSecond(const std::string& tenant) const {
  const double drain = DrainPerSecond();
  // The late requests of such a tenant leave no sends to requests in time, see SendsFor.
  if (!UsesShareOfInTime(tenant, drain)) return drain;
  const double in_time = in_time_arrivals_.SumPerSecond(environment_.Now());
  return std::max(ShareOf(TargetClass::kLate) * drain, drain - in_time);
}

Duration ServiceAdmission::ExpectedLateWait(const std::string& tenant,
                                            const FairQueue::Place& place) const {
  const auto late_sends = static_cast<double>(place.late_ahead + 1);
  const double after_late = late_sends / LateDrainPerSecond(tenant);
  return std::max(FromSeconds(after_late), ExpectedWait(tenant, place.ahead + 1));
}

Duration ServiceAdmission::ExpectedWait(const std::string& tenant, size_t ahead) const {
  const Duration next = UntilNextSend();
  if (ahead == 0 && next == Duration(0)) return next;
  const TimePoint now = environment_.Now();
  const double drain = DrainPerSecond();
  const double behind = ToSeconds(next) + static_cast<double>(ahead) / drain;
  if (demand_.IsBelowMean(tenant, now)) return FromSeconds(behind);
  // Requests of other tenants that take sends in advance arrive meanwhile.
  const double left = std::max(drain - demand_.SumBelowMean(now), kMinShareAboveMean * drain);
  return FromSeconds(behind * drain / left);
}

std::optional<Duration> ServiceAdmission::UntilAnyAllows() const {
  std::optional<Duration> next;
  for (const BackendCandidate& candidate : directory_.Candidates(service_, {})) {
    const Duration wait = limits_.Of(candidate.record->id).UntilAllowed(environment_.Now());
    next = std::min(next.value_or(wait), wait);
  }
  return next;
}

Duration ServiceAdmission::UntilNextSend() const {
  // Asked for each request; the list of the candidates takes longer.
  if (!limits_.AnyLimited()) return Duration(0);
  return UntilAnyAllows().value_or(Duration(0));
}

Duration ServiceAdmission::ExpectedDrain(const std::string& tenant,
                                         TargetClass target_class) const {
  const bool in_time = target_class == TargetClass::kInTime;
  const bool shared = queue_.Waiting(in_time ? TargetClass::kLate : TargetClass::kInTime) > 0;
  const bool leaves_sends = !in_time && !shared;
  const double share = shared ? ShareOf(target_class) : 1;
  const double drain = leaves_sends ? LateDrainPerSecond(tenant) : share * DrainPerSecond();
  return FromSeconds(static_cast<double>(queue_.Waiting(target_class) + 1) / drain);
}

bool ServiceAdmission::MeetsTarget(const SendDemand& demand, size_t ahead) const {
  if (demand.begun) return true;
  return environment_.Now() + ExpectedWait(demand.tenant.value(), ahead) +
             FromSeconds(in_time_response_seconds_) <=
         demand.target_at;
}

TargetClass ServiceAdmission::ClassOf(const SendDemand& demand) const {
  return MeetsTarget(demand, 0) ? TargetClass::kInTime : TargetClass::kLate;
}

std::optional<RejectionReason> ServiceAdmission::Judge(const SendDemand& demand,
                                                       TargetClass target_class,
                                                       const FairQueue::Place& place) const {
  const TimePoint now = environment_.Now();
  const Duration response = std::max(FromSeconds(response_seconds_), kMinResponseTime);
  const bool in_late_class = target_class == TargetClass::kLate;
  const Duration wait = in_late_class ? ExpectedLateWait(demand.tenant.value(), place)
                                      : ExpectedWait(demand.tenant.value(), place.ahead);
  const TimePoint answered_at = now + wait + response;
  if (answered_at > demand.deadline) return RejectionReason::kCannotBeInTime;
  if (demand.begun) return std::nullopt;
  const bool late = demand.first_attempt && !MeetsTarget(demand, place.ahead);
  if (late && now + ExpectedWait(demand.tenant.value(), queue_.size()) > demand.target_at) {
    return RejectionReason::kStandingQueue;
  }
  return std::nullopt;
}

SendRejection ServiceAdmission::Reject(RejectionReason reason, const SendDemand& demand,
                                       TargetClass target_class) {
  SendRejection rejection = Reject(reason, demand.deadline, target_class, demand.tenant);
  const Duration latest = LatestRetryInTarget(demand);
  if (latest > kMinRetryAfter && latest < rejection.retry_after) {
    // Another gateway may have a send at once. A caller that waits until this one has drained
    // misses its target.
    rejection.retry_after = DrawDuration(environment_.Random(), kMinRetryAfter, latest);
  }
  return rejection;
}

Duration ServiceAdmission::LatestRetryInTarget(const SendDemand& demand) const {
  const Duration left = demand.target_at - environment_.Now();
  return FromSeconds(kRetryInTargetShare * (ToSeconds(left) - in_time_response_seconds_));
}

SendRejection ServiceAdmission::Reject(RejectionReason reason, TimePoint deadline,
                                       TargetClass target_class, const TenantName& tenant) {
  stats_.CountRejection(reason);
  const Duration left = std::max(deadline - environment_.Now(), Duration(0));
  const double spread = 1 + kRetryAfterSpread * DrawUnit(environment_.Random());
  const double wait = spread * ToSeconds(ExpectedDrain(tenant.value(), target_class));
  const Duration longest = std::max(left / kRetryAfterShare, kMinRetryAfter);
  const Duration retry_after =
      wait >= ToSeconds(longest) ? longest : std::max(FromSeconds(wait), kMinRetryAfter);
  return {reason, retry_after};
}

void ServiceAdmission::RecordResponse(Duration elapsed, bool in_time) {
  const double seconds = ToSeconds(elapsed);
  const auto smooth = [seconds](double& mean) {
    mean = mean > 0 ? mean + kResponseSmoothing * (seconds - mean) : seconds;
  };
  smooth(response_seconds_);
  if (in_time) smooth(in_time_response_seconds_);
}

void ServiceAdmission::Process() {
  RejectLate();
  SendQueued();
  ArmProcess();
}

void ServiceAdmission::SendQueued() {
  while (const auto next = queue_.Next()) {
    Queued& queued = *waiting_.at(*next);
    auto permit = TryQueued(queued);
    if (!permit) return;
    queue_.Pop();
    const Callback callback = std::move(TakeWaiting(*next).callback_);
    callback(*std::move(permit));
  }
}

std::optional<SendPermit> ServiceAdmission::TryQueued(const Queued& queued) {
  const Sends sends = SendsFor(queue_.Get(queued.entry_));
  auto permit = TryPermit(queued.excluded_, sends);
  if (permit || queued.excluded_.empty()) return permit;
  // A request that waited may also be sent to a back end that refused it before: its limit allows a
  // send now, and the request must not block the others.
  return TryPermit({}, sends);
}

void ServiceAdmission::RejectLate() {
  const bool none_left = !directory_.HasLive(service_);
  FairQueue::Place place;
  for (const FairQueue::EntryId id : queue_.Order()) {
    const auto found = waiting_.find(id);
    // The callback of another request may have removed it.
    if (found == waiting_.end()) continue;
    const SendDemand& demand = found->second->demand_;
    TargetClass target_class = queue_.Get(id).target_class;
    auto reason = Judge(demand, target_class, place);
    if (!reason && target_class == TargetClass::kInTime && !MeetsTarget(demand, place.ahead)) {
      queue_.MoveToLate(id);
      target_class = TargetClass::kLate;
      reason = Judge(demand, target_class, place);
    }
    if (none_left && !demand.begun) reason = RejectionReason::kNoBackend;
    if (!reason) {
      ++place.ahead;
      if (target_class == TargetClass::kLate) ++place.late_ahead;
      continue;
    }
    const SendDemand rejected = demand;
    queue_.Erase(id);
    const Callback callback = std::move(TakeWaiting(id).callback_);
    callback(Reject(*reason, rejected, target_class));
  }
}

ServiceAdmission::Queued& ServiceAdmission::TakeWaiting(FairQueue::EntryId entry) {
  Queued& queued = *waiting_.extract(entry).mapped();
  queued.entry_ = 0;
  AddToGauge(-1);
  if (stats_.wait_seconds != nullptr) {
    stats_.wait_seconds->Observe(ToSeconds(environment_.Now() - queued.queued_at_));
  }
  return queued;
}

void ServiceAdmission::Withdraw(Queued& queued) {
  if (queued.entry_ == 0) return;
  queue_.Erase(queued.entry_);
  waiting_.erase(queued.entry_);
  AddToGauge(-1);
}

void ServiceAdmission::ArmProcess() {
  if (queue_.empty() || process_timer_.armed()) return;
  Duration wait = kProcessInterval;
  // A request that waits for a spare send is looked at again after the usual interval.
  const bool spare = SendsFor(queue_.Get(*queue_.Next())) == Sends::kSpare;
  if (!spare) wait = std::min(wait, UntilAnyAllows().value_or(wait));
  process_timer_.Arm(std::max(wait, kMinProcessInterval), [this] { Process(); });
}

void ServiceAdmission::AddToGauge(double change) {
  if (stats_.queued != nullptr) stats_.queued->Set(stats_.queued->value() + change);
}

AdmissionControl::AdmissionControl(Environment& environment, BackendDirectory& directory,
                                   StatsRegistry* stats)
    : environment_(environment),
      directory_(directory),
      limits_(environment, directory, stats),
      stats_(stats) {}

ServiceAdmission& AdmissionControl::Of(const ServiceName& service) {
  return services_.try_emplace(service, environment_, directory_, limits_, stats_, service)
      .first->second;
}

}  // namespace millstair
