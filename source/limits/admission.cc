#include "limits/admission.h"

#include <algorithm>
#include <utility>

namespace millstair {
namespace {

/// Weight of a new sample in the smoothed service time.
constexpr double kServiceSmoothing = 0.1;
/// Used while no service time is known.
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

}  // namespace

Admission::~Admission() {
  const auto controller = controller_.lock();
  if (controller != nullptr) (*controller)->Withdraw(*this);
}

AdmissionController::AdmissionController(Environment& environment, AdmissionLimits limits)
    : environment_(environment),
      limits_(limits),
      queue_(limits.max_queued),
      admit_timer_(environment),
      expiry_timer_(environment),
      self_(std::make_shared<AdmissionController*>(this)) {}

AdmissionResult AdmissionController::Admit(
    RequestPriority priority, TimePoint deadline,
    std::function<void(std::optional<AdmissionRefused>)> later) {
  std::unique_ptr<Admission> admission(new Admission(self_));
  const TimePoint now = environment_.Now();
  if (queue_.empty() && running_ < limits_.max_concurrent) {
    ++running_;
    admission->admitted_ = true;
    admission->admitted_at_ = now;
    return {std::move(admission), std::nullopt};
  }
  const FairQueue::Entry entry{-static_cast<int64_t>(priority), "", deadline};
  if (queue_.size() >= limits_.max_queued) return {nullptr, Refused(AdmissionRefusal::kQueueFull)};
  if (now + ExpectedWaitBehind(queue_.Ahead(entry)) >= deadline) {
    return {nullptr, Refused(AdmissionRefusal::kCannotMakeDeadline)};
  }
  admission->entry_ = *queue_.Push(entry);
  admission->callback_ = std::move(later);
  admission->queued_ = true;
  waiting_.emplace(admission->entry_, admission.get());
  ArmExpiry();
  return {std::move(admission), std::nullopt};
}

void AdmissionController::SetLimits(AdmissionLimits limits) {
  limits_ = limits;
  queue_.SetBound(limits.max_queued);
  ScheduleAdmitting();
}

Duration AdmissionController::ExpectedWaitBehind(size_t queued) const {
  if (running_ < limits_.max_concurrent) return Duration(0);
  const double rounds =
      static_cast<double>(queued + 1) / std::max<uint32_t>(1, limits_.max_concurrent);
  return FromSeconds(rounds * service_seconds_);
}

AdmissionRefused AdmissionController::Refused(AdmissionRefusal reason) const {
  const Duration wait = ExpectedWait();
  return {reason, wait > Duration(0) ? wait : kDefaultRetryAfter};
}

void AdmissionController::Withdraw(Admission& admission) {
  if (admission.queued_) {
    queue_.Erase(admission.entry_);
    waiting_.erase(admission.entry_);
    return;
  }
  if (!admission.admitted_) return;
  --running_;
  RecordServiceTime(environment_.Now() - admission.admitted_at_);
  ScheduleAdmitting();
}

void AdmissionController::RecordServiceTime(Duration time) {
  const double seconds = ToSeconds(time);
  if (service_seconds_ == 0) {
    service_seconds_ = seconds;
    return;
  }
  service_seconds_ += kServiceSmoothing * (seconds - service_seconds_);
}

void AdmissionController::ScheduleAdmitting() {
  if (queue_.empty() || admit_timer_.armed()) return;
  admit_timer_.Arm(Duration(0), [this] { AdmitQueued(); });
}

void AdmissionController::AdmitQueued() {
  // A callback may destroy other admissions or the controller itself.
  const std::weak_ptr<AdmissionController*> alive = self_;
  while (!alive.expired() && !queue_.empty() && running_ < limits_.max_concurrent) {
    Admission& next = TakeWaiting(*queue_.Pop());
    next.admitted_ = true;
    next.admitted_at_ = environment_.Now();
    ++running_;
    const Admission::Callback callback = std::move(next.callback_);
    callback(std::nullopt);
  }
}

Admission& AdmissionController::TakeWaiting(FairQueue::EntryId entry) {
  Admission& admission = *waiting_.extract(entry).mapped();
  admission.queued_ = false;
  return admission;
}

void AdmissionController::ArmExpiry() {
  const auto earliest = queue_.EarliestDeadline();
  if (!earliest) return expiry_timer_.Cancel();
  const Duration wait = std::max(Duration(0), *earliest - environment_.Now());
  expiry_timer_.Arm(wait, [this] { ExpireQueued(); });
}

void AdmissionController::ExpireQueued() {
  const std::weak_ptr<AdmissionController*> alive = self_;
  const TimePoint now = environment_.Now();
  while (!alive.expired()) {
    const auto overdue = queue_.PopOverdue(now);
    if (!overdue) break;
    const Admission::Callback callback = std::move(TakeWaiting(*overdue).callback_);
    callback(Refused(AdmissionRefusal::kDeadlinePassed));
  }
  if (!alive.expired()) ArmExpiry();
}

}  // namespace millstair
