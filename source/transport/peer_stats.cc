#include "transport/peer_stats.h"

#include "common/event_log.h"

namespace millstair {

PeerStats::PeerStats(StatsRegistry& registry)
    : stats(registry),
      messages_sent(
          stats.NewCounter({"millstair_peer_messages_sent_total", "Messages sent to peers."})),
      messages_received(stats.NewCounter(
          {"millstair_peer_messages_received_total", "Messages received from peers."})),
      bytes_sent(stats.NewCounter({"millstair_peer_bytes_sent_total", "Bytes sent to peers."})),
      bytes_received(
          stats.NewCounter({"millstair_peer_bytes_received_total", "Bytes received from peers."})),
      dials(stats.NewCounter({"millstair_peer_dials_total", "Connections tried to peers."})),
      dials_failed(stats.NewCounter(
          {"millstair_peer_dials_failed_total", "Connections to peers that did not come up."})),
      connections_lost(
          stats.NewCounter({"millstair_peer_connections_lost_total",
                            "Connections to peers that neither node closed: reset or timed out."})),
      connections(
          stats.NewGauge({"millstair_peer_connections", "Connections to peers open now."})) {
  for (size_t kind = 1; kind < queued_bytes_.size(); ++kind) {
    queued_bytes_[kind] = &stats.NewCounter(
        {"millstair_peer_queued_bytes_total", "Messages to peers by kind, before compression.",
         "kind", std::string(MessageKindName(static_cast<MessageKind>(kind)))});
  }
}

void PeerStats::CountQueued(MessageKind kind, uint64_t bytes) {
  queued_bytes_.at(static_cast<size_t>(kind))->Add(bytes);
}

void PeerStats::CountRefused(const std::string& reason) {
  stats
      .NewCounter({"millstair_peer_refused_total", "Peer connections closed for a faulty frame.",
                   "reason", reason})
      .Add();
  LogEvent(EventId::kPeerRefused, "reason={}", reason);
}

void PeerStats::CountDropped(const std::string& reason, uint64_t count) {
  stats
      .NewCounter({"millstair_peer_messages_dropped_total", "Messages to peers that were not sent.",
                   "reason", reason})
      .Add(count);
}

}  // namespace millstair
