/// Admission of requests per traffic group: a bound on concurrent requests and a bounded queue in
/// which work that cannot make its deadline is refused at once.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "common/environment.h"
#include "common/scoped_timer.h"
#include "engine/engine_types.h"

namespace millstair {

struct AdmissionLimits {
  uint32_t max_concurrent = 256;
  uint32_t max_queued = 256;
  friend bool operator==(const AdmissionLimits&, const AdmissionLimits&) = default;
};

enum class AdmissionRefusal {
  kQueueFull,
  kCannotMakeDeadline,
  kDeadlinePassed,  ///< in the queue, despite the forecast
};

struct AdmissionRefused {
  AdmissionRefusal reason = AdmissionRefusal::kQueueFull;
  /// When the caller may expect room.
  Duration retry_after{0};
};

class AdmissionController;

/// A request's place: queued, then admitted. Dropping it leaves the queue or frees the slot.
class Admission {
 public:
  ~Admission();
  Admission(const Admission&) = delete;
  Admission& operator=(const Admission&) = delete;

  bool admitted() const { return admitted_; }

 private:
  friend class AdmissionController;
  /// Urgent first, then in order of arrival.
  struct Rank {
    int negative_priority = 0;
    uint64_t arrival = 0;
    friend auto operator<=>(const Rank&, const Rank&) = default;  // NOLINT
  };
  using Callback = std::function<void(std::optional<AdmissionRefused>)>;

  explicit Admission(std::weak_ptr<AdmissionController*> controller)
      : controller_(std::move(controller)) {}

  std::weak_ptr<AdmissionController*> controller_;
  Rank rank_;
  TimePoint deadline_;
  TimePoint admitted_at_;
  Callback callback_;
  bool queued_ = false;
  bool admitted_ = false;
};

/// Outcome of asking: a place, or a refusal.
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

  /// Asks for a slot. If the result is a place that is not yet admitted, `later` is called once:
  /// without a refusal when admitted, else with it. It is never called before Admit returns.
  AdmissionResult Admit(RequestPriority priority, TimePoint deadline,
                        std::function<void(std::optional<AdmissionRefused>)> later);

  /// New limits from the configuration; running requests go on.
  void SetLimits(AdmissionLimits limits);

  uint32_t running() const { return running_; }
  size_t queued() const { return queue_.size(); }
  /// Forecast of the wait of a request that comes now.
  Duration ExpectedWait() const { return ExpectedWaitBehind(queue_.size()); }

 private:
  friend class Admission;

  Duration ExpectedWaitBehind(size_t queued) const;
  AdmissionRefused Refused(AdmissionRefusal reason) const;
  void Withdraw(Admission& admission);
  void RecordServiceTime(Duration time);
  void ScheduleAdmitting();
  void AdmitQueued();
  void ArmExpiry(TimePoint deadline);
  void ExpireQueued();

  Environment& environment_;
  AdmissionLimits limits_;
  uint32_t running_ = 0;
  uint64_t next_arrival_ = 1;
  /// Smoothed time that an admitted request holds its slot; 0 until one has finished.
  double service_seconds_ = 0;
  std::map<Admission::Rank, Admission*> queue_;
  ScopedTimer admit_timer_;
  ScopedTimer expiry_timer_;
  /// When expiry_timer_ runs; places that left the queue since make it run in vain at worst.
  TimePoint expiry_at_;
  /// Lets places notice that the controller has gone.
  std::shared_ptr<AdmissionController*> self_;
};

}  // namespace millstair
