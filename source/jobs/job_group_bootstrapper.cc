#include "jobs/job_group_bootstrapper.h"

#include <utility>
#include <vector>

#include "cluster/replica_spread.h"
#include "common/event_log.h"

namespace millstair {
namespace {

class JobGroupBootstrapper : public LeaderTask {
 public:
  JobGroupBootstrapper(Environment& environment, JobGroupBootstrapperOptions options,
                       std::function<void(ClusterCommand)> propose)
      : environment_(environment), options_(options), propose_(std::move(propose)) {}

  void Run(const Configuration& configuration) override {
    if (configuration.job_groups.contains(kJobGroup)) return;
    std::vector<GroupMember> present;
    std::vector<Zone> zones;
    for (const auto& [node, record] : configuration.nodes) {
      if (!record.storage || record.replica == ReplicaId()) continue;
      if (record.state != MemberState::kLive) continue;
      present.push_back({record.replica, node, record.address, true});
      zones.push_back(record.zone);
    }
    if (present.empty() || !IsTimeToBootstrap(present.size())) return;
    JobGroup group{kJobGroup, {}, {}};
    for (const size_t index : PickSpread(zones, options_.voters)) {
      group.initial_members.push_back(present[index]);
    }
    LogEvent(EventId::kJobGroupFounded, "group={} founders={} present={}", kJobGroup,
             group.initial_members.size(), present.size());
    propose_({BootstrapJobGroup{std::move(group)}, std::nullopt, {}});
  }

  void Observe(const NodeId&, const EngineObservation&) override {}

 private:
  /// Nodes appear over some time. Initial members are picked once there are enough nodes and no
  /// other has joined recently, so that every zone is represented.
  bool IsTimeToBootstrap(size_t present) {
    const TimePoint now = environment_.Now();
    if (!first_seen_) first_seen_ = now;
    if (present != present_) last_joined_ = now;
    present_ = present;
    if (now - *first_seen_ >= options_.max_wait) return true;
    return present >= options_.voters && now - last_joined_ >= options_.settle_time;
  }

  Environment& environment_;
  const JobGroupBootstrapperOptions options_;
  const std::function<void(ClusterCommand)> propose_;
  std::optional<TimePoint> first_seen_;
  size_t present_ = 0;
  TimePoint last_joined_;
};

}  // namespace

std::unique_ptr<LeaderTask> MakeJobGroupBootstrapper(Environment& environment,
                                                     JobGroupBootstrapperOptions options,
                                                     std::function<void(ClusterCommand)> propose) {
  return std::make_unique<JobGroupBootstrapper>(environment, options, std::move(propose));
}

}  // namespace millstair
