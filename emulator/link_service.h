/// HTTP control API for the relays of one process. POST /fault {"kind","name"} with kind "cut" or
/// "stall" (both directions stalled), "half-cut" with "direction" "forward" or "backward", "reset",
/// "latency" with "latency_us", "heal". A name that ends in '*' matches by prefix; an empty name
/// matches all. GET /links lists the relays.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "emulator/link_relay.h"
#include "http/exchange.h"

namespace millstair {

/// Body of POST /fault.
struct LinkFault {
  std::string kind;
  std::string name;
  std::string direction;
  uint32_t latency_us = 0;
};

/// InvalidArgument, with a message that names every invalid member.
absl::StatusOr<LinkFault> DecodeLinkFault(std::string_view json);

/// Applies `fault` to the matching relays and returns their number. Runs on the relays' thread.
size_t ApplyLinkFault(const std::vector<std::unique_ptr<LinkRelay>>& relays,
                      const LinkFault& fault);

/// {"links":[{"name","listen","target","latency_us","forward","backward","connections"}]}. Runs on
/// the relays' thread.
std::string LinksJson(const std::vector<std::unique_ptr<LinkRelay>>& relays);

class LinkService : public RequestHandler {
 public:
  /// Runs a function on the executor on which `Handle` is called.
  using Post = std::function<void(std::function<void()>)>;

  /// All must outlive the service, and `io` its last response.
  LinkService(boost::asio::io_context& io, const std::vector<std::unique_ptr<LinkRelay>>& relays,
              Post post);
  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override;

 private:
  /// Runs `work` on the relays' thread and responds with the JSON that it returns.
  void RespondFromRelays(std::shared_ptr<ResponseWriter> writer, std::function<std::string()> work);

  boost::asio::io_context& io_;
  const std::vector<std::unique_ptr<LinkRelay>>& relays_;
  Post post_;
};

}  // namespace millstair
