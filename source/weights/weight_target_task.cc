#include "weights/weight_target_task.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "common/event_log.h"
#include "routing/placement_rules.h"

namespace millstair {
namespace {

WeightVersion NewestPublished(const ModelStatus& status) {
  WeightVersion newest;
  for (const PublishedVersion& version : status.published) {
    newest = std::max(newest, version.version);
  }
  return newest;
}

class WeightTargetTask : public LeaderTask {
 public:
  WeightTargetTask(Environment& environment, std::function<void(ClusterCommand)> propose,
                   WeightTargetOptions options)
      : environment_(environment), propose_(std::move(propose)), options_(options) {}

  void Run(const Configuration& configuration) override {
    std::erase_if(observed_, [&](const auto& observed) {
      return !configuration.resources.contains({ResourceKind::kEngine, observed.first.value()});
    });
    std::erase_if(progress_, [&](const auto& progress) {
      return !configuration.models.contains(progress.first);
    });
    const PlacementRules& rules = rules_.For(configuration);
    for (const auto& [model, status] : configuration.models) {
      RefreshModel(configuration, rules, status);
      RunModel(progress_[model]);
    }
  }

  void Observe(const NodeId&, const EngineObservation& observation) override {
    EngineObservation& record = observed_[observation.engine];
    if (observation.incarnation < record.incarnation) return;
    if (observation.incarnation > record.incarnation) record = observation;
    // Gateways may repeat old observations. Versions only increase within one incarnation of the
    // engine, so the largest ones are the newest.
    record.staged = std::max(record.staged, observation.staged);
    record.active = std::max(record.active, observation.active);
    for (auto& [model, progress] : progress_) {
      if (progress.status.active < progress.status.staged) RunModel(progress);
    }
  }

 private:
  struct Progress {
    /// Status at the last run.
    ModelStatus status;
    std::vector<EngineName> live_engines;
    Duration staging_timeout{0};
    /// Version being staged, and since when.
    WeightVersion staged;
    TimePoint staging_started_at;
    /// Last proposal.
    WeightVersion proposed_staged;
    WeightVersion proposed_active;
    TimePoint proposed_at;
  };

  void RefreshModel(const Configuration& configuration, const PlacementRules& rules,
                    const ModelStatus& status) {
    Progress& progress = progress_[status.model];
    progress.status = status;
    progress.live_engines.clear();
    for (const EngineName& engine : rules.EnginesForModel(status.model)) {
      if (EffectiveState(configuration, engine) == MemberState::kLive) {
        progress.live_engines.push_back(engine);
      }
    }
    progress.staging_timeout =
        StagingTimeout(configuration, status.model, progress.live_engines.size());
    if (progress.staged == status.staged) return;
    progress.staged = status.staged;
    progress.staging_started_at = environment_.Now();
  }

  void RunModel(Progress& progress) {
    const ModelStatus& status = progress.status;
    WeightVersion staged = status.staged;
    WeightVersion active = status.active;
    if (status.active < status.staged && IsSufficientlyStaged(progress)) active = status.staged;
    // The next version is staged only once the previous one is active, so that frequent publishing
    // can't prevent versions from being served.
    if (active >= status.staged) staged = std::max(staged, NewestPublished(status));
    if (staged == status.staged && active == status.active) return;
    Propose(progress, status.model, staged, active);
  }

  void Propose(Progress& progress, const ModelName& model, WeightVersion staged,
               WeightVersion active) {
    const TimePoint now = environment_.Now();
    const bool repeated = progress.proposed_staged == staged && progress.proposed_active == active;
    if (repeated && now - progress.proposed_at < options_.repropose_interval) return;
    progress.proposed_staged = staged;
    progress.proposed_active = active;
    progress.proposed_at = now;
    LogEvent(EventId::kWeightTargetProposed, "model={} staged={} active={}", model, staged, active);
    ClusterCommand command;
    command.operation = SetModelTarget{model, staged, active};
    command.proposed_at = environment_.WallNow();
    propose_(std::move(command));
  }

  bool IsSufficientlyStaged(const Progress& progress) const {
    const WeightVersion wanted = progress.status.staged;
    size_t holding = 0;
    for (const EngineName& engine : progress.live_engines) {
      const auto observed = observed_.find(engine);
      if (observed == observed_.end()) continue;
      const bool holds = observed->second.staged >= wanted || observed->second.active >= wanted;
      if (holds) ++holding;
    }
    const size_t engines = progress.live_engines.size();
    constexpr size_t kMinEnginesForSpare = 3;
    size_t spare = 0;
    if (engines >= kMinEnginesForSpare) {
      const double share = options_.unstaged_share * static_cast<double>(engines);
      spare = std::max<size_t>(1, static_cast<size_t>(share));
    }
    if (holding + spare >= engines) return true;
    return environment_.Now() - progress.staging_started_at >= progress.staging_timeout;
  }

  Duration StagingTimeout(const Configuration& configuration, const ModelName& model,
                          size_t engines) const {
    const auto* spec = configuration.FindSpec<ModelSpec>(ResourceKind::kModel, model.value());
    if (spec == nullptr || spec->store_bytes_per_second == 0) return options_.min_staging_time;
    const double seconds = 2.0 * static_cast<double>(engines) *
                           static_cast<double>(spec->version_bytes) /
                           static_cast<double>(spec->store_bytes_per_second);
    const Duration longest = options_.max_staging_time;
    if (seconds >= ToSeconds(longest)) return longest;
    return std::max(FromSeconds(seconds), options_.min_staging_time);
  }

  Environment& environment_;
  std::function<void(ClusterCommand)> propose_;
  WeightTargetOptions options_;
  PlacementRulesCache rules_;
  std::map<EngineName, EngineObservation> observed_;
  std::map<ModelName, Progress> progress_;
};

}  // namespace

std::unique_ptr<LeaderTask> MakeWeightTargetTask(Environment& environment,
                                                 std::function<void(ClusterCommand)> propose,
                                                 WeightTargetOptions options) {
  return std::make_unique<WeightTargetTask>(environment, std::move(propose), options);
}

}  // namespace millstair
