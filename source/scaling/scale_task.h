/// Orders servers from the platform and releases them, as decided by pool_size.h.
///
/// The leader of the cluster group runs the task, with its term as the fencing token. A service and
/// a zone form one subject. The wanted number of a subject is committed before the platform is
/// called, so that a new leader repeats the call, and a lease announcement is committed before each
/// call. A call is made soon after its announcement or not at all, and a new leader makes none
/// until the lease last announced by another node has expired.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "cluster/control_node.h"
#include "cluster/task_leases.h"
#include "common/alive_flag.h"
#include "common/environment.h"
#include "common/scoped_timer.h"
#include "common/stats.h"
#include "duties/leader_task_host.h"
#include "http/bounded_call.h"
#include "ingress/route_table.h"
#include "scaling/pool_size.h"
#include "scaling/scale_protocol.h"

namespace millstair {

/// A zone without available servers, or whose order was refused, gets no call for this long.
inline constexpr Duration kUnavailablePause = std::chrono::seconds(10);
/// No servers are ordered in a zone for this long after its initial number was last raised, or
/// after a new leader first saw the zone: an order based on too low a number would release servers.
inline constexpr Duration kInitialSettled = std::chrono::seconds(10);
/// The same after the first number of a zone was committed: when a cluster starts, or the pool
/// does, servers take longer to register than after a change of leader.
inline constexpr Duration kFirstSettled = std::chrono::seconds(30);
/// A server that ended within this time counts towards the initial number: it may be restarting.
inline constexpr Duration kEndedRecently = std::chrono::seconds(30);
/// Servers beyond the ordered number that stay registered for this long belong to the service
/// otherwise, and are never released. Longer than a released server takes to leave.
inline constexpr Duration kSurplusLasts = std::chrono::seconds(30);

/// Interface to the control node that runs the task; outlives it.
class ScaleHost : public LeaderTaskHost {
 public:
  virtual const Configuration& configuration() const = 0;
  virtual const PoolSizes& pool_sizes() const = 0;
  /// Whether every live node can decode SetPoolSize.
  virtual bool CanCommitSizes() const = 0;
};

struct ScaleOptions {
  NodeId self;
  /// Name of this node's machine.
  std::string machine;
  /// "ip:port" of the platform.
  std::string platform;
  /// No call on a subject within this time of a call by another holder.
  Duration task_lease = std::chrono::seconds(3);
  /// May be null.
  StatsRegistry* stats = nullptr;
};

/// Lives on the node's serial executor.
class ScaleTask {
 public:
  ScaleTask(Environment& environment, HttpCaller& http, const ScaleProtocol& protocol,
            const RoutingDocumentReader& reader, ScaleHost& host, ScaleOptions options);

  /// A lease announcement of any task was applied here, in the order of the log.
  void OnAnnouncement(const LeaseAnnouncement& announcement);
  /// A report of a job group's leader arrived while this node leads the cluster group.
  void OnReport(const PoolReport& report);
  /// Called about once a second while the node leads, and when it becomes leader.
  void Run();

 private:
  using SubjectKey = std::pair<ServiceName, Zone>;
  /// What this leader knows of a service in a zone, besides the committed numbers.
  struct Subject {
    /// A proposal of its numbers is in progress.
    bool committing = false;
    /// An announcement or a call is in progress.
    bool calling = false;
    /// The number that the platform accepted from this leader last.
    std::optional<uint32_t> confirmed;
    TimePoint next_call_at;
    Duration back_off{0};
    /// Until then the zone takes no calls.
    TimePoint closed_until;
    std::optional<TimePoint> ordered_at;
    /// The number of on-demand servers, ending ones included, and since when.
    uint32_t counted = 0;
    TimePoint counted_since;
    /// No servers are ordered before, unless there were earlier orders.
    TimePoint settled_at;
    /// The highest number whose outcome is unknown, since the platform last accepted one.
    uint32_t uncertain = 0;
    /// More servers are registered than this system can have ordered, since then.
    std::optional<TimePoint> surplus_since;
    std::unique_ptr<BoundedCall> call;
  };
  struct ReceivedNeed {
    PoolNeed need;
    TimePoint at;
  };
  struct Count {
    uint32_t on_demand = 0;
    uint32_t spot = 0;
    uint32_t slots = 0;
    /// On-demand servers that are leaving or ended recently, and are not replaced yet.
    uint32_t ending = 0;
    /// An on-demand server is leaving, or ended or was superseded recently.
    bool changing = false;
  };
  using Counts = std::map<Zone, Count>;

