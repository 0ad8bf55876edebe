/// The route and the configuration of a gateway before back ends of the service "pages".
#pragma once

#include "cluster/configuration.h"
#include "ingress/route_table.h"

namespace millstair {

inline constexpr Duration kPagesTarget = std::chrono::milliseconds(150);
inline constexpr Duration kPagesTimeout = std::chrono::milliseconds(800);

inline Route PagesRoute() {
  Route route;
  route.name = "pages";
  route.host = "a.example";
  route.path_prefix = "/p/";
  route.timeout = kPagesTimeout;
  route.target = kPagesTarget;
  route.attempts = 2;
  route.services = {{ServiceName("pages"), 1}};
  return route;
}

/// Without back ends; its routes are those of a FixedTable with version 1.
inline Configuration PagesConfiguration() {
  Configuration configuration;
  configuration.routing = {1, "content"};
  configuration.revision = Revision(1);
  return configuration;
}

}  // namespace millstair
