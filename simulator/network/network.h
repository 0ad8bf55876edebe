/// Model of the network of a simulated fleet: hosts in zones, latencies, and disturbances between
/// hosts. It carries no messages; connections and peer messages query it for reachability and
/// delay.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/strong_id.h"
#include "common/time.h"
#include "common/virtual_environment.h"

namespace millstair::simulator {

/// A machine of the simulated fleet.
using HostId = StrongId<struct HostIdTag, uint32_t>;

/// One-way latencies.
struct LatencyPlan {
  Duration within_zone = std::chrono::microseconds(100);
  Duration between_zones = std::chrono::microseconds(500);
  /// To and from hosts of the zone `clients`.
  Duration to_clients = std::chrono::milliseconds(1);
  Zone clients{"clients"};
};

/// Disturbance of all messages that a host sends and receives.
struct LinkQuality {
  Duration extra_delay{0};
  /// Uniform in [0, jitter], added per message.
  Duration jitter{0};
  /// Share of peer messages that are lost; connections retransmit with a delay instead.
  double loss = 0;
  double duplicate = 0;
  /// Share of peer messages that later ones may overtake.
  double reorder = 0;
};

/// One direction between two hosts.
struct Link {
  HostId from;
  HostId to;
};

class Network {
 public:
  Network(VirtualScheduler& scheduler, LatencyPlan latencies)
      : scheduler_(scheduler), latencies_(std::move(latencies)) {}

  HostId AddHost(const std::string& name, const Zone& zone);
  size_t host_count() const { return hosts_.size(); }
  const std::string& HostName(HostId host) const { return hosts_[host.value()].name; }
  const Zone& HostZone(HostId host) const { return hosts_[host.value()].zone; }

  /// Cuts nest: a link is open again once every cut is undone.
  void Cut(const std::vector<Link>& links);
  void Uncut(const std::vector<Link>& links);
  bool Open(HostId from, HostId to) const;
  bool OpenBothWays(HostId a, HostId b) const { return Open(a, b) && Open(b, a); }

  /// Replaces the disturbance of `host`.
  void SetQuality(HostId host, const LinkQuality& quality);
  /// Combined disturbances of both ends.
  LinkQuality Quality(HostId from, HostId to) const;
  /// Draws the latency of a message sent now, jitter included.
  Duration DrawLatency(HostId from, HostId to);

  VirtualScheduler& scheduler() { return scheduler_; }

 private:
  struct Host {
    std::string name;
    Zone zone;
    LinkQuality quality;
    bool disturbed = false;
  };

  Duration BaseLatency(const Host& from, const Host& to) const;

  VirtualScheduler& scheduler_;
  LatencyPlan latencies_;
  std::vector<Host> hosts_;
  /// Number of cuts by direction; entries without cuts are absent.
  std::map<std::pair<HostId, HostId>, uint32_t> cuts_;
};

}  // namespace millstair::simulator
