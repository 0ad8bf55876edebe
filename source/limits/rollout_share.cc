#include "limits/rollout_share.h"

#include <algorithm>

namespace millstair {

void RolloutShare::RecordLiveLatency(TimePoint now, Duration latency, Duration unloaded) {
  if (unloaded <= Duration(0)) return;
  if (ToSeconds(latency) > options_.tolerance * ToSeconds(unloaded)) Cut(now);
}

double RolloutShare::Share(TimePoint now) const {
  if (!was_cut_) return share_;
  const double grown = share_ + options_.growth * ToSeconds(now - cut_at_);
  return std::min(options_.max_share, grown);
}

uint32_t RolloutShare::Sequences(TimePoint now, uint32_t max_sequences) const {
  return static_cast<uint32_t>(Share(now) * max_sequences);
}

void RolloutShare::Cut(TimePoint now) {
  if (was_cut_ && now - cut_at_ < options_.cut_interval) return;
  share_ = std::max(options_.min_share, Share(now) * options_.cut);
  cut_at_ = now;
  was_cut_ = true;
}

}  // namespace millstair
