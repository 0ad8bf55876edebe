#include "ingress/service_admission.h"

#include <algorithm>
#include <utility>

#include "common/random.h"

namespace millstair {
namespace {

/// Bounds the memory of a queue; its order is computed anew for each request that has to wait.
constexpr size_t kMaxQueued = 256;
/// Longest time between two looks at a queue: the limits change with each response.
constexpr Duration kProcessInterval = std::chrono::milliseconds(20);
constexpr Duration kMinProcessInterval = std::chrono::milliseconds(1);
/// Floor of each back end's limit, as a share of the gateway's own demand. The floors of all
/// gateways add up to this share of the whole demand: 50 of 720 requests a second, which a back end
/// of six slots that takes 84 ms for each can still answer.
constexpr double kFloorShare = 0.07;
/// The window of the demand matches the one of the limits.
constexpr Duration kDemandWindow = std::chrono::seconds(1);
constexpr double kResponseSmoothing = 0.1;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);
/// Callers wait for Retry-After up to this share of their remaining time.
constexpr int kRetryAfterShare = 3;
/// Spreads retries, so that rejected callers don't return all at once.
constexpr double kRetryAfterSpread = 0.5;
/// Keeps forecasts finite while nothing drains.
constexpr double kMinDrainPerSecond = 0.01;
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
      process_timer_(environment) {}

ServiceAdmission::Decision ServiceAdmission::Request(const SendDemand& demand,
                                                     const std::set<InstanceId>& excluded,
                                                     Callback later) {
  if (directory_.Candidates(service_, excluded).empty()) return NoCandidate{};
  const FairQueue::Entry entry{demand.priority, demand.tenant.value(), demand.deadline};
  if (queue_.empty()) {
    if (auto permit = TryPermit(excluded)) {
      queue_.RecordServed(entry.priority, entry.tenant);
      return *std::move(permit);
    }
  }
  if (const auto reason = Judge(demand, queue_.Ahead(entry))) {
    return Reject(*reason, demand.deadline);
  }
  auto queued = Enqueue(demand, excluded, entry, std::move(later));
  if (queued == nullptr) return Reject(RejectionReason::kQueueFull, demand.deadline);
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

std::optional<SendPermit> ServiceAdmission::TryPermit(const std::set<InstanceId>& excluded) {
  const TimePoint now = environment_.Now();
  const double floor = kFloorShare * arrivals_.PerSecond(now);
  std::vector<BackendCandidate> all = directory_.Candidates(service_, excluded);
  std::vector<BackendCandidate> allowed;
  for (const BackendCandidate& candidate : all) {
    SendRateLimit& limit = limits_.Of(candidate.record->id);
    limit.SetFloor(floor, now);
    if (limit.Allows(now)) allowed.push_back(candidate);
  }
  if (allowed.empty()) {
    for (const BackendCandidate& candidate : all)
      limits_.Of(candidate.record->id).RecordDenied(now);
    return std::nullopt;
  }
  // The limit is below the demand if it keeps requests from the back end that they prefer.
  const auto by_cost = [](const auto& a, const auto& b) { return a.cost < b.cost; };
  const auto preferred = std::min_element(all.begin(), all.end(), by_cost);
  SendRateLimit& preferred_limit = limits_.Of(preferred->record->id);
  if (!preferred_limit.Allows(now)) preferred_limit.RecordDenied(now);
  const BackendInstance& target = directory_.CheapestOf(std::move(allowed));
  limits_.Of(target.id).Take(now);
  return SendPermit(limits_, target);
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

Duration ServiceAdmission::ExpectedWait(size_t ahead) const {
  return FromSeconds(static_cast<double>(ahead) / DrainPerSecond());
}

std::optional<RejectionReason> ServiceAdmission::Judge(const SendDemand& demand,
                                                       size_t ahead) const {
  const TimePoint now = environment_.Now();
  const TimePoint answered_at = now + ExpectedWait(ahead) + FromSeconds(response_seconds_);
  if (answered_at > demand.deadline) return RejectionReason::kCannotBeInTime;
  if (demand.begun) return std::nullopt;
  const bool late = demand.first_attempt && answered_at > demand.target_at;
  if (late && now + ExpectedWait(queue_.size()) > demand.target_at) {
    return RejectionReason::kStandingQueue;
  }
  return std::nullopt;
}

SendRejection ServiceAdmission::Reject(RejectionReason reason, TimePoint deadline) {
  stats_.CountRejection(reason);
  const Duration left = std::max(deadline - environment_.Now(), Duration(0));
  const double spread = 1 + kRetryAfterSpread * DrawUnit(environment_.Random());
  const double wait = spread * ToSeconds(ExpectedWait(queue_.size() + 1));
  const Duration longest = std::max(left / kRetryAfterShare, kMinRetryAfter);
  const Duration retry_after =
      wait >= ToSeconds(longest) ? longest : std::max(FromSeconds(wait), kMinRetryAfter);
  return {reason, retry_after};
}

void ServiceAdmission::RecordResponse(Duration elapsed) {
  const double seconds = ToSeconds(elapsed);
  const double previous = response_seconds_ > 0 ? response_seconds_ : seconds;
  response_seconds_ = previous + kResponseSmoothing * (seconds - previous);
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
  auto permit = TryPermit(queued.excluded_);
  if (permit || queued.excluded_.empty()) return permit;
  // A request that waited may also be sent to a back end that refused it before: its limit allows a
  // send now, and the request must not block the others.
  return TryPermit({});
}

void ServiceAdmission::RejectLate() {
  const bool none_left = !directory_.HasLive(service_);
  size_t ahead = 0;
  for (const FairQueue::EntryId id : queue_.Order()) {
    const auto found = waiting_.find(id);
    // The callback of another request may have removed it.
    if (found == waiting_.end()) continue;
    const SendDemand& demand = found->second->demand_;
    auto reason = Judge(demand, ahead);
    if (none_left && !demand.begun) reason = RejectionReason::kNoBackend;
    if (!reason) {
      ++ahead;
      continue;
    }
    const TimePoint deadline = demand.deadline;
    queue_.Erase(id);
    const Callback callback = std::move(TakeWaiting(id).callback_);
    callback(Reject(*reason, deadline));
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
  for (const BackendCandidate& candidate : directory_.Candidates(service_, {})) {
    wait = std::min(wait, limits_.Of(candidate.record->id).UntilAllowed(environment_.Now()));
  }
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
