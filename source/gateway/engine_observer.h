/// Watches the back ends that this gateway observes, tells its router, the control nodes and the
/// other gateways.
///
/// Each engine has two observers in its home zone by rendezvous hash. Both poll; the first shares
/// with the gateways of the zone, the second does while it hears nothing from the first. One
/// gateway of the zone sends the reports of the engines with most room to one gateway of each other
/// zone, which passes them on there. How often reports are shared follows from how many engines the
/// zone has, so that what a gateway receives stays within a bound.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster/configuration_client.h"
#include "common/alive_flag.h"
#include "common/environment.h"
#include "common/peer_transport.h"
#include "common/scoped_timer.h"
#include "engine/engine_types.h"
#include "gateway/observation_codec.h"
#include "gateway/readiness_probe.h"
#include "http/exchange.h"
#include "routing/engine_router.h"

namespace millstair {

struct ObserverOptions {
  Duration poll = std::chrono::milliseconds(250);
  /// Plain back ends are asked for their readiness this often.
  Duration probe = std::chrono::seconds(1);
  /// Bound on the bytes a second of shared reports that reach one gateway of the zone.
  uint32_t shared_bytes_per_second = 2500;
  /// Reports of a zone that other zones get.
  uint32_t summary_engines = 16;
  Duration summary_interval = std::chrono::milliseconds(500);
  /// An unchanged observation is told to the control nodes again after this long.
  Duration report_refresh_interval = std::chrono::seconds(5);
  /// A back end that said that it is leaving, and has no readiness page, gets work again after
  /// this.
  Duration leaving_hold = std::chrono::seconds(30);
};

/// Figures for /metrics.
struct ObserverCounters {
  uint64_t polls = 0;
  uint64_t poll_failures = 0;
  uint64_t resyncs = 0;
  uint64_t shared_messages = 0;
  uint64_t received_messages = 0;
  uint64_t bad_messages = 0;
};

/// Lives on the node's serial executor.
class EngineObserver {
 public:
  /// Hears of each report of a model engine that this gateway polled.
  using ReportListener = std::function<void(const EngineName&, const EngineReport&)>;

  EngineObserver(Environment& environment, PeerTransport& transport, EngineClient& engines,
                 HttpCaller& http, ConfigurationClient& configuration, EngineRouter& router,
                 NodeRecord self, ObserverOptions options);

  void Start();
  void Stop();
  /// With a listener, it is the listener that tells the control nodes of model engines.
  void OnReport(ReportListener listener) { listener_ = std::move(listener); }
  /// Messages of kind kEngineReport.
  void Receive(const NodeId& from, const PeerMessage& message);
  /// Back ends that this gateway polls: 0 for those it is the first observer of, else 1.
  std::map<EngineName, uint32_t> ObservedRanks() const;
  /// This gateway polls `engine`.
  bool Observes(const EngineName& engine) const;
  const ObserverCounters& counters() const { return counters_; }

 private:
  /// What is kept of one engine.
  struct Observed {
    bool polling = false;
    bool reading_cache = false;
    /// Newest own report and when its figures were taken.
    EngineReport report;
    TimePoint taken_at;
    bool has_report = false;
    bool fresh = false;
    /// Cache events read since the last sharing.
    std::vector<SharedCache> cache;
    /// When another gateway last shared a report of it.
    TimePoint peer_shared_at;
    /// Last observation told to the control nodes.
    EngineObservation last_reported;
    TimePoint reported_at;
    bool was_reported = false;
    /// Last reading of all blocks.
    TimePoint resync_at;
    std::unique_ptr<ReadinessProbe> probe;
    TimePoint probed_at;
    TimePoint leaving_reported_at;
    bool plain_leaving = false;
  };

  void Tick();
  void TickEngine(const EngineName& engine, const EngineSpec& spec, bool observes);
  void Poll(const EngineName& engine, const std::string& address);
  void OnPolled(const EngineName& engine, const std::string& address,
                const absl::StatusOr<EngineReport>& report);
  void ReadCache(const EngineName& engine, const std::string& address, bool resync);
  void Probe(const EngineName& engine, const EngineSpec& spec);
  void OnProbed(const EngineName& engine, Readiness readiness);
  void ReportToControlNodes(const EngineName& engine, const EngineObservation& observation);
  void Share();
  void SendSummary();
  void Send(const NodeId& to, const EngineObservationsMessage& message);
  void Apply(const ObservedEngineState& engine);
  Duration ShareInterval() const;
  ObservedEngineState StateOf(const EngineName& engine, const Observed& observed) const;

  Environment& environment_;
  PeerTransport& transport_;
  EngineClient& engines_;
  HttpCaller& http_;
  ConfigurationClient& configuration_;
  EngineRouter& router_;
  NodeRecord self_;
  ObserverOptions options_;
  ReportListener listener_;
  std::map<EngineName, Observed> observed_;
  TimePoint shared_at_;
  TimePoint summary_at_;
  ObserverCounters counters_;
  ScopedTimer timer_;
  AliveFlag alive_;
};

}  // namespace millstair
