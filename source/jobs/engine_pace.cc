#include "jobs/engine_pace.h"

#include <algorithm>
#include <vector>

namespace millstair {
namespace {

constexpr double kSmoothing = 0.1;
/// An engine whose events take this much longer than the median is slow.
constexpr double kSlowFactor = 2.0;
/// With fewer engines there is no telling which one is out of line.
constexpr size_t kFewestEngines = 3;

}  // namespace

void EnginePace::Note(const InstanceId& instance, Duration gap) {
  const double seconds = ToSeconds(gap);
  const auto [known, added] = seconds_.try_emplace(instance, seconds);
  if (!added) known->second += kSmoothing * (seconds - known->second);
}

std::optional<double> EnginePace::Median() const {
  if (seconds_.size() < kFewestEngines) return std::nullopt;
  std::vector<double> values;
  values.reserve(seconds_.size());
  for (const auto& [instance, value] : seconds_) values.push_back(value);
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

bool EnginePace::IsSlow(const InstanceId& instance) const {
  const auto known = seconds_.find(instance);
  if (known == seconds_.end()) return false;
  const auto median = Median();
  return median && known->second > kSlowFactor * *median;
}

}  // namespace millstair
