#include "server/node_options.h"

#include <algorithm>

namespace millstair {
namespace {

/// Responses take up to one such part of the memory and bodies of requests another. The rest is for
/// the program, its configuration and its connections.
constexpr uint64_t kProcessMemoryPerHeldByte = 4;
/// Part of the process memory that the connections of callers may take.
constexpr uint64_t kMemoryPerConnectionByte = 8;
/// The kernel counts the overhead of segments as well, and takes about this much.
constexpr size_t kReceiveBufferBytes = 8 * 1024;
/// Descriptors for files, listeners and peers.
constexpr uint64_t kReservedDescriptors = 200;
/// Descriptors for each connection of a caller: its own, and one for each back end at which its
/// request may be at a time.
constexpr uint64_t kDescriptorsPerConnection = 5;
/// A process with less memory or fewer descriptors than this needs can't serve anyway.
constexpr uint64_t kMinConnections = 16;

std::vector<ControlEndpoint> EndpointsOf(const ServerSettings& settings) {
  std::vector<ControlEndpoint> endpoints;
  for (const ControlNodeSetting& node : settings.control_nodes) {
    endpoints.push_back({NodeId(node.node), node.address, Zone(node.zone)});
  }
  return endpoints;
}

std::vector<GroupMember> InitialMembersOf(const ServerSettings& settings) {
  std::vector<GroupMember> initial_members;
  for (const ControlNodeSetting& node : settings.control_nodes) {
    const auto& names = settings.founders;
    if (std::find(names.begin(), names.end(), node.node) == names.end()) continue;
    const NodeId id(node.node);
    initial_members.push_back(
        {InitialMemberReplicaId(settings.cluster, id), id, node.address, true});
  }
  return initial_members;
}

ConfigurationTiming ConfigurationTimingOf(const TimingSettings& timing) {
  if (timing.leave_bound == Duration(0)) {
    return {timing.heartbeat, timing.lease, timing.source_timeout};
  }
  // An isolated node assigns no new work after its lease has expired, so the lease has to expire
  // within the bound, with a margin for messages in flight. It spans four heartbeats.
  ConfigurationTiming configuration;
  configuration.lease = timing.leave_bound * 7 / 10;
  configuration.heartbeat = configuration.lease / 4;
  configuration.source_timeout = configuration.heartbeat + configuration.reply_timeout;
  return configuration;
}

ColdBound ColdBoundOf(const ServerSettings& settings) {
  return {ToSeconds(settings.timing.cold_span), static_cast<double>(settings.cold_slack)};
}

ConsensusTiming ConsensusTimingOf(const TimingSettings& timing) {
  ConsensusTiming consensus;
  consensus.heartbeat = timing.raft_heartbeat;
  consensus.election_timeout = timing.election_timeout;
  consensus.restart_election_timeout = timing.restart_patience;
  return consensus;
}

/// Number of voters that keeps a majority after the tolerated losses.
size_t VoterCount(const ServerSettings& settings) {
  return 2 * static_cast<size_t>(settings.tolerated_losses) + 1;
}

}  // namespace

NodeRecord NodeRecordOf(const ServerSettings& settings, Incarnation incarnation) {
  NodeRecord self;
  self.node = NodeId(settings.node);
  self.incarnation = incarnation;
  self.zone = Zone(settings.zone);
  self.address = settings.peer_address;
  self.control = settings.control;
  self.gateway = settings.gateway;
  self.storage = settings.storage;
  self.machine = settings.machine;
  return self;
}

ControlNodeOptions ControlOptionsOf(const ServerSettings& settings, const NodeRecord& self) {
  const TimingSettings& timing = settings.timing;
  ControlNodeOptions options;
  options.self = self;
  options.cluster_id = settings.cluster;
  options.control_nodes = EndpointsOf(settings);
  options.initial_members = InitialMembersOf(settings);
  options.bootstrap = settings.bootstrap == "true";
  if (!settings.seeds.empty()) options.voters = VoterCount(settings);
  options.storage_voters = VoterCount(settings);
  options.consensus_timing = ConsensusTimingOf(timing);
  options.consensus_limits = {settings.limits.snapshot_entries, settings.limits.raft_batch,
                              settings.limits.snapshot_chunk};
  options.configuration_timing = ConfigurationTimingOf(timing);
  options.membership_timing = {timing.node_lease, timing.platform_poll, timing.replace_voter_after,
                               timing.forget_after};
  options.claim_retention = std::chrono::duration_cast<std::chrono::hours>(timing.claim_retention);
  options.platform_list = settings.platform_list;
  return options;
}

GatewayNodeOptions GatewayOptionsOf(const ServerSettings& settings, const NodeRecord& self) {
  const TimingSettings& timing = settings.timing;
  GatewayNodeOptions options;
  options.self = self;
  options.control_nodes = EndpointsOf(settings);
  options.configuration_timing = ConfigurationTimingOf(timing);
  options.timing = {timing.report_poll, timing.work_poll, timing.drain_limit};
  return options;
}

IngressNodeOptions IngressOptionsOf(const ServerSettings& settings, const NodeRecord& self) {
  return {self,
          EndpointsOf(settings),
          ConfigurationTimingOf(settings.timing),
          nullptr,
          settings.timing.usage_window,
          ColdBoundOf(settings),
          settings.ControlsAdmission()};
}

UsageReportOptions UsageOptionsOf(const ServerSettings& settings) {
  UsageReportOptions options;
  options.self = NodeId(settings.node);
  options.machine = settings.machine;
  options.platform = settings.metering_platform;
  options.window = settings.timing.usage_window;
  options.task_lease = settings.timing.holder_lease;
  return options;
}

ScaleOptions ScaleOptionsOf(const ServerSettings& settings) {
  ScaleOptions options;
  options.self = NodeId(settings.node);
  options.machine = settings.machine;
  options.platform = settings.scaling_platform;
  options.task_lease = settings.timing.holder_lease;
  return options;
}

StorageNodeOptions StorageOptionsOf(const ServerSettings& settings, const NodeRecord& self) {
  const TimingSettings& timing = settings.timing;
  StorageNodeOptions options;
  options.self = self;
  options.cluster_id = settings.cluster;
  options.control_nodes = EndpointsOf(settings);
  options.configuration_timing = ConfigurationTimingOf(timing);
  options.consensus_timing = ConsensusTimingOf(timing);
  options.consensus_limits = {settings.limits.snapshot_entries, settings.limits.raft_batch,
                              settings.limits.snapshot_chunk};
  options.jobs.retention =
      std::chrono::duration_cast<std::chrono::milliseconds>(timing.job_retention);
  options.replicas.voters = VoterCount(settings);
  options.replicas.unresponsive_after = timing.replace_voter_after;
  options.scheduler.stall_timeout = timing.run_stall;
  options.scheduler.shares_steps = settings.SharesSteps();
  options.loads.concurrent_loads = static_cast<uint32_t>(settings.concurrent_loads);
  options.loads.order_lease = timing.holder_lease;
  options.cold_bound = ColdBoundOf(settings);
  options.reports_pool_needs = settings.ScalesPools();
  options.job_service.max_item_bytes = settings.limits.process_memory / kProcessMemoryPerHeldByte;
  return options;
}

JobGroupBootstrapperOptions JobBootstrapperOptionsOf(const ServerSettings& settings) {
  JobGroupBootstrapperOptions options;
  options.voters = VoterCount(settings);
  return options;
}

PeerTransportOptions TransportOptionsOf(const ServerSettings& settings, Incarnation incarnation) {
  PeerTransportOptions options;
  options.self = NodeId(settings.node);
  options.incarnation = incarnation;
  options.cluster_id = settings.cluster;
  options.listen = settings.peer_listen;
  options.max_frame_bytes = settings.limits.peer_frame;
  options.max_queue_bytes = settings.limits.peer_queue;
  options.max_queued_bytes = settings.limits.peer_queues;
  // A lease cannot be renewed over a connection on which nothing is acknowledged for as long.
  options.unacknowledged_timeout = ConfigurationTimingOf(settings.timing).lease;
  return options;
}

HeldBytesOptions HeldBytesOptionsOf(const ServerSettings& settings) {
  HeldBytesOptions options;
  options.bound = settings.limits.process_memory / kProcessMemoryPerHeldByte;
  options.slow_reader = settings.timing.slow_reader;
  return options;
}

RequestMemoryOptions RequestMemoryOptionsOf(const ServerSettings& settings) {
  RequestMemoryOptions options;
  options.bound = settings.limits.process_memory / kProcessMemoryPerHeldByte;
  options.slow_sender = settings.timing.slow_sender;
  return options;
}

size_t MemoryForClients(const ServerSettings& settings) {
  // The rest is for the program, its state and its peers.
  return settings.limits.process_memory / 4 * 3;
}

ConnectionLimitOptions ConnectionLimitOptionsOf(const ServerSettings& settings,
                                                uint64_t descriptors) {
  ConnectionLimitOptions options;
  options.slow_reader = settings.timing.slow_reader;
  uint64_t limit = settings.limits.http_connections;
  if (settings.limits.process_memory > 0) {
    limit = std::min(limit,
                     settings.limits.process_memory / kMemoryPerConnectionByte / kConnectionBytes);
  }
  if (descriptors > 0) {
    const uint64_t reserved = std::min(kReservedDescriptors, descriptors / 2);
    limit = std::min(limit, (descriptors - reserved) / kDescriptorsPerConnection);
  }
  options.limit = std::max(limit, kMinConnections);
  return options;
}

HttpServerOptions HttpServerOptionsOf(const ServerSettings& settings) {
  HttpServerOptions options;
  options.max_header_bytes = settings.limits.http_header;
  options.max_body_bytes = settings.limits.http_body;
  options.send_buffer_bytes = settings.limits.http_send_buffer;
  if (settings.limits.process_memory > 0) options.receive_buffer_bytes = kReceiveBufferBytes;
  options.header_timeout = settings.timing.http_header;
  options.body_timeout = settings.timing.http_body;
  options.idle_timeout = settings.timing.http_idle;
  options.write_timeout = settings.timing.http_write;
  return options;
}

HttpCallerOptions HttpCallerOptionsOf(const ServerSettings& settings) {
  HttpCallerOptions options;
  options.connect_timeout = settings.timing.call_connect;
  options.read_timeout = settings.timing.call_read;
  options.call_ids = settings.service_interface == "none";
  options.until_close = settings.service_interface != "none";
  return options;
}

}  // namespace millstair
