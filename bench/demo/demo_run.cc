#include "bench/demo/demo_run.h"

#include <algorithm>

namespace millstair {

void DemoRun::Sleep(Duration time) const {
  constexpr Duration kSlice = std::chrono::milliseconds(50);
  const Duration end = clock_.Now() + time;
  while (!stopping_ && clock_.Now() < end) {
    clock_.SleepUntil(std::min(end, clock_.Now() + kSlice));
  }
}

void DemoRun::Record(const std::function<void(checks::History&)>& change) {
  const std::lock_guard<std::mutex> lock(mutex_);
  change(history_);
}

checks::History DemoRun::TakeHistory() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::move(history_);
}

void DemoRun::SetReady(const std::string& node, bool ready) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (ready) {
    ready_.insert(node);
  } else {
    ready_.erase(node);
  }
}

GatewayTarget DemoRun::PickGateway() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<const FleetNode*> candidates;
  std::vector<const FleetNode*> all;
  for (const FleetNode& node : fleet_.nodes) {
    if (!node.gateway) continue;
    all.push_back(&node);
    if (ready_.contains(node.name)) candidates.push_back(&node);
  }
  if (candidates.empty()) candidates = all;
  const FleetNode& node = *candidates[picks_++ % candidates.size()];
  return {node.name, node.client_address};
}

uint64_t DemoRun::IncarnationOf(const std::string& node) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return restarts_[node] + 1;
}

void DemoRun::BeginNextIncarnation(const std::string& node) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++restarts_[node];
}

BlockingReply CallJson(DemoRun& run, const std::string& address, const std::string& method,
                       const std::string& target, const std::string& body, Duration timeout) {
  HttpRequest request{method, target, {}, body};
  if (!body.empty()) request.headers.push_back({"Content-Type", "application/json"});
  return run.caller().Call(address, request, timeout);
}

}  // namespace millstair
