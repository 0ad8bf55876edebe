#include "bench/scale/hollow_host.h"

#include <unistd.h>

#include <boost/json.hpp>
#include <string_view>
#include <utility>

#include "http/problem.h"

namespace millstair {
namespace {

constexpr std::string_view kKillPrefix = "/hollow/kill?node=";
constexpr std::string_view kBytesPrefix = "millstair_peer_bytes_";
constexpr std::string_view kMessagesPrefix = "millstair_peer_messages_";

boost::json::object NodeJson(const std::string& name, const HollowRecord& record) {
  boost::json::array revisions;
  for (const SeenRevision& seen : record.revisions) {
    revisions.push_back({{"revision", seen.revision.value()}, {"at_us", seen.at_us}});
  }
  boost::json::array gone;
  for (const SeenGone& seen : record.gone) {
    gone.push_back({{"node", seen.node.value()}, {"at_us", seen.at_us}});
  }
  boost::json::array activations;
  for (const SeenActivation& seen : record.activations) {
    activations.push_back({{"engine", seen.engine_address},
                           {"version", seen.version.value()},
                           {"at_us", seen.at_us}});
  }
  boost::json::object node;
  node["node"] = name;
  node["ready"] = record.ready;
  node["revisions"] = std::move(revisions);
  node["gone"] = std::move(gone);
  node["activations"] = std::move(activations);
  return node;
}

uint64_t SumOf(const StatsRegistry& stats, std::string_view prefix) {
  double sum = 0;
  for (const StatSample& sample : stats.Read()) {
    const std::string& name = sample.name.name;
    const bool traffic = name.ends_with("sent_total") || name.ends_with("received_total");
    if (traffic && name.starts_with(prefix)) sum += sample.value;
  }
  return static_cast<uint64_t>(sum);
}

void RespondJson(ResponseWriter& writer, const std::string& body) {
  Respond(writer, HttpResponseHead{200, {{"Content-Type", "application/json"}}}, body);
}

}  // namespace

absl::Status HollowHost::Add(HollowNodeOptions options) {
  const std::string name = options.node.value();
  auto node = HollowNode::Start(runtime_, stats_, std::move(options));
  if (!node.ok()) return node.status();
  nodes_[name] = *std::move(node);
  return absl::OkStatus();
}

std::string HollowHost::StateJson() {
  boost::json::array nodes;
  for (const auto& [name, node] : nodes_) nodes.push_back(NodeJson(name, node->Record()));
  boost::json::object state;
  state["pid"] = getpid();
  state["bytes"] = SumOf(stats_, kBytesPrefix);
  state["messages"] = SumOf(stats_, kMessagesPrefix);
  state["nodes"] = std::move(nodes);
  return boost::json::serialize(state);
}

void HollowHost::Kill(const std::string& name, ResponseWriter& writer) {
  if (nodes_.erase(name) == 0) {
    Problem problem;
    problem.status = 404;
    problem.title = "no such node";
    problem.detail = name;
    problem.outcome = Outcome::kNotRun;
    return RespondProblem(writer, problem);
  }
  RespondJson(writer, boost::json::serialize(boost::json::object{{"at_us", SteadyMicroseconds()}}));
}

void HollowHost::Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) {
  if (request.method == "POST" && request.target.starts_with(kKillPrefix)) {
    return Kill(request.target.substr(kKillPrefix.size()), *writer);
  }
  RespondJson(*writer, StateJson());
}

}  // namespace millstair
