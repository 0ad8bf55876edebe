/// Routes of an operator's whole routing configuration: which requests go to which services, and
/// how they are treated.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "cluster/configuration.h"
#include "common/findings.h"
#include "common/ids.h"
#include "common/time.h"
#include "tenants/tenant_directory.h"

namespace millstair {

enum class RouteKind : uint8_t {
  kRepeatable,  ///< a request may run more than once
  kOnce,        ///< a request runs at most once
  kStream,      ///< answered by events; runs at most once unless the route may be resumed
  kJobs,        ///< batch jobs are handed in here; their items run as streams
};

/// A part of a route's requests.
struct ServiceShare {
  ServiceName service;
  uint32_t weight = 1;
  friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with '/'.
  std::string path_prefix;
  RouteKind kind = RouteKind::kRepeatable;
  /// Longest time that a request is held; none for batch jobs whose route states none.
  std::optional<Duration> timeout;
  /// Time within which an answer is wanted.
  Duration target{0};
  /// 0 is the most urgent.
  uint32_t priority = 0;
  std::vector<ServiceShare> services;
  /// Most back ends that one request is run at.
  uint32_t attempts = 1;
  /// Streams may be continued at another back end.
  bool resumable = false;
  /// Batch jobs: from the submission until all results are due, and until items may be given up.
  Duration job_deadline{0};
  Duration item_lifetime{0};
  /// Batch jobs: all tokens of an item have to be of one version.
  bool single_version = false;
  /// Callers need no key, where the configuration holds tenants.
  bool is_public = false;
};

/// What is known of the engines of a service that generates.
struct EngineProfile {
  uint32_t slots = 0;
  uint64_t kv_capacity_tokens = 0;
  std::vector<ModelName> models;
  /// Tokens that one event of a text carries, but for its last; 0 is unknown.
  uint64_t tokens_per_event = 0;
};

struct Service {
  ServiceName name;
  std::string health_path;
  uint32_t max_connections = 0;
  std::optional<EngineProfile> engine;
  /// Requests a second that one of its back ends bears while it is slow after its start; 0 sets no
  /// bound.
  double cold_requests_per_second = 0;
};

struct RouteTable {
  uint64_t version = 0;
  /// Of the document that was read; see DigestOf.
  uint64_t digest = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  /// None if the configuration names no tenants: then anybody may call.
  std::optional<TenantDirectory> tenants;

  /// The route of `host` whose prefix is the longest that begins `path`; null if there is none.
  const Route* Find(std::string_view host, std::string_view path) const;
  /// Null if there is none.
  const Route* FindByName(std::string_view name) const;
  const Service* FindService(const ServiceName& name) const;
  /// Who calls with `key` at a route that `is_public`, or not.
  Access CheckAccess(std::optional<std::string_view> key, bool is_public) const;
  /// A tenant's own priority goes before the route's.
  uint32_t PriorityOf(const Route& route, const TenantName& tenant) const;
};

/// Adds what is wrong with `table` as a whole: unknown services, two routes at one place, no
/// weight, no time limit, and what is wrong with its tenants.
void ValidateRouteTable(const RouteTable& table, Findings& findings);

/// Reads the content of a routing document; implemented by the interface in use.
class RoutingDocumentReader {
 public:
  virtual ~RoutingDocumentReader() = default;
  /// InvalidArgument names what can't be read.
  virtual absl::StatusOr<RouteTable> Read(const std::string& content) const = 0;
};

}  // namespace millstair
