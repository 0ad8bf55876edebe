/// Decides for each request to a service whether it is sent now, waits or is rejected.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

#include "common/environment.h"
#include "common/scoped_timer.h"
#include "common/stats.h"
#include "ingress/backend_directory.h"
#include "ingress/backend_limits.h"
#include "limits/decaying_rate.h"
#include "limits/fair_queue.h"
#include "limits/tenant_rates.h"
#include "retry/retry_budget.h"

namespace millstair {

enum class RejectionReason : uint8_t {
  kQueueFull,
  kCannotBeInTime,  ///< the expected wait and response time exceed the time left
  kStandingQueue,   ///< a first attempt would miss the route's target behind a long queue
  kNoBackend,       ///< the service has no back end, or none that answers
  kRetryBudget,     ///< it was refused or failed, and the service's retry budget is used up
  kSendLimit,       ///< it was sent as often as a request may be
};

/// "queue-full" and so on, for metrics.
std::string_view RejectionReasonName(RejectionReason reason);
/// For the request log and the response.
std::string_view RejectionText(RejectionReason reason);

struct SendRejection {
  RejectionReason reason = RejectionReason::kNoBackend;
  /// When the caller may retry.
  Duration retry_after{0};
};

/// Permission for one send to one back end. Destroying it unused returns the send to the limit.
/// The back end may end before the permit is used.
class SendPermit {
 public:
  SendPermit(BackendLimits& limits, BackendInstance target);
  ~SendPermit();
  SendPermit(SendPermit&& other) noexcept;
  SendPermit& operator=(SendPermit&&) = delete;
  SendPermit(const SendPermit&) = delete;
  SendPermit& operator=(const SendPermit&) = delete;

  const BackendInstance& target() const { return target_; }
  /// The request is being sent.
  void Use() { limits_ = nullptr; }

 private:
  BackendLimits* limits_;
  BackendInstance target_;
};

/// What a request needs to be ordered and judged.
struct SendDemand {
  TenantName tenant;
  /// 0 is the most urgent.
  uint32_t priority = 0;
  TimePoint deadline;
  /// A response by then meets the route's target, counted from the caller's first call.
  TimePoint target_at;
  /// Not a retry of its caller.
  bool first_attempt = true;
  /// A part of the response was passed on, so that a rejection would lose it: the request waits
  /// until its deadline.
  bool begun = false;
};

/// Metrics of all services of a gateway; any may be null.
struct AdmissionStats {
  explicit AdmissionStats(StatsRegistry* registry);
  void CountRejection(RejectionReason reason);

  StatsRegistry* const registry;
  Gauge* queued = nullptr;
  Histogram* wait_seconds = nullptr;
};

/// One per service at each gateway. Lives on the node's serial executor.
class ServiceAdmission {
 public:
  /// Called when a queued request may be sent, or is rejected.
  using Callback = std::function<void(std::variant<SendPermit, SendRejection>)>;

  /// A request in the queue; destroying it removes the request.
  class Queued {
   public:
    ~Queued();
    Queued(const Queued&) = delete;
    Queued& operator=(const Queued&) = delete;

   private:
    friend class ServiceAdmission;
    Queued(ServiceAdmission& admission, SendDemand demand, std::set<InstanceId> excluded,
           Callback callback)
        : admission_(admission),
          demand_(std::move(demand)),
          excluded_(std::move(excluded)),
          callback_(std::move(callback)) {}

    ServiceAdmission& admission_;
    const SendDemand demand_;
    const std::set<InstanceId> excluded_;
    Callback callback_;
    FairQueue::EntryId entry_ = 0;
    TimePoint queued_at_;
  };
  /// There is no back end other than the excluded ones that may be used now.
  struct NoCandidate {};
  using Decision = std::variant<SendPermit, std::unique_ptr<Queued>, SendRejection, NoCandidate>;

  ServiceAdmission(Environment& environment, BackendDirectory& directory, BackendLimits& limits,
                   AdmissionStats& stats, ServiceName service);
  ServiceAdmission(const ServiceAdmission&) = delete;
  ServiceAdmission& operator=(const ServiceAdmission&) = delete;

  /// A request of a caller has arrived.
  void RecordArrival() { arrivals_.Add(environment_.Now()); }
  /// Decides about one send. `later` is called once if the request is queued, and never before this
  /// returns.
  Decision Request(const SendDemand& demand, const std::set<InstanceId>& excluded, Callback later);
  /// A back end for a hedge, paid from the retry budget; nullopt if there is none, or while any
  /// back end of the service is limited: then a hedge would only add to the load.
  std::optional<SendPermit> RequestHedge(const std::set<InstanceId>& excluded);

  /// A request is sent for the first time.
  void RecordFirstSend() { budget_.RecordFirstAttempt(); }
  /// Takes one repeated send from the service's budget; false if none is left.
  bool SpendRetry() { return budget_.Spend(); }
  /// A back end answered after `elapsed`, within the target or not.
  void RecordResponse(Duration elapsed, bool in_time = true);
  /// The class of a request that is sent now.
  TargetClass ClassOf(const SendDemand& demand) const;
  /// Rejects a request that is not in the queue. It may retry once those of its class that wait and
  /// one more have been sent.
  SendRejection Reject(RejectionReason reason, TimePoint deadline,
                       TargetClass target_class = TargetClass::kInTime,
                       const TenantName& tenant = {});

  size_t queued() const { return queue_.size(); }

