/// Loads the newest named version of their model into engines, a few at a time. Runs only on the
/// leader of a job group. The leader announces each load order in the group's log before it sends
/// it, and a new leader sends no order to an engine until the lease of the previous lease holder
/// has expired. Nothing is announced before everything that earlier leaders committed is applied,
/// so the last announcement for an engine identifies the only node that may still hold its lease.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cluster/configuration.h"
#include "cluster/task_leases.h"
#include "common/alive_flag.h"
#include "common/environment.h"
#include "common/scoped_timer.h"
#include "consensus/raft_group.h"
#include "http/bounded_call.h"
#include "ingress/backend_directory.h"
#include "ingress/backend_protocol.h"
#include "ingress/route_table.h"
#include "jobs/active_engine_set.h"
#include "jobs/engine_reachability.h"
#include "jobs/job_types.h"

namespace millstair {

struct LoadOptions {
  /// Maximum number of concurrent loads over all models; 0 is a fifth of the engines, at least two.
  uint32_t concurrent_loads = 0;
  /// Lease on the orders to an engine; other nodes send it none until the lease has expired.
  Duration order_lease = std::chrono::seconds(3);
};

/// Demand of the jobs for a model.
struct ModelDemand {
  /// Smoothed number of output tokens per job.
  double work = 0;
  /// How many versions the weights of a job may lag behind the newest.
  uint64_t allowed_lag = 0;
};

/// Whether an engine counts where engines and loads are counted.
enum class EngineStanding : uint8_t {
  kUsable,
  kLost,         ///< it does not respond: it gets no items and holds no load
  kLoadOverdue,  ///< it responds, but its load does not end
};

/// The known versions of an engine, its assigned model and its current load.
struct EngineLoadState {
  std::map<ModelName, WeightVersion> versions;
  /// The model that it is to serve. Its other models are not updated.
  ModelName assigned;
  /// Chosen for the next load: it gets no new runs, and the order follows once its runs have
  /// started.
  bool reserved = false;
  /// The load that is in progress, or may be.
  std::optional<NamedVersion> loading;
  TimePoint loading_since;
  TimePoint next_poll_at;
  EngineReachability reachability;
  /// Its latest report says that it executes an order.
  bool busy = false;
  /// As of the latest tick. Only the load of a usable engine counts as one in progress: the others
  /// may never end theirs.
  EngineStanding standing = EngineStanding::kUsable;
  /// When it became unusable, if it is.
  TimePoint unusable_since;
  /// Counts as one of its model: it is usable, or may soon be again.
  bool is_counted = true;

  bool IsUsable() const { return standing == EngineStanding::kUsable; }
  /// 0 if unknown.
  WeightVersion HeldVersion(const ModelName& model) const;
  /// Whether it loads `model` or is reserved to, so that it would refuse new runs.
  bool IsLoading(const ModelName& model) const;
};

/// Lives on the node's serial executor.
class LoadScheduler {
 public:
  LoadScheduler(Environment& environment, HttpCaller& http, BackendDirectory& directory,
                const BackendProtocol& protocol, NodeId self, LoadOptions options);
  ~LoadScheduler();

  /// Sends orders from now on as the leader of `group`; null stops it.
  void SetLeading(RaftGroup* group);
  /// Called for each applied announcement, in log order.
  void OnAnnouncement(const AnnounceOrder& announcement) {
    leases_.OnAnnouncement({announcement.holder, LeaseSubject(announcement.instance),
                            announcement.term, announcement.announced_at});
  }
  void Update(const Configuration& configuration, const RouteTable* routes);
  /// A job of `model` was submitted; `work` is its expected number of output tokens.
  void OnJobSubmitted(const ModelName& model, double work, WeightVersion min_version);
  /// The engines of `service` that run items; lost ones are left out. Pointers are valid until the
  /// next update of the directory.
  std::vector<const BackendInstance*> EnginesOf(const ServiceName& service) const;
  /// Items wait and no engine of `service` has a free slot.
  void OnNoFreeSlot(const ServiceName& service);
  /// `callback` is called whenever an engine becomes available for items.
  void OnReady(std::function<void()> callback) { on_ready_ = std::move(callback); }

  /// When this node received the newest version of `model`; the epoch if none was named.
  TimePoint NamedAt(const ModelName& model) const;
  /// The newest named version of `model`; 0 if none was named.
  WeightVersion NamedVersionOf(const ModelName& model) const;
  /// Number of engines known to hold `version` of `model` or a newer one, without lost ones.
  size_t CountHolding(const ModelName& model, WeightVersion version) const;
  /// The last known version of `model` at `instance`; 0 if unknown.
  WeightVersion VersionOf(const InstanceId& instance, const ModelName& model) const;
  /// Null if `instance` is unknown. Valid until the engines are next refreshed.
  const EngineLoadState* StateOf(const InstanceId& instance) const;
  /// Whether `instance` has not responded to this node for kEngineLostAfter.
  bool IsLost(const InstanceId& instance) const;
  /// True while `instance` loads any model; its runs may pause meanwhile.
  bool LoadingAny(const InstanceId& instance) const;
  /// A part of a response to another call of this node arrived from `instance`.
  void OnResponse(const InstanceId& instance);
  /// A run showed that `instance` holds an older version than recorded.
  void CorrectVersion(const InstanceId& instance, const ModelName& model, WeightVersion version);
  /// A response showed that `instance` holds at least `version`.
  void RecordVersion(const InstanceId& instance, const ModelName& model, WeightVersion version);

