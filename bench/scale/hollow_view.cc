#include "bench/scale/hollow_view.h"

#include <fmt/core.h>

#include <boost/json.hpp>
#include <utility>

namespace millstair {
namespace {

constexpr Duration kPageTimeout = std::chrono::seconds(20);

int64_t Number(const boost::json::object& object, const char* key) {
  return object.at(key).to_number<int64_t>();
}

std::string Text(const boost::json::object& object, const char* key) {
  return std::string(object.at(key).as_string());
}

HollowRecord ParseRecord(const boost::json::object& node) {
  HollowRecord record;
  record.ready = node.at("ready").as_bool();
  for (const auto& seen : node.at("revisions").as_array()) {
    const auto& object = seen.as_object();
    record.revisions.push_back(
        {Revision(static_cast<uint64_t>(Number(object, "revision"))), Number(object, "at_us")});
  }
  for (const auto& seen : node.at("gone").as_array()) {
    const auto& object = seen.as_object();
    record.gone.push_back({NodeId(Text(object, "node")), Number(object, "at_us")});
  }
  for (const auto& seen : node.at("activations").as_array()) {
    const auto& object = seen.as_object();
    record.activations.push_back({Text(object, "engine"),
                                  WeightVersion(static_cast<uint64_t>(Number(object, "version"))),
                                  Number(object, "at_us")});
  }
  return record;
}

absl::StatusOr<HollowHostState> ParseHost(const std::string& body) {
  try {
    const boost::json::value page = boost::json::parse(body);
    const auto& object = page.as_object();
    HollowHostState host;
    host.pid = static_cast<int>(Number(object, "pid"));
    host.bytes = static_cast<uint64_t>(Number(object, "bytes"));
    host.messages = static_cast<uint64_t>(Number(object, "messages"));
    for (const auto& node : object.at("nodes").as_array()) {
      host.nodes.emplace(NodeId(Text(node.as_object(), "node")), ParseRecord(node.as_object()));
    }
    return host;
  } catch (const std::exception& error) {
    return absl::InternalError(fmt::format("unreadable state page: {}", error.what()));
  }
}

}  // namespace

size_t HollowFleetState::Nodes() const {
  size_t count = 0;
  for (const HollowHostState& host : hosts) count += host.nodes.size();
  return count;
}

size_t HollowFleetState::Ready() const {
  size_t count = 0;
  for (const HollowHostState& host : hosts) {
    for (const auto& [node, record] : host.nodes) count += record.ready ? 1 : 0;
  }
  return count;
}

uint64_t HollowFleetState::Bytes() const {
  uint64_t sum = 0;
  for (const HollowHostState& host : hosts) sum += host.bytes;
  return sum;
}

uint64_t HollowFleetState::Messages() const {
  uint64_t sum = 0;
  for (const HollowHostState& host : hosts) sum += host.messages;
  return sum;
}

std::vector<std::optional<int64_t>> HollowFleetState::HeldSince(Revision revision) const {
  std::vector<std::optional<int64_t>> times;
  for (const HollowHostState& host : hosts) {
    for (const auto& [node, record] : host.nodes) {
      std::optional<int64_t> since;
      for (const SeenRevision& seen : record.revisions) {
        if (seen.revision < revision) continue;
        since = seen.at_us;
        break;
      }
      times.push_back(since);
    }
  }
  return times;
}

std::vector<std::optional<int64_t>> HollowFleetState::SawGone(const NodeId& lost) const {
  std::vector<std::optional<int64_t>> times;
  for (const HollowHostState& host : hosts) {
    for (const auto& [node, record] : host.nodes) {
      if (node == lost) continue;
      std::optional<int64_t> since;
      for (const SeenGone& seen : record.gone) {
        if (seen.node == lost) since = seen.at_us;
      }
      times.push_back(since);
    }
  }
  return times;
}

std::map<std::string, int64_t> HollowFleetState::ActiveSince(WeightVersion version) const {
  std::map<std::string, int64_t> since;
  for (const HollowHostState& host : hosts) {
    for (const auto& [node, record] : host.nodes) {
      for (const SeenActivation& seen : record.activations) {
        if (seen.version != version) continue;
        const auto [entry, added] = since.emplace(seen.engine_address, seen.at_us);
        if (!added) entry->second = std::min(entry->second, seen.at_us);
      }
    }
  }
  return since;
}

absl::StatusOr<HollowFleetState> ReadHollowFleet(BlockingCaller& caller,
                                                 const std::vector<std::string>& hosts) {
  HollowFleetState state;
  for (const std::string& host : hosts) {
    HttpRequest request;
    request.method = "GET";
    request.target = "/hollow";
    const BlockingReply reply = caller.Call(host, request, kPageTimeout);
    if (!reply.whole() || reply.status != 200) {
      return absl::UnavailableError(fmt::format("{}: {} {}", host, reply.status, reply.reason));
    }
    auto parsed = ParseHost(reply.body);
    if (!parsed.ok()) return parsed.status();
    state.hosts.push_back(*std::move(parsed));
  }
  return state;
}

absl::StatusOr<int64_t> KillHollowNode(BlockingCaller& caller,
                                       const std::vector<std::string>& hosts, const NodeId& node) {
  for (const std::string& host : hosts) {
    HttpRequest request;
    request.method = "POST";
    request.target = fmt::format("/hollow/kill?node={}", node.value());
    const BlockingReply reply = caller.Call(host, request, kPageTimeout);
    if (!reply.whole() || reply.status != 200) continue;
    boost::json::error_code error;
    const boost::json::value page = boost::json::parse(reply.body, error);
    if (!error && page.is_object()) return Number(page.as_object(), "at_us");
  }
  return absl::NotFoundError(fmt::format("no host has {}", node.value()));
}

}  // namespace millstair
