#include "weights/weight_duty.h"

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

class WeightDuty : public ClusterDuty {
 public:
  WeightDuty(Environment& environment, std::function<void(ClusterCommand)> propose,
             WeightDutyOptions options)
      : environment_(environment), propose_(std::move(propose)), options_(options) {}

  void Run(const Configuration& configuration) override {
    std::erase_if(observed_, [&](const auto& observed) {
      return !configuration.resources.contains({ResourceKind::kEngine, observed.first.value()});
    });
    std::erase_if(progress_, [&](const auto& progress) {
      return !configuration.models.contains(progress.first);
    });
    for (const auto& [model, status] : configuration.models) RunModel(configuration, status);
  }

  void Observe(const NodeId&, const EngineObservation& observation) override {
    EngineObservation& known = observed_[observation.engine];
    // Reports of two observers may cross; a later life of the engine replaces an earlier one.
    if (observation.incarnation < known.incarnation) return;
    known = observation;
  }

 private:
  struct Progress {
    /// Staged version that is waited for, since when.
    WeightVersion staged;
    TimePoint staged_since;
    /// Last proposal.
    WeightVersion proposed_staged;
    WeightVersion proposed_active;
    TimePoint proposed_at;
  };

  void RunModel(const Configuration& configuration, const ModelStatus& status) {
    Progress& progress = progress_[status.model];
    const TimePoint now = environment_.Now();
    if (progress.staged != status.staged) {
      progress.staged = status.staged;
      progress.staged_since = now;
    }
    WeightVersion staged = status.staged;
    WeightVersion active = status.active;
    if (status.active < status.staged) {
      if (StagedEnough(configuration, status, now - progress.staged_since)) active = status.staged;
    }
    // A further version is fetched only once the one before is served, so that a quick publisher
    // can't keep all of them from being served.
    if (active >= status.staged) staged = std::max(staged, NewestPublished(status));
    if (staged == status.staged && active == status.active) return;
    Propose(progress, status.model, staged, active);
  }

  void Propose(Progress& progress, const ModelName& model, WeightVersion staged,
               WeightVersion active) {
    const TimePoint now = environment_.Now();
    const bool repeated = progress.proposed_staged == staged && progress.proposed_active == active;
    if (repeated && now - progress.proposed_at < options_.propose_again) return;
    progress.proposed_staged = staged;
    progress.proposed_active = active;
    progress.proposed_at = now;
    LogEvent(EventId::kWeightTargetProposed, "model={} staged={} active={}", model, staged, active);
    ClusterCommand command;
    command.operation = SetModelTarget{model, staged, active};
    command.proposed_at = environment_.WallNow();
    propose_(std::move(command));
  }

  bool StagedEnough(const Configuration& configuration, const ModelStatus& status,
                    Duration waited) {
    uint32_t engines = 0;
    uint32_t holding = 0;
    for (const EngineName& engine : rules_.For(configuration).EnginesForModel(status.model)) {
      if (EffectiveState(configuration, engine) != MemberState::kLive) continue;
      ++engines;
      const auto observed = observed_.find(engine);
      if (observed == observed_.end()) continue;
      const bool holds =
          observed->second.staged >= status.staged || observed->second.active >= status.staged;
      if (holds) ++holding;
    }
    if (holding >= options_.staged_share * engines) return true;
    return waited >= StagingLimit(configuration, status.model, engines);
  }

  Duration StagingLimit(const Configuration& configuration, const ModelName& model,
                        uint32_t engines) const {
    const auto* spec = configuration.FindSpec<ModelSpec>(ResourceKind::kModel, model.value());
    if (spec == nullptr || spec->store_bytes_per_second == 0) return options_.shortest_staging;
    const double seconds = 2.0 * engines * static_cast<double>(spec->version_bytes) /
                           static_cast<double>(spec->store_bytes_per_second);
    const Duration longest = options_.longest_staging;
    if (seconds >= ToSeconds(longest)) return longest;
    return std::max(FromSeconds(seconds), options_.shortest_staging);
  }

  Environment& environment_;
  std::function<void(ClusterCommand)> propose_;
  WeightDutyOptions options_;
  PlacementRulesCache rules_;
  std::map<EngineName, EngineObservation> observed_;
  std::map<ModelName, Progress> progress_;
};

}  // namespace

std::unique_ptr<ClusterDuty> MakeWeightDuty(Environment& environment,
                                            std::function<void(ClusterCommand)> propose,
                                            WeightDutyOptions options) {
  return std::make_unique<WeightDuty>(environment, std::move(propose), options);
}

}  // namespace millstair
