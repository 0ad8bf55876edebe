/// Fakes for tests of the scale task: a protocol of plain text, routes without a document, and a
/// cluster group whose state every node applies.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cluster/cluster_state_machine.h"
#include "common/virtual_environment.h"
#include "scaling/scale_task.h"

namespace millstair {

inline const ServiceName kEngines("engines");
inline const Zone kZoneA("zone-a");
inline const Zone kZoneB("zone-b");

/// "ZONE WANTED HOLDER FENCE" in the body.
class PlainScaleProtocol : public ScaleProtocol {
 public:
  HttpRequest MakeScaleCall(const PoolSize& size, const TaskLeaseHolder& holder) const override {
    return {"POST",
            "/scale",
            {},
            size.zone.value() + " " + std::to_string(size.wanted) + " " + holder.machine + " " +
                std::to_string(holder.fence)};
  }
  ScaleAnswer ReadAnswer(int status) const override {
    if (status == 200) return ScaleAnswer::kAccepted;
    if (status == 409) return ScaleAnswer::kUnavailable;
    return status == 429 ? ScaleAnswer::kBusy : ScaleAnswer::kUnknown;
  }
};

/// Servers of kEngines can be ordered if the document is not "fixed".
class FakeRoutes : public RoutingDocumentReader {
 public:
  absl::StatusOr<RouteTable> Read(const std::string& content) const override {
    RouteTable table;
    Service service;
    service.name = kEngines;
    if (content != "fixed") service.scaling = scaling;
    table.services.push_back(service);
    return table;
  }

  ServiceScaling scaling{1, 12, std::chrono::seconds(4), 0.2, {{kZoneA, 1.0}, {kZoneB, 0.8}}};
};

/// The state of the cluster group, as applied on each node.
class FakeGroup {
 public:
  explicit FakeGroup(VirtualScheduler& scheduler) : scheduler_(scheduler) {}

  void Commit(const ClusterOperation& operation) {
    if (const auto* set = std::get_if<SetPoolSize>(&operation)) {
      committed_sizes.push_back(set->size);
    }
    ClusterCommand command;
    command.operation = operation;
    state.Apply(LogIndex(++index_), EncodeCommand(command));
    const auto* announce = std::get_if<AnnounceTaskLease>(&operation);
    if (announce == nullptr) return;
    for (ScaleTask* task : tasks) task->OnAnnouncement(announce->announcement);
  }
  void CatchUp(std::function<void(bool)> done) {
    scheduler_.Schedule(std::chrono::milliseconds(3), [this, done] { done(quorum); });
  }
  void Propose(ClusterOperation operation, std::function<void(bool)> done) {
    ++proposed;
    scheduler_.Schedule(commit_time, [this, operation = std::move(operation), done] {
      if (!quorum) return done(false);
      Commit(operation);
      done(true);
    });
  }
  /// `on_demand` and `spot` servers of 8 slots in the zone.
  void SetServers(const Zone& zone, uint32_t on_demand, uint32_t spot = 0) {
    for (uint32_t i = 0; i < kMostServers; ++i) {
      Report(zone, "d" + std::to_string(i), i < on_demand, false);
      Report(zone, "s" + std::to_string(i), i < spot, true);
    }
  }
  /// The first `count` on-demand servers of the zone announce that they leave.
  void SetLeaving(const Zone& zone, uint32_t count) {
    for (uint32_t i = 0; i < count; ++i) {
      const std::string server = zone.value() + "-d" + std::to_string(i);
      BackendInstance instance = state.configuration().instances.at(
          InstanceId(server + "-" + std::to_string(incarnations_[server])));
      instance.sequence = ++sequence_;
      instance.state = MemberState::kLeaving;
      Commit(UpdateInstance{instance});
    }
  }
  uint32_t Wanted(const Zone& zone) const {
    const auto found = state.pool_sizes().find({kEngines, zone});
    return found == state.pool_sizes().end() ? 0 : found->second.wanted;
  }

  ClusterStateMachine state;
  std::vector<ScaleTask*> tasks;
  std::vector<PoolSize> committed_sizes;
  /// Proposals, including those that are not committed yet.
  uint32_t proposed = 0;
  Duration commit_time = std::chrono::milliseconds(3);
  bool quorum = true;

 private:
  static constexpr uint32_t kMostServers = 16;

  /// Each server has a new incarnation when it returns.
  void Report(const Zone& zone, const std::string& name, bool serves, bool spot) {
    const std::string server = zone.value() + "-" + name;
    uint64_t& incarnation = incarnations_[server];
    const bool registered = incarnation % 2 == 1;
    if (registered == serves) return;
    if (serves) ++incarnation;
    BackendInstance instance;
    instance.id = InstanceId(server + "-" + std::to_string(incarnation));
    instance.service = kEngines;
    instance.zone = zone;
    instance.address = "10.0.0.1:1";
    instance.slots = 8;
    instance.sequence = ++sequence_;
    instance.spot = spot;
    instance.state = serves ? MemberState::kLive : MemberState::kGone;
    Commit(UpdateInstance{instance});
    if (!serves) ++incarnation;
  }

  VirtualScheduler& scheduler_;
  uint64_t index_ = 0;
  uint64_t sequence_ = 0;
  std::map<std::string, uint64_t> incarnations_;
};

/// A control node of the group.
class FakeScaleNode : public ScaleHost {
 public:
  FakeScaleNode(VirtualScheduler& scheduler, HttpCaller& platform, FakeGroup& group,
                const std::string& name, StatsRegistry* stats = nullptr)
      : environment(scheduler, 7),
        task(environment, platform, protocol, routes, *this,
             {NodeId(name), name, "p:1", std::chrono::seconds(3), stats}),
        group_(group) {
    group.tasks.push_back(&task);
  }

  std::optional<Term> LeadingTerm() const override { return term; }
  const Configuration& configuration() const override { return group_.state.configuration(); }
  const PoolSizes& pool_sizes() const override { return group_.state.pool_sizes(); }
  bool CanCommitSizes() const override { return all_nodes_decode; }
  void CatchUp(std::function<void(bool)> done) override { group_.CatchUp(std::move(done)); }
  void Propose(ClusterOperation operation, std::function<void(bool)> done) override {
    group_.Propose(std::move(operation), std::move(done));
  }
  void Lead(uint64_t in_term) {
    term = Term(in_term);
    task.Run();
  }

  VirtualEnvironment environment;
  PlainScaleProtocol protocol;
  FakeRoutes routes;
  std::optional<Term> term;
  bool all_nodes_decode = true;
  ScaleTask task;

 private:
  FakeGroup& group_;
};

}  // namespace millstair
