/// Counters of the peer transport. Internal to transport/.
#pragma once

#include <string>

#include "common/stats.h"

namespace millstair {

struct PeerStats {
  explicit PeerStats(StatsRegistry& registry);
  /// Counts a refused connection or frame.
  void CountRefused(const std::string& reason);
  /// Counts messages that were not sent.
  void CountDropped(const std::string& reason, uint64_t count = 1);

  StatsRegistry& stats;
  Counter& messages_sent;
  Counter& messages_received;
  Counter& bytes_sent;
  Counter& bytes_received;
  Counter& dials;
  Counter& dials_failed;
  Gauge& connections;
};

}  // namespace millstair
