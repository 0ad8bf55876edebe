#include "jobs/job_group_founder.h"

#include <utility>
#include <vector>

#include "cluster/replica_spread.h"
#include "common/event_log.h"

namespace millstair {
namespace {

class JobGroupFounder : public LeaderTask {
 public:
  JobGroupFounder(Environment& environment, JobGroupFounderOptions options,
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
    if (present.empty() || !IsTimeToFound(present.size())) return;
    JobGroup group{kJobGroup, {}, {}};
    for (const size_t index : PickSpread(zones, options_.voters)) {
      group.founders.push_back(present[index]);
    }
    LogEvent(EventId::kJobGroupFounded, "group={} founders={} present={}", kJobGroup,
             group.founders.size(), present.size());
    propose_({FoundJobGroup{std::move(group)}, std::nullopt, {}});
  }

  void Observe(const NodeId&, const EngineObservation&) override {}

 private:
  /// Nodes are heard of over some time. Founders are picked once there are enough of them and no
  /// further one was heard of lately, so that every zone has been heard of.
  bool IsTimeToFound(size_t present) {
    const TimePoint now = environment_.Now();
    if (!first_seen_) first_seen_ = now;
    if (present != present_) last_joined_ = now;
    present_ = present;
    if (now - *first_seen_ >= options_.patience) return true;
    return present >= options_.voters && now - last_joined_ >= options_.settled_for;
  }

  Environment& environment_;
  const JobGroupFounderOptions options_;
  const std::function<void(ClusterCommand)> propose_;
  std::optional<TimePoint> first_seen_;
  size_t present_ = 0;
  TimePoint last_joined_;
};

}  // namespace

std::unique_ptr<LeaderTask> MakeJobGroupFounder(Environment& environment,
                                                JobGroupFounderOptions options,
                                                std::function<void(ClusterCommand)> propose) {
  return std::make_unique<JobGroupFounder>(environment, options, std::move(propose));
}

}  // namespace millstair
