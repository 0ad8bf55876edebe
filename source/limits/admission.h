/// Admission control per traffic group: limits concurrent requests and queues further ones in a
/// bounded queue. Requests that would miss their deadline are refused at once.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "common/environment.h"
#include "common/scoped_timer.h"
#include "engine/engine_types.h"
#include "limits/fair_queue.h"

namespace millstair {

struct AdmissionLimits {
  uint32_t max_concurrent = 256;
  uint32_t max_queued = 256;
  friend bool operator==(const AdmissionLimits&, const AdmissionLimits&) = default;
};

enum class AdmissionRefusal {
  kQueueFull,
  kCannotMakeDeadline,
  kDeadlinePassed,  ///< while queued, despite the forecast
};

struct AdmissionRefused {
  AdmissionRefusal reason = AdmissionRefusal::kQueueFull;
  /// When the caller may expect a free slot.
  Duration retry_after{0};
};

class AdmissionController;

/// A request's entry in the queue, then its slot. Destroying it leaves the queue or frees the slot.
class Admission {
 public:
  ~Admission();
  Admission(const Admission&) = delete;
  Admission& operator=(const Admission&) = delete;

  bool admitted() const { return admitted_; }

 private:
  friend class AdmissionController;
  using Callback = std::function<void(std::optional<AdmissionRefused>)>;

  explicit Admission(std::weak_ptr<AdmissionController*> controller)
      : controller_(std::move(controller)) {}

  std::weak_ptr<AdmissionController*> controller_;
  /// Valid while it is queued.
  FairQueue::EntryId entry_ = 0;
  TimePoint admitted_at_;
  Callback callback_;
  bool queued_ = false;
  bool admitted_ = false;
};

/// Either an admission or a refusal.
struct AdmissionResult {
  std::unique_ptr<Admission> admission;
  std::optional<AdmissionRefused> refused;
};

/// Lives on the node's serial executor.
class AdmissionController {
 public:
  AdmissionController(Environment& environment, AdmissionLimits limits);
  ~AdmissionController() = default;
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;

  /// Requests a slot. Urgent requests are admitted first, then those with the earliest deadline,
  /// then in order of arrival. If the returned admission is not admitted yet, `later` is called
  /// once: without a refusal when it is admitted, else with one. It is never called before Admit
  /// returns.
  AdmissionResult Admit(RequestPriority priority, TimePoint deadline,
                        std::function<void(std::optional<AdmissionRefused>)> later);

  /// Applies new limits; running requests continue.
  void SetLimits(AdmissionLimits limits);

  uint32_t running() const { return running_; }
  size_t queued() const { return queue_.size(); }
  /// Expected queueing time of a request that arrives now.
  Duration ExpectedWait() const { return ExpectedWaitBehind(queue_.size()); }

 private:
  friend class Admission;

  Duration ExpectedWaitBehind(size_t queued) const;
  AdmissionRefused Refused(AdmissionRefusal reason) const;
  void Withdraw(Admission& admission);
  void RecordServiceTime(Duration time);
  void ScheduleAdmitting();
  void AdmitQueued();
  /// The admission of an entry that has just left the queue.
  Admission& TakeWaiting(FairQueue::EntryId entry);
  void ArmExpiry();
  void ExpireQueued();

  Environment& environment_;
  AdmissionLimits limits_;
  uint32_t running_ = 0;
  /// Smoothed time that an admitted request holds its slot; 0 until one has finished.
  double service_seconds_ = 0;
  FairQueue queue_;
  std::unordered_map<FairQueue::EntryId, Admission*> waiting_;
  ScopedTimer admit_timer_;
  ScopedTimer expiry_timer_;
  /// Lets admissions detect that the controller was destroyed.
  std::shared_ptr<AdmissionController*> self_;
};

}  // namespace millstair
