/// Many hollow nodes in one process, and the page on which the measuring side reads what they saw.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "bench/scale/hollow_node.h"
#include "http/http_server.h"

namespace millstair {

/// HTTP of a host:
/// - GET /hollow: {"pid","bytes","messages","nodes":[{"node","ready","revisions":[{"revision",
///   "at_us"}],"gone":[{"node","at_us"}],"activations":[{"engine","version","at_us"}]}]}. `bytes`
///   and `messages` count both directions of all nodes.
/// - POST /hollow/kill?node=NAME: ends the node at once; {"at_us"}. 404 for an unknown one.
class HollowHost : public RequestHandler {
 public:
  explicit HollowHost(Runtime& runtime) : runtime_(runtime) {}

  absl::Status Add(HollowNodeOptions options);
  size_t size() const { return nodes_.size(); }
  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override;
  /// Ends all nodes.
  void Clear() { nodes_.clear(); }

 private:
  std::string StateJson();
  void Kill(const std::string& name, ResponseWriter& writer);

  Runtime& runtime_;
  StatsRegistry stats_;
  std::map<std::string, std::unique_ptr<HollowNode>> nodes_;
};

}  // namespace millstair
