/// Routes HTTP requests to the roles of a node, and serves health checks and metrics.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "common/stats.h"
#include "http/exchange.h"

namespace millstair {

/// Handlers that a frontend routes to; null for roles that the node does not have.
struct FrontendTargets {
  RequestHandler* gateway = nullptr;
  RequestHandler* operators = nullptr;
  /// True if the node accepts work.
  std::function<bool()> ready;
  /// Updates gauges before the metrics page is rendered.
  std::function<void()> update_stats;
  /// Additional path of the metrics page besides /metrics; empty if none.
  std::string metrics_path;
};

/// True for the paths of the operators' API.
bool IsOperatorsPath(std::string_view target);

/// Lives on the node's serial executor. Serves /livez, /readyz and /metrics itself.
class Frontend : public RequestHandler {
 public:
  Frontend(FrontendTargets targets, StatsRegistry& stats)
      : targets_(std::move(targets)), stats_(stats) {}

  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override;

 private:
  /// Serves health checks and metrics. False if `path` is another one.
  bool HandleLocally(std::string_view path, ResponseWriter& writer);

  FrontendTargets targets_;
  StatsRegistry& stats_;
};

}  // namespace millstair
