/// Counters of the peer transport. Internal to transport/.
#pragma once

#include <array>
#include <string>

#include "common/peer_transport.h"
#include "common/stats.h"

namespace millstair {

struct PeerStats {
  explicit PeerStats(StatsRegistry& registry);
  /// Counts and logs a refused connection or frame.
  void CountRefused(const std::string& reason);
  /// Counts messages that were not sent.
  void CountDropped(const std::string& reason, uint64_t count = 1);

  /// Counts the payload of a message to a peer, before compression.
  void CountQueued(MessageKind kind, uint64_t bytes);

  StatsRegistry& stats;
  Counter& messages_sent;
  Counter& messages_received;
  Counter& bytes_sent;
  Counter& bytes_received;
  Counter& dials;
  Counter& dials_failed;
  Counter& connections_lost;
  Gauge& connections;

 private:
  /// Indexed by MessageKind, which starts at 1.
  std::array<Counter*, kMessageKinds + 1> queued_bytes_{};
};

}  // namespace millstair
