/// Hands each request to the part of the node that it is meant for.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "common/stats.h"
#include "http/exchange.h"

namespace millstair {

/// Where a front sends requests; parts that the node does not have are null.
struct FrontendTargets {
  RequestHandler* gateway = nullptr;
  RequestHandler* operators = nullptr;
  /// True if the node takes work.
  std::function<bool()> ready;
  /// Brings gauges up to date before the metrics page is made.
  std::function<void()> update_stats;
  /// Path of the metrics page beside /metrics; empty is none.
  std::string metrics_path;
};

/// True for the paths of the operators' API.
bool IsOperatorsPath(std::string_view target);

/// Lives on the serial executor. Answers /livez, /readyz and /metrics itself.
class Frontend : public RequestHandler {
 public:
  Frontend(FrontendTargets targets, StatsRegistry& stats)
      : targets_(std::move(targets)), stats_(stats) {}

  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override;

 private:
  bool HandleLocally(std::string_view path, ResponseWriter& writer);

  FrontendTargets targets_;
  StatsRegistry& stats_;
};

}  // namespace millstair
