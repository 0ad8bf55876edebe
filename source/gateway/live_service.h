/// Live traffic of a gateway: matches each request to its traffic group and runs its flow.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "common/alive_flag.h"
#include "gateway/gateway_context.h"
#include "gateway/request_flow.h"
#include "gateway/traffic_matcher.h"
#include "http/exchange.h"

namespace millstair {

/// Lives on the node's serial executor.
class LiveService : public RequestHandler {
 public:
  explicit LiveService(GatewayContext& context) : context_(context) {}
  ~LiveService() override { context_.closing = true; }

  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override;

  /// Refuses all new requests.
  void BeginDrain() { draining_ = true; }
  /// Aborts all running requests.
  void AbortAll();
  size_t running() const { return flows_.size(); }
  /// Called whenever the last flow has ended.
  void OnIdle(std::function<void()> callback) { on_idle_ = std::move(callback); }

 private:
  void HandleCompletion(HttpRequest request, std::shared_ptr<ResponseWriter> writer, bool chat);
  void HandlePlain(HttpRequest request, std::shared_ptr<ResponseWriter> writer);
  /// Reads the request's metadata headers; false if the request was refused because of them.
  bool ReadMeta(FlowRequest& request);
  uint64_t NextFlow() { return next_flow_++; }
  std::function<void()> EndedCallback(uint64_t flow);
  void StartFlow(uint64_t number, std::unique_ptr<RequestFlow> flow);
  void Remove(uint64_t flow);

  GatewayContext& context_;
  TrafficMatcher matcher_;
  bool draining_ = false;
  uint64_t next_flow_ = 1;
  std::map<uint64_t, std::unique_ptr<RequestFlow>> flows_;
  std::function<void()> on_idle_;
  AliveFlag alive_;
};

}  // namespace millstair
