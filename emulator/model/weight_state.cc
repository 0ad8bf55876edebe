#include "emulator/model/weight_state.h"

#include <algorithm>
#include <utility>

#include "emulator/model/generated_text.h"
#include "fmt/format.h"

namespace millstair {

WeightState::WeightState(const InitialWeights& initial, std::string role, uint32_t max_staged)
    : active_{initial.model, initial.version, initial.digest},
      role_(std::move(role)),
      max_staged_(std::max(1U, max_staged)) {}

absl::Status WeightState::AcceptFence(Revision fence) {
  if (fence < last_fence_) {
    return absl::FailedPreconditionError(
        fmt::format("fence {} is smaller than {}", fence.value(), last_fence_.value()));
  }
  last_fence_ = fence;
  return absl::OkStatus();
}

std::deque<WeightsId>::iterator WeightState::FindStaged(const ModelName& model,
                                                        WeightVersion version) {
  return std::find_if(staged_.begin(), staged_.end(), [&](const WeightsId& weights) {
    return weights.model == model && weights.version == version;
  });
}

bool WeightState::IsActive(const WeightsId& weights) const { return !mixed_ && active_ == weights; }

bool WeightState::Holds(const WeightsId& weights) const {
  return IsActive(weights) || std::find(staged_.begin(), staged_.end(), weights) != staged_.end();
}

absl::Status WeightState::CheckStage(const WeightsId& weights) const {
  if (weights.version == WeightVersion()) {
    return absl::FailedPreconditionError("version 0 cannot be staged");
  }
  const auto conflicts = [&](const WeightsId& held) {
    return held.model == weights.model && held.version == weights.version &&
           held.digest != weights.digest;
  };
  if ((!mixed_ && conflicts(active_)) || std::any_of(staged_.begin(), staged_.end(), conflicts)) {
    return absl::FailedPreconditionError(
        fmt::format("version {} is held with another digest", weights.version.value()));
  }
  return absl::OkStatus();
}

void WeightState::AddStaged(WeightsId weights) {
  if (Holds(weights)) return;
  staged_.push_back(std::move(weights));
  if (staged_.size() <= max_staged_) return;
  // The target of a swap in progress is never dropped.
  const bool front_is_target = swapping() && staged_.front() == swap_target_;
  staged_.erase(staged_.begin() + (front_is_target ? 1 : 0));
}

void WeightState::Unload(const ModelName& model, WeightVersion version) {
  const auto found = FindStaged(model, version);
  if (found == staged_.end()) return;
  if (swapping() && *found == swap_target_) return;
  staged_.erase(found);
}

absl::Status WeightState::BeginSwap(const WeightsId& weights) {
  if (swapping()) return absl::FailedPreconditionError("a swap is under way");
  const auto found = FindStaged(weights.model, weights.version);
  if (found == staged_.end()) {
    return absl::FailedPreconditionError(fmt::format(
        "version {} of {} is not staged", weights.version.value(), weights.model.value()));
  }
  if (weights.digest != WeightDigest() && weights.digest != found->digest) {
    return absl::DataLossError(fmt::format("version {} is staged with digest {}",
                                           weights.version.value(), found->digest.value()));
  }
  swap_target_ = *found;
  shards_ = ShardState::kSwapping;
  return absl::OkStatus();
}

void WeightState::FinishSwap() {
  active_ = swap_target_;
  std::erase(staged_, swap_target_);
  mixed_ = false;
  shards_ = ShardState::kConsistent;
}

void WeightState::FailSwap() {
  if (!mixed_) mixed_old_ = active_.version;
  mixed_ = true;
  active_ = {swap_target_.model, swap_target_.version,
             MixedDigest(mixed_old_, swap_target_.version)};
  shards_ = ShardState::kMixed;
}

WeightVersion WeightState::generating_version() const {
  return mixed_ ? MixedVersion(mixed_old_, active_.version) : active_.version;
}

void WeightState::Describe(EngineReport& report) const {
  report.model = active_.model;
  report.active_version = active_.version;
  report.active_digest = active_.digest;
  report.staged_versions.clear();
  for (const WeightsId& weights : staged_) {
    const bool same_model = weights.model == active_.model || active_.model == ModelName();
    if (same_model) report.staged_versions.push_back(weights.version);
  }
  report.shards = shards_;
  report.last_fence = last_fence_;
  report.role = role_;
}

}  // namespace millstair
