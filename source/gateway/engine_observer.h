/// Polls the back ends that this gateway observes and reports their state to its router, the
/// control nodes and the other gateways.
///
/// Each engine has two observers in its home zone, chosen by rendezvous hashing. Both poll; the
/// first shares its reports with the gateways of the zone, and the second takes over while it
/// receives none from the first. One gateway of the zone sends the reports of the engines with the
/// most free slots to one gateway of each other zone, which relays them there. The sharing interval
/// grows with the number of engines in the zone, which bounds the bytes that a gateway receives.
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
  /// Interval of the readiness probes of plain back ends.
  Duration probe = std::chrono::seconds(1);
  /// Upper bound on the shared reports that one gateway of the zone receives.
  uint32_t shared_bytes_per_second = 2500;
  /// Maximum number of engines whose reports are sent to other zones.
  uint32_t summary_engines = 16;
  Duration summary_interval = std::chrono::milliseconds(500);
  /// An unchanged observation is reported to the control nodes again after this time.
  Duration report_refresh_interval = std::chrono::seconds(5);
  /// A back end without a readiness page that reported that it is draining receives requests again
  /// after this time.
  Duration leaving_hold = std::chrono::seconds(30);
};

/// Counters for /metrics.
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
  /// Called with each report that this gateway polled from a model engine.
  using ReportListener = std::function<void(const EngineName&, const EngineReport&)>;

  EngineObserver(Environment& environment, PeerTransport& transport, EngineClient& engines,
                 HttpCaller& http, ConfigurationClient& configuration, EngineRouter& router,
                 NodeRecord self, ObserverOptions options);

  void Start();
  void Stop();
  /// If set, the listener reports model engines to the control nodes in place of this class.
  void OnReport(ReportListener listener) { listener_ = std::move(listener); }
  /// Handles messages of kind kEngineReport.
  void Receive(const NodeId& from, const PeerMessage& message);
  /// Back ends that this gateway polls, with its rank among their observers: 0 if first, else 1.
  std::map<EngineName, uint32_t> ObservedRanks() const;
  /// True if this gateway polls `engine`.
  bool Observes(const EngineName& engine) const;
  const ObserverCounters& counters() const { return counters_; }

 private:
  /// State of one engine.
  struct Observed {
    bool polling = false;
    bool reading_cache = false;
    /// Newest report that this gateway polled, and when the engine sampled it.
    EngineReport report;
    TimePoint taken_at;
    bool has_report = false;
    bool fresh = false;
    /// Cache events read since they were last shared.
    std::vector<SharedCache> cache;
    /// When another gateway last shared a report of this engine.
    TimePoint peer_shared_at;
    /// Last observation reported to the control nodes.
    EngineObservation last_reported;
    TimePoint reported_at;
    bool was_reported = false;
    /// Last full read of the engine's cache blocks.
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
