#include "jobs/job_group_founder.h"

#include <utility>
#include <vector>

#include "common/event_log.h"

namespace millstair {
namespace {

class JobGroupFounder : public ClusterDuty {
 public:
  JobGroupFounder(Environment& environment, JobGroupFounderOptions options,
                  std::function<void(ClusterCommand)> propose)
      : environment_(environment), options_(options), propose_(std::move(propose)) {}

  void Run(const Configuration& configuration) override {
    if (configuration.job_groups.contains(kJobGroup)) return;
    JobGroup group{kJobGroup, {}};
    for (const auto& [node, record] : configuration.nodes) {
      if (!record.storage || record.replica == ReplicaId()) continue;
      if (record.state != MemberState::kLive || group.founders.size() >= options_.voters) continue;
      group.founders.push_back({record.replica, node, record.address, true});
    }
    if (group.founders.empty()) return;
    const TimePoint now = environment_.Now();
    if (!first_seen_) first_seen_ = now;
    const bool all = group.founders.size() >= options_.voters;
    if (!all && now - *first_seen_ < options_.patience) return;
    LogEvent(EventId::kJobGroupFounded, "group={} founders={}", kJobGroup, group.founders.size());
    propose_({FoundJobGroup{std::move(group)}, std::nullopt, {}});
  }

  void Observe(const NodeId&, const EngineObservation&) override {}

 private:
  Environment& environment_;
  const JobGroupFounderOptions options_;
  const std::function<void(ClusterCommand)> propose_;
  std::optional<TimePoint> first_seen_;
};

}  // namespace

std::unique_ptr<ClusterDuty> MakeJobGroupFounder(Environment& environment,
                                                 JobGroupFounderOptions options,
                                                 std::function<void(ClusterCommand)> propose) {
  return std::make_unique<JobGroupFounder>(environment, options, std::move(propose));
}

}  // namespace millstair
