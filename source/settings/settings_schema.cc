#include "settings/settings_schema.h"

#include <algorithm>

#include "common/units.h"
#include "fmt/format.h"

namespace millstair {
namespace {

constexpr uint64_t kMillisecond = 1000;
constexpr uint64_t kSecond = 1000 * kMillisecond;
constexpr uint64_t kHour = 3600 * kSecond;
constexpr uint64_t kKiB = 1024;
constexpr uint64_t kMiB = 1024 * kKiB;

SettingKey Text(std::string_view key, SettingKind kind, std::string ServerSettings::*member,
                std::string_view description, std::string_view default_description = "none") {
  SettingKey entry;
  entry.key = key;
  entry.kind = kind;
  entry.description = description;
  entry.default_description = default_description;
  entry.text = [member](ServerSettings& settings) -> std::string& { return settings.*member; };
  return entry;
}

SettingKey Required(SettingKey entry) {
  entry.required = true;
  entry.default_description = "required";
  return entry;
}

SettingKey Time(std::string_view key, Duration TimingSettings::*member, uint64_t min, uint64_t max,
                std::string_view description) {
  SettingKey entry;
  entry.key = key;
  entry.kind = SettingKind::kDuration;
  entry.min = min;
  entry.max = max;
  entry.description = description;
  entry.duration = [member](ServerSettings& settings) -> Duration& {
    return settings.timing.*member;
  };
  return entry;
}

SettingKey Limit(std::string_view key, SettingKind kind, uint64_t LimitSettings::*member,
                 uint64_t min, uint64_t max, std::string_view description) {
  SettingKey entry;
  entry.key = key;
  entry.kind = kind;
  entry.min = min;
  entry.max = max;
  entry.description = description;
  entry.number = [member](ServerSettings& settings) -> uint64_t& {
    return settings.limits.*member;
  };
  return entry;
}

SettingKey Number(std::string_view key, uint64_t ServerSettings::*member, uint64_t min,
                  uint64_t max, std::string_view description) {
  SettingKey entry;
  entry.key = key;
  entry.kind = SettingKind::kCount;
  entry.min = min;
  entry.max = max;
  entry.description = description;
  entry.number = [member](ServerSettings& settings) -> uint64_t& { return settings.*member; };
  return entry;
}

SettingKey List(std::string_view key, SettingKind kind, std::string_view description,
                std::string_view default_description) {
  SettingKey entry;
  entry.key = key;
  entry.kind = kind;
  entry.description = description;
  entry.default_description = default_description;
  return entry;
}

SettingKey LogLevel() {
  SettingKey entry = Text("log.level", SettingKind::kChoice, &ServerSettings::log_level,
                          "Events below this level are not logged.", "info");
  entry.choices = {"debug", "info", "warning", "error"};
  return entry;
}

SettingKey Flag(std::string_view key, std::string ServerSettings::*member,
                std::string_view description, std::string_view default_description) {
  SettingKey entry = Text(key, SettingKind::kChoice, member, description, default_description);
  entry.choices = {"true", "false"};
  return entry;
}

SettingKey AutoSwitch(std::string_view key, std::string ServerSettings::*member,
                      std::string_view description) {
  SettingKey entry = Text(key, SettingKind::kChoice, member, description, "auto");
  entry.choices = {"auto", "on", "off"};
  return entry;
}

SettingKey Interface() {
  SettingKey entry =
      Text("service.interface", SettingKind::kChoice, &ServerSettings::service_interface,
           "What is spoken at service.listen.", "none");
  entry.choices = {"none", "platform"};
  return entry;
}

constexpr uint64_t kMostPort = 65535;

std::vector<SettingKey> MakeKeys() {
  using Kind = SettingKind;
  using S = ServerSettings;
  using T = TimingSettings;
  using L = LimitSettings;
  return {
      Required(Text("node", Kind::kName, &S::node,
                    "Name of this node, unique in the cluster; stays the same across restarts.")),
      Required(Text("zone", Kind::kName, &S::zone, "Zone that this node is in.")),
      Required(Text("cluster", Kind::kName, &S::cluster,
                    "Name of the cluster; peers of another are refused.")),
      Required(List("roles", Kind::kRoles,
                    "What this node does: control, gateway, storage, or several of them.",
                    "required")),
      Required(Text("peer.listen", Kind::kAddress, &S::peer_listen, "Listener for other nodes.")),
      Text("peer.address", Kind::kAddress, &S::peer_address,
           "Where other nodes reach the peer listener.", "the value of peer.listen"),
      Required(Text("http.listen", Kind::kAddress, &S::http_listen,
                    "Listener for callers, trainers, /metrics, /livez and /readyz.")),
      Text("http.operators", Kind::kAddress, &S::http_operators,
           "Listener of the operators' API on a control node.", "the value of http.listen"),
      Required(List("control_nodes", Kind::kControlNodes,
                    "All control nodes: node, address (of its peer listener) and zone of each.",
                    "required")),
      List("seeds", Kind::kAddresses,
           "Addresses of control nodes, instead of control_nodes: each is named by its IP number, "
           "and its peer listener is at peer.seeds_port.",
           "none"),
      Number("peer.seeds_port", &S::seeds_port, 0, kMostPort,
             "Port of the seeds' peer listeners; 0 is the port of this node's."),
      Flag("bootstrap", &S::bootstrap,
           "True on the first start of the whole cluster only: the control nodes listed found it.",
           "true"),
      Text("machine", Kind::kName, &S::machine,
           "Name of this node's machine, as operators know it."),
      Interface(),
      Text("service.listen", Kind::kAddress, &S::service_listen,
           "Listener of the service's own interface: clients at a gateway, back ends, trainers and "
           "operators at a control node."),
      Text("service.readiness", Kind::kAddress, &S::service_readiness,
           "Listener that tells whether this node takes work."),
      Number("replication.tolerate", &S::tolerated_losses, 0, 10,
             "Machines with replicas that may be lost at once; sets the number of voters."),
      Number(
          "replication.tolerate_zones", &S::tolerated_zones, 0, 10,
          "Zones that may be lost at once. Above 0, the overload settings that are auto are on."),
      AutoSwitch("overload.admission", &S::overload_admission,
                 "Whether gateways limit what they send to overloaded back ends, and queue or "
                 "reject the rest. auto: on where replication.tolerate_zones is above 0, since the "
                 "other zones then have to bear the load of a lost one."),
      AutoSwitch("overload.step_sharing", &S::overload_step_sharing,
                 "Whether batch jobs share engines by how late they are. auto: on where "
                 "replication.tolerate_zones is above 0."),
      AutoSwitch("overload.pool_scaling", &S::overload_pool_scaling,
                 "Whether servers are ordered from scaling.platform for batch jobs that are "
                 "expected to be late, and released later. Needs overload.step_sharing. auto: on "
                 "where replication.tolerate_zones is above 0, since a lost zone takes engines "
                 "with it."),
      Number("weights.concurrent_loads", &S::concurrent_loads, 0, 1000,
             "Engines that load weights at once; 0 is a fifth of them, and two at least."),
      Text("service.metrics", Kind::kPortAndPath, &S::metrics,
           "Port of this node and path where its metrics are read as well."),
      List("founders", Kind::kNames,
           "Control nodes that founded the cluster; the same list on each, never changed later.",
           "all of control_nodes"),
      List("routes", Kind::kRoutes,
           "Addresses of peers and back ends that this node reaches elsewhere, as behind a "
           "forwarder between zones.",
           "none"),
      Text("data", Kind::kPath, &S::data_folder, "Data folder; required on a control node."),
      Text("platform.list", Kind::kAddress, &S::platform_list,
           "The platform's machine list, polled by the leader."),
      Text("metering.platform", Kind::kAddress, &S::metering_platform,
           "Where the leader sends the sums of usage of tenants."),
      Time("metering.window", &T::usage_window, 0, kHour,
           "Length of the windows in which requests of tenants are counted; 0 counts none."),
      Text(
          "scaling.platform", Kind::kAddress, &S::scaling_platform,
          "Where the leader orders servers of services with scaling; without it none are ordered."),
      List("scaling.duties", Kind::kNames,
           "Duties that the platform leaves to this system; servers are ordered only if autoscale "
           "is one of them, so that no two systems order the same servers.",
           "autoscale"),
      LogLevel(),
      Number("threads.workers", &S::workers, 1, 64, "Workers that run decisions."),
      Number("threads.io", &S::io_threads, 1, 16, "Threads that run sockets and timers."),
      Time("timing.heartbeat", &T::heartbeat, 10 * kMillisecond, 60 * kSecond,
           "Between two heartbeats of a node to its control node."),
      Time("timing.lease", &T::lease, 50 * kMillisecond, 600 * kSecond,
           "How long after a confirmed heartbeat was sent a node gives out new work."),
      Time("timing.source_timeout", &T::source_timeout, 20 * kMillisecond, 300 * kSecond,
           "Without an answer for this long a node asks other control nodes as well."),
      Time("timing.node_lease", &T::node_lease, 50 * kMillisecond, 600 * kSecond,
           "Without a heartbeat for this long a node is gone."),
      Time("timing.platform_poll", &T::platform_poll, 50 * kMillisecond, 600 * kSecond,
           "Between two readings of the platform's machine list."),
      Time("timing.replace_voter_after", &T::replace_voter_after, 100 * kMillisecond, 24 * kHour,
           "A lost voter is replaced by a warm learner after this long."),
      Time("timing.forget_after", &T::forget_after, kSecond, 8760 * kHour,
           "A node that is gone is forgotten after this long."),
      Time("timing.raft_heartbeat", &T::raft_heartbeat, kMillisecond, 10 * kSecond,
           "Between two heartbeats of a leader of a replicated log."),
      Time("timing.election_timeout", &T::election_timeout, 10 * kMillisecond, 60 * kSecond,
           "Without a leader for this long, up to twice this, a replica stands for election."),
      Time("timing.restart_patience", &T::restart_patience, 0, 60 * kSecond,
           "A replica that comes back stands for election after this, up to three times this, "
           "without "
           "a leader; 0 is as long as ever."),
      Time("timing.claim_retention", &T::claim_retention, kHour, 8760 * kHour,
           "How long a once-only key is remembered; whole hours."),
      Time("timing.report_poll", &T::report_poll, 10 * kMillisecond, 60 * kSecond,
           "Between two readings of an engine's load report."),
      Time("timing.work_poll", &T::work_poll, 10 * kMillisecond, 60 * kSecond,
           "Between two requests of a gateway for rollout work."),
      Time("timing.stop_notice", &T::stop_notice, 0, 600 * kSecond,
           "How long a stopping node still takes work while /readyz already says no, so that "
           "callers and load balancers turn away first."),
      Time("timing.drain_limit", &T::drain_limit, kSecond, kHour,
           "Requests that still run this long after a stop began are cut."),
      Time("timing.http_header", &T::http_header, 10 * kMillisecond, 600 * kSecond,
           "From the first byte of a request to the end of its head."),
      Time("timing.http_body", &T::http_body, 10 * kMillisecond, kHour,
           "From the head of a request to the end of its body."),
      Time("timing.http_idle", &T::http_idle, 10 * kMillisecond, kHour,
           "Between two requests on a connection."),
      Time("timing.http_write", &T::http_write, 10 * kMillisecond, kHour,
           "Without progress of an answer for this long its caller counts as gone."),
      Time("timing.slow_reader", &T::slow_reader, 100 * kMillisecond, kHour,
           "A caller that has read nothing for this long may be disconnected when responses "
           "take too much memory."),
      Time("timing.slow_sender", &T::slow_sender, 100 * kMillisecond, kHour,
           "A caller that has sent less than 16 KiB of a body for this long may be refused when "
           "requests take too much memory."),
      Time("timing.call_connect", &T::call_connect, 10 * kMillisecond, 60 * kSecond,
           "Time to connect to a back end."),
      Time("timing.call_read", &T::call_read, 10 * kMillisecond, kHour,
           "Without a byte of a back end's answer for this long the call fails."),
      Time(
          "bounds.leave", &T::leave_bound, 0, 600 * kSecond,
          "After the acknowledged leaving of a back end no node gives it new work later than this; "
          "the lease and the heartbeat follow from it. 0 sets no bound."),
      Time("bounds.holder_lease", &T::holder_lease, 0, 600 * kSecond,
           "No order to an engine and no call of a duty within this time of another holder's."),
      Time("bounds.cold_span", &T::cold_span, 0, 60 * kSecond,
           "So many seconds' worth of its service's rate may reach a back end that is slow after "
           "its start in one second, from all nodes together."),
      Number("bounds.cold_slack", &S::cold_slack, 0, 100000,
             "Requests that may reach such a back end in one second beyond that."),
      Time("bounds.job_retention", &T::job_retention, kSecond, 24 * kHour,
           "An ended batch job is remembered for this long after it was submitted."),
      Time("timing.run_stall", &T::run_stall, 50 * kMillisecond, 600 * kSecond,
           "Without a byte for this long a run of an item goes on at another engine."),
      Limit("limits.http_header", Kind::kSize, &L::http_header, kKiB, kMiB,
            "Request line and headers."),
      Limit("limits.http_body", Kind::kSize, &L::http_body, kKiB, 1024 * kMiB,
            "Body of a request."),
      Limit("limits.http_send_buffer", Kind::kSize, &L::http_send_buffer, 4 * kKiB, 64 * kMiB,
            "Bytes of an answer held for a caller that reads slowly."),
      Limit("limits.http_connections", Kind::kCount, &L::http_connections, 1, 100000,
            "Connections of callers open at once. Fewer if the descriptors, or an eighth of the "
            "process memory at 16 KiB each, allow fewer."),
      Limit("limits.descriptors", Kind::kCount, &L::descriptors, 0, 100 * 1000 * 1000,
            "File descriptors that the process may open; connections of callers take a "
            "fifth of them at most. 0 takes the limit that the system sets."),
      Limit("limits.process_memory", Kind::kSize, &L::process_memory, 0, 1024 * 1024 * kMiB,
            "Memory of the process; responses held for callers take a quarter of it at most, "
            "requests another, connections an eighth, a document a third of what is left of "
            "three quarters, and items of jobs a quarter of it where they are replicated. 0 sets "
            "no bound."),
      Limit("limits.peer_frame", Kind::kSize, &L::peer_frame, 64 * kKiB, 64 * kMiB,
            "One message between nodes."),
      Limit("limits.peer_queue", Kind::kSize, &L::peer_queue, 64 * kKiB, 1024 * kMiB,
            "Messages that wait for one peer."),
      Limit("limits.peer_queues", Kind::kSize, &L::peer_queues, 64 * kKiB, 4096 * kMiB,
            "Messages that wait for all peers together."),
      Limit("limits.snapshot_entries", Kind::kCount, &L::snapshot_entries, 10, 1000000,
            "Log entries after which a snapshot is taken."),
      Limit("limits.raft_batch", Kind::kSize, &L::raft_batch, 4 * kKiB, 8 * kMiB,
            "Log entries sent to a replica in one message."),
      Limit("limits.snapshot_chunk", Kind::kSize, &L::snapshot_chunk, 4 * kKiB, 8 * kMiB,
            "Part of a snapshot sent in one message."),
  };
}

std::string NumberText(SettingKind kind, uint64_t value) {
  if (kind == SettingKind::kDuration) return FormatDuration(Duration(value));
  if (kind == SettingKind::kSize) return FormatSize(value);
  return std::to_string(value);
}

}  // namespace

const std::vector<SettingKey>& SettingKeys() {
  static const std::vector<SettingKey> keys = MakeKeys();
  return keys;
}

const SettingKey* FindSettingKey(std::string_view key) {
  const std::vector<SettingKey>& keys = SettingKeys();
  const auto found = std::find_if(keys.begin(), keys.end(),
                                  [key](const SettingKey& entry) { return entry.key == key; });
  return found == keys.end() ? nullptr : &*found;
}

std::string FlagName(std::string_view key) {
  std::string name(key);
  std::replace_if(
      name.begin(), name.end(), [](char c) { return c == '.' || c == '_'; }, '-');
  return name;
}

std::string DefaultText(const SettingKey& key) {
  ServerSettings defaults;
  if (key.duration) return FormatDuration(key.duration(defaults));
  if (key.number) return NumberText(key.kind, key.number(defaults));
  return std::string(key.default_description);
}

std::string BoundsText(const SettingKey& key) {
  if (key.kind == SettingKind::kChoice) return fmt::format("{}", fmt::join(key.choices, ", "));
  if (key.max == 0) return "";
  return fmt::format("{} to {}", NumberText(key.kind, key.min), NumberText(key.kind, key.max));
}

std::string_view KindText(SettingKind kind) {
  switch (kind) {
    case SettingKind::kName:
      return "name";
    case SettingKind::kAddress:
      return "ip:port";
    case SettingKind::kPath:
      return "folder";
    case SettingKind::kChoice:
      return "word";
    case SettingKind::kDuration:
      return "duration (us, ms, s, min, h)";
    case SettingKind::kSize:
      return "size (B, KiB, MiB, GiB)";
    case SettingKind::kCount:
      return "number";
    case SettingKind::kNames:
      return "list of names";
    case SettingKind::kRoles:
      return "list of roles";
    case SettingKind::kRoutes:
      return "list of ip:port=ip:port";
    case SettingKind::kControlNodes:
      return "list of {node, address, zone}";
    case SettingKind::kAddresses:
      return "list of ip:port";
    case SettingKind::kPortAndPath:
      return "port/path";
  }
  return "";
}

}  // namespace millstair
