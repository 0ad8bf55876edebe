#include "emulator/link_service.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "boost/json.hpp"
#include "emulator/model/http_answers.h"
#include "engine/json_reader.h"

namespace millstair {
namespace {

bool Matches(const std::string& pattern, const std::string& name) {
  if (pattern.empty()) return true;
  if (pattern.back() != '*') return pattern == name;
  return name.starts_with(std::string_view(pattern).substr(0, pattern.size() - 1));
}

void ApplyTo(LinkRelay& relay, const LinkFault& fault) {
  if (fault.kind == "reset") return relay.Reset();
  if (fault.kind == "latency") {
    return relay.SetLatency(std::chrono::microseconds(fault.latency_us));
  }
  if (fault.kind == "heal") return relay.SetStall({});
  const bool half = fault.kind == "half-cut";
  relay.SetStall({.forward = !half || fault.direction == "forward",
                  .backward = !half || fault.direction == "backward"});
}

}  // namespace

absl::StatusOr<LinkFault> DecodeLinkFault(std::string_view json) {
  JsonReader reader("link fault", json);
  LinkFault fault;
  reader.Read("kind", fault.kind);
  reader.ReadOptional("name", fault.name);
  reader.ReadOptional("direction", fault.direction);
  reader.ReadOptional("latency_us", fault.latency_us);
  const std::string_view kind = fault.kind;
  const bool half = kind == "half-cut";
  if (!half && kind != "cut" && kind != "stall" && kind != "reset" && kind != "latency" &&
      kind != "heal") {
    reader.Fail("kind", "must be cut, half-cut, stall, reset, latency or heal");
  }
  if (half && fault.direction != "forward" && fault.direction != "backward") {
    reader.Fail("direction", "must be forward or backward");
  }
  if (absl::Status status = reader.status(); !status.ok()) return status;
  return fault;
}

size_t ApplyLinkFault(const std::vector<std::unique_ptr<LinkRelay>>& relays,
                      const LinkFault& fault) {
  size_t count = 0;
  for (const std::unique_ptr<LinkRelay>& relay : relays) {
    if (!Matches(fault.name, relay->options().name)) continue;
    ApplyTo(*relay, fault);
    ++count;
  }
  return count;
}

std::string LinksJson(const std::vector<std::unique_ptr<LinkRelay>>& relays) {
  boost::json::array links;
  for (const std::unique_ptr<LinkRelay>& relay : relays) {
    links.push_back({{"name", relay->options().name},
                     {"listen", relay->options().listen},
                     {"target", relay->options().target},
                     {"latency_us", relay->options().latency.count()},
                     {"forward", !relay->stall().forward},
                     {"backward", !relay->stall().backward},
                     {"connections", relay->connections()}});
  }
  return boost::json::serialize(boost::json::object{{"links", std::move(links)}});
}

LinkService::LinkService(boost::asio::io_context& io,
                         const std::vector<std::unique_ptr<LinkRelay>>& relays, Post post)
    : io_(io), relays_(relays), post_(std::move(post)) {}

void LinkService::Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) {
  const std::string_view path = PathOf(request.target);
  if (path == "/livez") return RespondJson(writer, "{}");
  if (path == "/links") {
    return RespondFromRelays(std::move(writer), [this] { return LinksJson(relays_); });
  }
  if (path != "/fault") return RespondNotFound(writer, path);
  const absl::StatusOr<LinkFault> fault = DecodeLinkFault(request.body.str());
  if (!fault.ok()) return RespondNotRun(writer, 400, false, std::string(fault.status().message()));
  RespondFromRelays(std::move(writer), [this, fault = *fault] {
    const size_t count = ApplyLinkFault(relays_, fault);
    return boost::json::serialize(boost::json::object{{"links", count}});
  });
}

void LinkService::RespondFromRelays(std::shared_ptr<ResponseWriter> writer,
                                    std::function<std::string()> work) {
  boost::asio::post(io_, [post = post_, writer = std::move(writer), work = std::move(work)] {
    post([writer, json = work()] { RespondJson(writer, json); });
  });
}

}  // namespace millstair
