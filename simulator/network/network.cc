#include "simulator/network/network.h"

#include <algorithm>

#include "common/random.h"

namespace millstair::simulator {
namespace {

/// Delay added by retransmission when a segment is lost.
constexpr Duration kRetransmission = std::chrono::milliseconds(200);

}  // namespace

HostId Network::AddHost(const std::string& name, const Zone& zone) {
  hosts_.push_back({name, zone, {}, false});
  return HostId(static_cast<uint32_t>(hosts_.size() - 1));
}

void Network::Cut(const std::vector<Link>& links) {
  for (const Link& link : links) ++cuts_[{link.from, link.to}];
}

void Network::Uncut(const std::vector<Link>& links) {
  for (const Link& link : links) {
    const auto cut = cuts_.find({link.from, link.to});
    if (cut == cuts_.end()) continue;
    if (--cut->second == 0) cuts_.erase(cut);
  }
}

bool Network::Open(HostId from, HostId to) const {
  return cuts_.empty() || !cuts_.contains({from, to});
}

void Network::SetQuality(HostId host, const LinkQuality& quality) {
  Host& changed = hosts_[host.value()];
  changed.quality = quality;
  changed.disturbed = quality.extra_delay > Duration(0) || quality.jitter > Duration(0) ||
                      quality.loss > 0 || quality.duplicate > 0 || quality.reorder > 0;
}

LinkQuality Network::Quality(HostId from, HostId to) const {
  const LinkQuality& a = hosts_[from.value()].quality;
  const LinkQuality& b = hosts_[to.value()].quality;
  return {a.extra_delay + b.extra_delay, a.jitter + b.jitter, std::max(a.loss, b.loss),
          std::max(a.duplicate, b.duplicate), std::max(a.reorder, b.reorder)};
}

Duration Network::BaseLatency(const Host& from, const Host& to) const {
  const bool from_client = from.zone == latencies_.clients;
  if (from_client || to.zone == latencies_.clients) return latencies_.to_clients;
  return from.zone == to.zone ? latencies_.within_zone : latencies_.between_zones;
}

Duration Network::DrawLatency(HostId from, HostId to) {
  const Host& a = hosts_[from.value()];
  const Host& b = hosts_[to.value()];
  const Duration base = BaseLatency(a, b);
  // Up to 10 % jitter even without a disturbance, to avoid lockstep between messages.
  const Duration latency = base + DrawDuration(scheduler_.Random(), Duration(0), base / 10);
  if (!a.disturbed && !b.disturbed) return latency;
  const LinkQuality quality = Quality(from, to);
  Duration extra = quality.extra_delay;
  extra += DrawDuration(scheduler_.Random(), Duration(0), quality.jitter);
  if (DrawChance(scheduler_.Random(), quality.loss)) extra += kRetransmission;
  return latency + extra;
}

}  // namespace millstair::simulator
