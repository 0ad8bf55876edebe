/// Settings of a millstaird process: a YAML file, and flags that override it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "common/findings.h"
#include "common/ids.h"
#include "common/time.h"

namespace millstair {

/// The platform's name of the duty to order servers.
inline constexpr std::string_view kScalingDuty = "autoscale";

/// A control node as listed in the settings of every node.
struct ControlNodeSetting {
  std::string node;
  /// "ip:port" of its peer listener.
  std::string address;
  std::string zone;
  friend bool operator==(const ControlNodeSetting&, const ControlNodeSetting&) = default;
};

struct TimingSettings {
  Duration heartbeat = std::chrono::seconds(1);
  Duration lease = std::chrono::seconds(4);
  Duration source_timeout = std::chrono::milliseconds(1500);
  Duration node_lease = std::chrono::seconds(5);
  Duration platform_poll = std::chrono::seconds(1);
  Duration replace_voter_after = std::chrono::seconds(10);
  Duration forget_after = std::chrono::hours(24);
  Duration raft_heartbeat = std::chrono::milliseconds(100);
  Duration election_timeout = std::chrono::seconds(1);
  Duration restart_patience{0};
  Duration claim_retention = std::chrono::hours(24);
  Duration report_poll = std::chrono::milliseconds(250);
  Duration work_poll = std::chrono::milliseconds(200);
  Duration stop_notice = std::chrono::seconds(1);
  Duration drain_limit = std::chrono::seconds(120);
  Duration http_header = std::chrono::seconds(10);
  Duration http_body = std::chrono::seconds(60);
  Duration http_idle = std::chrono::seconds(75);
  Duration http_write = std::chrono::seconds(60);
  /// A caller that has read nothing for this long may be disconnected to free memory.
  Duration slow_reader = std::chrono::seconds(5);
  /// A caller that has sent next to nothing of a body for this long may be refused to free memory.
  Duration slow_sender = std::chrono::seconds(5);
  Duration call_connect = std::chrono::seconds(2);
  Duration call_read = std::chrono::seconds(120);
  /// Maximum time from the acknowledged leaving of a back end until no node assigns it new work; 0
  /// sets no bound.
  Duration leave_bound{0};
  Duration holder_lease = std::chrono::seconds(3);
  Duration job_retention = std::chrono::minutes(2);
  /// Length of the windows for which tenants' requests are counted; 0 disables metering.
  Duration usage_window{0};
  Duration run_stall = std::chrono::milliseconds(2500);
  /// Limit of the requests that all nodes together may send to a cold back end in one second: the
  /// number that its service's cold rate allows in this time.
  Duration cold_span = std::chrono::seconds(1);
};

struct LimitSettings {
  uint64_t http_header = 32 * 1024;
  uint64_t http_body = 16 * 1024 * 1024;
  uint64_t http_send_buffer = 256 * 1024;
  uint64_t http_connections = 8192;
  /// File descriptors that the process may open; 0 takes the limit that the system sets.
  uint64_t descriptors = 0;
  /// Memory that the process may use; 0 sets no bound on the responses that it holds.
  uint64_t process_memory = 0;
  uint64_t peer_frame = 16 * 1024 * 1024;
  uint64_t peer_queue = 32 * 1024 * 1024;
  uint64_t peer_queues = 64 * 1024 * 1024;
  uint64_t snapshot_entries = 2000;
  uint64_t raft_batch = 256 * 1024;
  uint64_t snapshot_chunk = 256 * 1024;
};

struct ServerSettings {
  std::string node;
  std::string zone;
  std::string cluster;
  bool control = false;
  bool gateway = false;
  bool storage = false;
  /// The operators' name of this node's machine; may be empty.
  std::string machine;
  std::string peer_listen;
  /// Address by which other nodes reach the peer listener; `peer_listen` unless set.
  std::string peer_address;
  std::string http_listen;
  /// Listener of the operators' API; empty if it is `http_listen`.
  std::string http_operators;
  std::vector<ControlNodeSetting> control_nodes;
  /// Names of the initial members of the cluster group; all control nodes unless set.
  std::vector<std::string> founders;
  /// Addresses of control nodes, an alternative to `control_nodes`: each node is named by its IP
  /// address and has its peer listener at `seeds_port`.
  std::vector<std::string> seeds;
  /// 0 is the port of this node's peer listener.
  uint64_t seeds_port = 0;
  /// "true" on the first start of the cluster, which the seeds then bootstrap.
  std::string bootstrap = "true";
  /// Protocol at `service_listen`: "none" or the name of the adapter.
  std::string service_interface = "none";
  std::string service_listen;
  /// Listener for readiness probes of load balancers; empty if there is none.
  std::string service_readiness;
  /// Number of machines with replicas that may fail at once.
  uint64_t tolerated_losses = 1;
  /// Number of zones that may fail at once.
  uint64_t tolerated_zones = 0;
  /// "on", "off" or "auto"; see ControlsAdmission, SharesSteps and ScalesPools.
  std::string overload_admission = "auto";
  std::string overload_step_sharing = "auto";
  std::string overload_pool_scaling = "auto";
  /// Engines that load weights concurrently; 0 is a fifth of them, but at least two.
  uint64_t concurrent_loads = 0;
  /// "port/path" of an additional metrics listener; empty if there is none.
  std::string metrics;
  /// Advertised "ip:port" to the "ip:port" by which this node reaches it.
  std::map<std::string, std::string> routes;
  std::string data_folder;
  /// "ip:port" of the platform's machine list; empty if there is none.
  std::string platform_list;
  /// "ip:port" that receives usage reports; empty sends none.
  std::string metering_platform;
  /// "ip:port" that accepts orders of servers; empty sends none.
  std::string scaling_platform;
  /// Duties that the platform leaves to this system; without kScalingDuty no servers are ordered.
  std::vector<std::string> scaling_duties = {std::string(kScalingDuty)};
  /// Requests that may reach a cold back end in one second beyond the limit of `timing.cold_span`.
  uint64_t cold_slack = 4;
  std::string log_level = "info";
  uint64_t workers = 2;
  uint64_t io_threads = 1;
  TimingSettings timing;
  LimitSettings limits;

  /// Whether gateways control admission per service. "auto" turns it on where a zone may fail: the
  /// remaining back ends then have to serve its load too, so that a shortage is to be expected.
  bool ControlsAdmission() const { return IsOn(overload_admission); }
  /// Whether batch jobs share engines by how late they are; "auto" as above.
  bool SharesSteps() const { return IsOn(overload_step_sharing); }
  /// Whether servers are ordered for late batch jobs; "auto" as above. The orders depend on the
  /// forecast of shared steps.
  bool ScalesPools() const {
    const bool is_assigned = std::find(scaling_duties.begin(), scaling_duties.end(),
                                       kScalingDuty) != scaling_duties.end();
    return IsOn(overload_pool_scaling) && SharesSteps() && !scaling_platform.empty() && is_assigned;
  }

 private:
  bool IsOn(const std::string& choice) const {
    return choice == "on" || (choice == "auto" && tolerated_zones > 0);
  }
};

/// Values given on the command line, by settings key ("peer.listen"). They override the file.
using SettingOverrides = std::map<std::string, std::string>;

/// Parses `text` (YAML, from `file`) and `overrides`; adds all errors to `findings`. Invalid values
/// keep their defaults. Empty `text` means that there is no file.
ServerSettings ReadSettings(const std::string& file, const std::string& text,
                            const SettingOverrides& overrides, Findings& findings);

}  // namespace millstair
