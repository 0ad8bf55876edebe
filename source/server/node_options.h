/// Derives the options of a node's components from its settings.
#pragma once

#include "cluster/control_node.h"
#include "duties/usage_report_task.h"
#include "gateway/gateway_node.h"
#include "http/beast_http_caller.h"
#include "http/http_server.h"
#include "jobs/ingress_node.h"
#include "jobs/job_group_bootstrapper.h"
#include "jobs/storage_node.h"
#include "scaling/scale_task.h"
#include "settings/settings.h"
#include "transport/tcp_peer_transport.h"

namespace millstair {

NodeRecord NodeRecordOf(const ServerSettings& settings, Incarnation incarnation);
ControlNodeOptions ControlOptionsOf(const ServerSettings& settings, const NodeRecord& self);
GatewayNodeOptions GatewayOptionsOf(const ServerSettings& settings, const NodeRecord& self);
IngressNodeOptions IngressOptionsOf(const ServerSettings& settings, const NodeRecord& self);
UsageReportOptions UsageOptionsOf(const ServerSettings& settings);
ScaleOptions ScaleOptionsOf(const ServerSettings& settings);
StorageNodeOptions StorageOptionsOf(const ServerSettings& settings, const NodeRecord& self);
JobGroupBootstrapperOptions JobBootstrapperOptionsOf(const ServerSettings& settings);
PeerTransportOptions TransportOptionsOf(const ServerSettings& settings, Incarnation incarnation);
HeldBytesOptions HeldBytesOptionsOf(const ServerSettings& settings);
RequestMemoryOptions RequestMemoryOptionsOf(const ServerSettings& settings);
/// Memory of the process for all that clients have it hold.
size_t MemoryForClients(const ServerSettings& settings);
/// Memory of one connection of a client: its objects, what is read without a claim, and what the
/// kernel has taken for it.
inline constexpr uint64_t kConnectionBytes = 16 * 1024;
/// `descriptors`: how many the process may open; 0 if that is not known.
ConnectionLimitOptions ConnectionLimitOptionsOf(const ServerSettings& settings,
                                                uint64_t descriptors);
HttpServerOptions HttpServerOptionsOf(const ServerSettings& settings);
HttpCallerOptions HttpCallerOptionsOf(const ServerSettings& settings);

}  // namespace millstair