 private:
  /// Which sends of a limit a request may take.
  enum class Sends : uint8_t { kAdvance, kAll, kSpare };
  static bool AllowsSend(SendRateLimit& limit, Sends sends, TimePoint now);
  /// Takes a send from the cheapest back end whose limit allows one.
  std::optional<SendPermit> TryPermit(const std::set<InstanceId>& excluded, Sends sends);
  /// Takes a send that the request may have on arrival.
  std::optional<SendPermit> TryArrived(const FairQueue::Entry& entry,
                                       const std::set<InstanceId>& excluded, size_t ahead);
  /// Whether a request may take a send in advance: a gateway that sees a few requests a second has
  /// no others of its tenant to put it before, and while it waits for the next send its target
  /// passes.
  bool MayTakeAdvance(const FairQueue::Entry& entry) const;
  /// A request got no send on arrival from the back ends other than `excluded`. Keeps their limits
  /// in force if this happens to a considerable part of the requests.
  void RecordDenied(const std::set<InstanceId>& excluded);
  /// The same for the request that is served next.
  std::optional<SendPermit> TryQueued(const Queued& queued);
  /// Whether a request of a class at `place` in the queue must be rejected.
  std::optional<RejectionReason> Judge(const SendDemand& demand, TargetClass target_class,
                                       const FairQueue::Place& place) const;
  /// Whether a request with `ahead` requests before it can meet its target. The target of a stream
  /// counts until its response begins, so one that has begun has met it.
  bool MeetsTarget(const SendDemand& demand, size_t ahead) const;
  /// Sends per second that the limits of all back ends allow.
  double DrainPerSecond() const;
  /// Whether requests in time of a tenant arrive at a rate of at least their share of `drain`.
  bool UsesShareOfInTime(const std::string& tenant, double drain) const;
  /// Sends per second that are left to late requests of a tenant: what requests in time don't use,
  /// at least the share of the class.
  double LateDrainPerSecond(const std::string& tenant) const;
  /// Time until a request of a tenant with `ahead` requests before it may be sent.
  Duration ExpectedWait(const std::string& tenant, size_t ahead) const;
  /// Time until the limit of any back end allows a send; nullopt without a back end.
  std::optional<Duration> UntilAnyAllows() const;
  /// The same, 0 without a back end.
  Duration UntilNextSend() const;
  /// Time until a late request at `place` has been sent.
  Duration ExpectedLateWait(const std::string& tenant, const FairQueue::Place& place) const;
  /// Time until one more request of a class than wait now has been sent.
  Duration ExpectedDrain(const std::string& tenant, TargetClass target_class) const;
  SendRejection Reject(RejectionReason reason, const SendDemand& demand, TargetClass target_class);
  /// The latest time until a retry that can still meet its target at a back end with a free send;
  /// negative if none can.
  Duration LatestRetryInTarget(const SendDemand& demand) const;
  /// Sends and rejects queued requests.
  void Process();
  void SendQueued();
  /// Rejects requests that can't be answered by their deadline, and moves those that can't meet
  /// their target any more to the late class.
  void RejectLate();
  /// The sends that the request served next may take: only spare ones if it is late and would take
  /// the share of requests in time of its tenant that are about to arrive.
  Sends SendsFor(const FairQueue::Entry& entry) const;
  /// Decides about a request that can't be sent now, at `place` in the queue.
  Decision QueueOrReject(const SendDemand& demand, const std::set<InstanceId>& excluded,
                         FairQueue::Entry entry, FairQueue::Place place, Callback later);
  std::unique_ptr<Queued> Enqueue(const SendDemand& demand, const std::set<InstanceId>& excluded,
                                  const FairQueue::Entry& entry, Callback later);
  /// The queued request of an entry that has just left the queue.
  Queued& TakeWaiting(FairQueue::EntryId entry);
  void Withdraw(Queued& queued);
  void ArmProcess();
  void AddToGauge(double change);

  Environment& environment_;
  BackendDirectory& directory_;
  BackendLimits& limits_;
  AdmissionStats& stats_;
  const ServiceName service_;
  FairQueue queue_;
  std::unordered_map<FairQueue::EntryId, Queued*> waiting_;
  RetryBudget budget_;
  /// Arrivals of callers' requests; the floors of the limits are a share of them.
  DecayingRate arrivals_;
  /// Requests that asked for a send, and those of them that got none on arrival.
  DecayingRate asked_;
  DecayingRate denied_;
  /// Requests that asked for a send and could still meet their target.
  TenantRates in_time_arrivals_;
  /// All requests that asked for a send, in a longer window: a small tenant sends one in seconds.
  TenantRates demand_;
  /// Smoothed time of responses; 0 before the first.
  double response_seconds_ = 0;
  /// The same of responses within the target. Tells whether a request can meet its target: the mean
  /// of all exceeds the target while some back ends are slow, although the others are not.
  double in_time_response_seconds_ = 0;
  ScopedTimer process_timer_;
};

/// All services of one gateway. Outlives the flows.
class AdmissionControl {
 public:
  /// `stats` may be null.
  AdmissionControl(Environment& environment, BackendDirectory& directory, StatsRegistry* stats);

  ServiceAdmission& Of(const ServiceName& service);
  BackendLimits& limits() { return limits_; }

 private:
  Environment& environment_;
  BackendDirectory& directory_;
  BackendLimits limits_;
  AdmissionStats stats_;
  std::map<ServiceName, ServiceAdmission> services_;
};

}  // namespace millstair