  void Tick();
  /// Drops operations of an earlier term.
  void BeginTerm(Term term);
  void CatchUp();
  /// Null without routes that can be read.
  const RouteTable* Routes();
  /// Null if servers of the service cannot be ordered.
  const ServiceScaling* ScalingOf(const ServiceName& service);
  void Manage(const ServiceName& service, const ServiceScaling& scaling);
  /// Notes which servers ended since the last call.
  void ObserveEnded();
  /// Serving and ending servers of the service.
  Counts CountServers(const ServiceName& service) const;
  Subject& SubjectOf(const SubjectKey& key);
  const PoolSize* SizeOf(const SubjectKey& key) const;
  /// Raises the committed initial number of a zone in which nothing was ordered yet.
  void UpdateInitial(const SubjectKey& key, const Counts& counts);
  /// Of all registered servers.
  static uint32_t SlotsOf(const Counts& counts);
  /// Raises both numbers of a zone in which servers were ordered, and more are registered.
  void KeepSurplus(const SubjectKey& key, const PoolSize& size, const Counts& counts);
  /// Whether more servers are registered than may have been ordered: a call would end others.
  static bool HasSurplus(const PoolSize& size, const Subject& subject, uint32_t counted);
  Pool PoolOf(const ServiceName& service, const ServiceScaling& scaling, const Counts& counts);
  bool IsOpen(const PoolSize& size, const Subject& subject, uint32_t counted) const;
  /// Null if there is none or it is too old.
  const PoolNeed* NeedOf(const ServiceName& service) const;
  void Decide(const ServiceName& service, const Pool& pool);
  void Change(const ServiceName& service, const Pool& pool, const PoolChange& change);
  void Commit(const SubjectKey& key, const PoolSize& size);
  /// Calls the platform if it has not accepted the wanted number from this leader.
  void Continue(const SubjectKey& key);
  void Announce(const SubjectKey& key);
  void Send(const SubjectKey& key, TimePoint announced_at);
  void HandleAnswer(const SubjectKey& key, uint32_t sent, ScaleAnswer answer);
  void HandleRejection(const SubjectKey& key, Subject& subject);
  void BackOff(Subject& subject);
  void SetMetrics(const ServiceName& service, const Pool& pool);
  void ClearMetrics();
  void SetGauge(const StatName& name, double value);

  Environment& environment_;
  HttpCaller& http_;
  const ScaleProtocol& protocol_;
  const RoutingDocumentReader& reader_;
  ScaleHost& host_;
  const ScaleOptions options_;
  TaskLeases leases_;
  Term term_;
  /// Everything that earlier leaders committed is applied here, including their announcements.
  bool caught_up_ = false;
  /// The routing configuration that `routes_` was read from.
  uint64_t routes_version_ = 0;
  std::optional<RouteTable> routes_;
  std::map<SubjectKey, Subject> subjects_;
  /// Servers that had not ended when this leader last looked.
  std::set<InstanceId> present_;
  /// When this leader first saw that they had ended.
  std::map<InstanceId, TimePoint> ended_at_;
  /// The newest report, by term and number.
  std::pair<Term, uint64_t> newest_report_;
  std::map<ServiceName, ReceivedNeed> needs_;
  std::map<ServiceName, PoolTrend> trends_;
  /// Gauges that this leader has set.
  std::map<std::pair<std::string, std::string>, Gauge*> gauges_;
  ScopedTimer tick_timer_;
  AliveFlag alive_;
};

/// Creates the task on `control`, which outlives it, as do `protocol` and `reader`.
std::unique_ptr<LeaderTask> MakeScaleTask(Environment& environment, HttpCaller& http,
                                          const ScaleProtocol& protocol,
                                          const RoutingDocumentReader& reader, ControlNode& control,
                                          ScaleOptions options);

}  // namespace millstair
