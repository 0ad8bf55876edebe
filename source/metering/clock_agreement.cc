#include "metering/clock_agreement.h"

#include <algorithm>
#include <vector>

namespace millstair {
namespace {

/// About ten query intervals of a node: tolerates lost queries, and drops a node that is gone soon.
constexpr Duration kSampleLifetime = std::chrono::seconds(30);

}  // namespace

void ClockAgreement::AddSample(const NodeId& node, WallTime wall, TimePoint now) {
  std::erase_if(samples_, [now](const auto& entry) {
    return now - entry.second.received_at > kSampleLifetime;
  });
  const Duration since_epoch = wall.time_since_epoch();
  samples_[node] = {since_epoch - now.time_since_epoch(), now};
}

std::optional<WallTime> ClockAgreement::Now(TimePoint now, size_t expected_nodes) const {
  std::vector<Duration> offsets;
  for (const auto& [node, sample] : samples_) {
    if (now - sample.received_at <= kSampleLifetime) offsets.push_back(sample.offset);
  }
  if (offsets.empty() || 2 * offsets.size() < expected_nodes) return std::nullopt;
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  const Duration since_epoch = *middle + now.time_since_epoch();
  return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch));
}

}  // namespace millstair
