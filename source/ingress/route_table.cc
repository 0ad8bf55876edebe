#include "ingress/route_table.h"

#include <set>
#include <utility>

#include "fmt/format.h"

namespace millstair {
namespace {

std::string_view WithoutPort(std::string_view host) { return host.substr(0, host.find(':')); }

std::string_view WithoutQuery(std::string_view target) {
  return target.substr(0, target.find('?'));
}

void ValidateShares(const RouteTable& table, const Route& route, Findings& findings) {
  uint64_t total = 0;
  for (const ServiceShare& share : route.services) {
    total += share.weight;
    if (table.FindService(share.service) != nullptr) continue;
    findings.Add({}, fmt::format("route {}: unknown service {}", route.name, share.service));
  }
  if (total == 0) findings.Add({}, fmt::format("route {}: the weights sum to 0", route.name));
}

}  // namespace

const Route* RouteTable::Find(std::string_view host, std::string_view path) const {
  const std::string_view wanted_host = WithoutPort(host);
  const std::string_view wanted_path = WithoutQuery(path);
  const Route* best = nullptr;
  for (const Route& route : routes) {
    if (route.host != wanted_host || !wanted_path.starts_with(route.path_prefix)) continue;
    if (best == nullptr || route.path_prefix.size() > best->path_prefix.size()) best = &route;
  }
  return best;
}

const Route* RouteTable::FindByName(std::string_view name) const {
  for (const Route& route : routes) {
    if (route.name == name) return &route;
  }
  return nullptr;
}

const Service* RouteTable::FindService(const ServiceName& name) const {
  for (const Service& service : services) {
    if (service.name == name) return &service;
  }
  return nullptr;
}

Access RouteTable::CheckAccess(std::optional<std::string_view> key, bool is_public) const {
  return tenants ? tenants->Check(key, is_public) : Access();
}

uint32_t RouteTable::PriorityOf(const Route& route, const TenantName& name) const {
  const Tenant* tenant = tenants ? tenants->FindByName(name) : nullptr;
  return tenant == nullptr ? route.priority : tenant->priority.value_or(route.priority);
}

void ValidateRouteTable(const RouteTable& table, Findings& findings) {
  if (table.tenants) table.tenants->Validate(findings);
  std::set<std::pair<std::string_view, std::string_view>> places;
  for (const Route& route : table.routes) {
    if (!places.emplace(route.host, route.path_prefix).second) {
      findings.Add({}, fmt::format("route {}: another route has host {} and prefix {}", route.name,
                                   route.host, route.path_prefix));
    }
    const bool needed = route.kind != RouteKind::kJobs;
    if (route.timeout ? *route.timeout <= Duration(0) : needed) {
      findings.Add({}, fmt::format("route {}: the time limit is 0", route.name));
    }
    ValidateShares(table, route, findings);
  }
}

}  // namespace millstair
