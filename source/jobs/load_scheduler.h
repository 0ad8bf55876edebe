/// Brings engines to the newest named version of their model, a few at a time. Runs on the leader
/// of a job group alone, which is the one holder of orders: it announces each order in the group's
/// log before it gives it, and a new leader leaves each engine alone until the lease of its last
/// holder is over. Nothing is announced before everything that earlier leaders committed is
/// applied, so the last announcement for an engine alone says who may still hold its lease.
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
#include "jobs/engine_roster.h"
#include "jobs/job_types.h"

namespace millstair {

struct LoadOptions {
  /// Engines that load at once, over all models; 0 is a fifth of them, and two at least.
  uint32_t concurrent_loads = 0;
  /// No order to an engine within this time of another holder's.
  Duration holder_lease = std::chrono::seconds(3);
};

/// What the jobs of a model ask for.
struct ModelDemand {
  /// Smoothed work of a job, in tokens that come out.
  double work = 0;
  /// How many versions behind the newest a job's weights may be.
  uint64_t allowed_lag = 0;
};

/// What an engine is known to hold, and what it was told.
struct EngineLoadState {
  std::map<ModelName, WeightVersion> versions;
  /// The model that it is to serve; others stay as they are.
  ModelName assigned;
  /// Chosen for the next load: it gets no new runs, and its order once those it has have begun.
  bool reserved = false;
  /// A load is under way, or may be.
  std::optional<NamedVersion> loading;
  TimePoint loading_since;
  TimePoint ask_again_at;

  /// 0 is unknown.
  WeightVersion HeldVersion(const ModelName& model) const;
  /// Whether it loads `model` or is about to, so that new runs would be refused.
  bool Loads(const ModelName& model) const;
};

/// Lives on the node's serial executor.
class LoadScheduler {
 public:
  LoadScheduler(Environment& environment, HttpCaller& http, BackendDirectory& directory,
                const BackendProtocol& protocol, NodeId self, LoadOptions options);
  ~LoadScheduler();

  /// Orders are given from now on, under `group`'s leadership; null ends it.
  void SetLeading(RaftGroup* group);
  /// An announcement was applied here, in the order of the log.
  void NoteAnnouncement(const AnnounceOrder& announcement) {
    leases_.OnAnnouncement({announcement.holder, SubjectOf(announcement.instance),
                            announcement.term, announcement.announced_at});
  }
  void Update(const Configuration& configuration, const RouteTable* routes);
  /// A job of `model` came; `work` is in tokens that come out.
  void NoteJob(const ModelName& model, double work, WeightVersion min_version);
  /// The engines of `service` that items go to. Pointers are valid until the directory is next
  /// updated.
  std::vector<const BackendInstance*> EnginesOf(const ServiceName& service) const {
    return roster_.Engines(service);
  }
  /// Items wait and no engine of `service` has room.
  void NoteFull(const ServiceName& service);
  /// Called whenever an engine became able to take items.
  void OnReady(std::function<void()> callback) { on_ready_ = std::move(callback); }

  /// When this node learned of the newest version of `model`; the epoch if none was named.
  TimePoint NamedAt(const ModelName& model) const;
  /// The version of `model` at `instance`, as far as is known; 0 is unknown.
  WeightVersion VersionOf(const InstanceId& instance, const ModelName& model) const;
  /// Null if `instance` is not known. Valid until engines are next learned.
  const EngineLoadState* StateOf(const InstanceId& instance) const;
  /// True while `instance` loads any model: what runs there may pause.
  bool LoadingAny(const InstanceId& instance) const;
  /// A run was made by older weights than `instance` was believed to hold.
  void CorrectVersion(const InstanceId& instance, const ModelName& model, WeightVersion version);
  /// An answer showed that `instance` holds `version`, or a later one by now.
  void NoteVersion(const InstanceId& instance, const ModelName& model, WeightVersion version);

 private:
  /// The subject of the lease on a server's orders: the same for all its lives, so that two holders
  /// never take turns at one server.
  static std::string SubjectOf(const InstanceId& life) { return ServerNameOf(life).value(); }

  using EngineGroup = std::vector<EngineLoadState*>;

  void CatchUp();
  void Tick();
  /// Learns which engines there are, soon: many changes of a moment cost as much as one.
  void LearnEnginesSoon();
  void LearnEngines();
  uint64_t VersionsBehind(const InstanceId& instance) const;
  void Assign();
  /// The one that holds the newest weights of `model`; `engines` is not empty.
  static EngineGroup::iterator NewestOf(EngineGroup& engines, const ModelName& model);
  /// Models that have jobs or a named version; a version may be named after the first jobs.
  std::set<ModelName> TrainedModels() const;
  /// From an order until its engine is asked whether it is done.
  Duration FirstQuestionAfter() const;
  /// Engines that each trained model is to have, by its share of the work.
  std::map<ModelName, size_t> WantedCounts() const;
  uint32_t LoadsUnderWay() const;
  uint32_t MostLoads() const;
  void StartLoads();
  /// Whether what was sent to `instance` has begun there by now, so that an order refuses none.
  bool HasBegunAll(const InstanceId& instance) const;
  void Reserve(const InstanceId& instance);
  void Release(const InstanceId& instance);
  void AskReport(const InstanceId& instance);
  void HandleReport(const InstanceId& instance, const ReportedEngine& report);
  bool MayOrder(const InstanceId& instance) const;
  void Order(const InstanceId& instance, const NamedVersion& wanted, uint64_t orders);
  /// The announcement is committed: gives the order if there is still time for it.
  void Give(const InstanceId& instance, const NamedVersion& wanted, uint64_t orders,
            TimePoint announced_at);
  void EndLoad(const InstanceId& instance, bool done);
  void HandleOrderAnswer(const InstanceId& instance, LoadAnswer answer);
  std::optional<NamedVersion> Wanted(const InstanceId& instance) const;
  /// Engines assigned to `model`, and those of them but `asking` that hold the newest version, load
  /// it or are about to; `asking` counts only if it holds or loads it.
  struct Progress {
    uint64_t engines = 0;
    uint64_t newest = 0;
  };
  Progress ProgressOf(const ModelName& model, WeightVersion target, const InstanceId& asking) const;

  Environment& environment_;
  HttpCaller& http_;
  BackendDirectory& directory_;
  const BackendProtocol& protocol_;
  const NodeId self_;
  const LoadOptions options_;
  RaftGroup* group_ = nullptr;
  TaskLeases leases_;
  /// Everything that earlier leaders committed is applied here.
  bool caught_up_ = false;
  /// How long loads take, by those seen lately.
  Duration load_time_;
  std::map<ModelName, WeightVersion> targets_;
  std::map<ModelName, TimePoint> named_at_;
  std::map<ModelName, ModelDemand> demand_;
  /// Services whose engines hold models.
  std::map<ServiceName, std::vector<ModelName>> services_;
  EngineRoster roster_;
  TimePoint learned_at_;
  std::map<InstanceId, EngineLoadState> engines_;
  std::map<InstanceId, std::unique_ptr<BoundedCall>> exchanges_;
  std::function<void()> on_ready_;
  ScopedTimer timer_;
  ScopedTimer learn_timer_;
  AliveFlag alive_;
};

}  // namespace millstair