 private:
  /// Subject of the lease on the orders to a server: the same for all its incarnations, so that two
  /// lease holders never alternate at one server.
  static std::string LeaseSubject(const InstanceId& instance) {
    return ServerNameOf(instance).value();
  }

  using EngineGroup = std::vector<EngineLoadState*>;
  /// The engines assigned to a model.
  struct ModelEngines {
    EngineGroup usable;
    /// Number of those that count but are not usable.
    size_t absent = 0;

    size_t size() const { return usable.size() + absent; }
    /// Whether one may move to another model.
    bool HasSpare() const { return usable.size() > 1; }
  };

  void CatchUp();
  void Tick();
  /// Refreshes the engines now or after kMinRefreshInterval, so that bursts of changes are batched.
  void ScheduleEngineRefresh();
  void RefreshEngines();
  /// Drops engines that are no longer live, once the caller is done with them.
  void RefreshEnginesSoon();
  EngineStanding StandingOf(const EngineLoadState& engine) const;
  /// Reassigns the models if the set of usable or counted engines changed.
  void UpdateStandings();
  void LogStanding(const InstanceId& instance, const EngineLoadState& engine) const;
  /// Ends the loads of lost engines, and those whose engine reports neither their end nor that it
  /// is busy with them.
  void GiveUpLoads();
  /// Whether `engine` is to be called although it neither loads nor is reserved, since it may be
  /// lost.
  bool IsCheckDue(const InstanceId& instance, const EngineLoadState& engine) const;
  /// Number of engines that count as one of their model.
  size_t CountEngines() const;
  uint64_t VersionsBehind(const InstanceId& instance) const;
  void AssignModels();
  /// Assigns the engine of `from` with the newest weights of `model` to it.
  static void Assign(EngineGroup& from, const ModelName& model, EngineGroup& to);
  /// Assigns an engine to each model without a usable one, if another model has several.
  static void AssignToUnserved(std::map<ModelName, ModelEngines>& by_model);
  /// The engine with the newest weights of `model`; `engines` is not empty.
  static EngineGroup::iterator NewestOf(EngineGroup& engines, const ModelName& model);
  /// Models with jobs or a named version; the first jobs may precede the first version.
  std::set<ModelName> TrainedModels() const;
  /// Delay from an order to the first poll for its completion.
  Duration FirstPollDelay() const;
  /// Number of engines for each trained model, by its share of the work.
  std::map<ModelName, size_t> WantedCounts() const;
  uint32_t LoadsInProgress() const;
  uint32_t MaxLoads() const;
  void StartLoads();
  /// Whether all requests sent to `instance` have started there: a load order makes the engine
  /// refuse those that have not.
  bool HasStartedAll(const InstanceId& instance) const;
  void Reserve(const InstanceId& instance);
  void Release(const InstanceId& instance);
  void RequestReport(const InstanceId& instance);
  void HandleReport(const InstanceId& instance, const ReportedEngine& report);
  bool MayOrder(const InstanceId& instance) const;
  void ProposeOrder(const InstanceId& instance, const NamedVersion& wanted, uint64_t orders);
  /// Sends the order if its committed announcement still allows it.
  void SendOrder(const InstanceId& instance, const NamedVersion& wanted, uint64_t orders,
                 TimePoint announced_at);
  void EndLoad(const InstanceId& instance, bool done);
  void HandleOrderAnswer(const InstanceId& instance, LoadAnswer answer);
  std::optional<NamedVersion> Wanted(const InstanceId& instance) const;
  /// Number of usable engines assigned to `model`, and of those that hold the newest version, load
  /// it or are reserved for it; a reservation of `candidate` itself does not count.
  struct Progress {
    uint64_t engines = 0;
    uint64_t newest = 0;
  };
  Progress ProgressOf(const ModelName& model, WeightVersion target,
                      const InstanceId& candidate) const;

  Environment& environment_;
  HttpCaller& http_;
  BackendDirectory& directory_;
  const BackendProtocol& protocol_;
  const NodeId self_;
  const LoadOptions options_;
  RaftGroup* group_ = nullptr;
  TaskLeases leases_;
  bool caught_up_ = false;
  /// Smoothed duration of recent loads.
  Duration load_time_;
  std::map<ModelName, WeightVersion> targets_;
  std::map<ModelName, TimePoint> named_at_;
  std::map<ModelName, ModelDemand> demand_;
  /// Models by service, for the services whose engines hold models.
  std::map<ServiceName, std::vector<ModelName>> services_;
  ActiveEngineSet active_engines_;
  TimePoint refreshed_at_;
  std::map<InstanceId, EngineLoadState> engines_;
  std::map<InstanceId, std::unique_ptr<BoundedCall>> exchanges_;
  std::function<void()> on_ready_;
  ScopedTimer timer_;
  ScopedTimer refresh_timer_;
  AliveFlag alive_;
};

}  // namespace millstair
