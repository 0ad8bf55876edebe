/// Control over the relays of one process. POST /fault {"kind","name"} with kind "cut" and "stall"
/// (nothing passes either way), "half-cut" with "direction" "forward" or "backward", "reset",
/// "latency" with "latency_us", "heal". A name that ends in '*' stands for all that begin so; no
/// name for all. GET /links lists them.
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

/// InvalidArgument with every faulty member, or for an unknown kind or direction.
absl::StatusOr<LinkFault> DecodeLinkFault(std::string_view json);

/// Does `fault` to the relays that it names; their number. On the relays' thread.
size_t ApplyLinkFault(const std::vector<std::unique_ptr<LinkRelay>>& relays,
                      const LinkFault& fault);

/// {"links":[{"name","listen","target","latency_us","forward","backward","connections"}]}. On the
/// relays' thread.
std::string LinksJson(const std::vector<std::unique_ptr<LinkRelay>>& relays);

class LinkService : public RequestHandler {
 public:
  /// Runs a function on the executor that calls `Handle`.
  using Post = std::function<void(std::function<void()>)>;

  /// All outlive the service, and `io` its last answer.
  LinkService(boost::asio::io_context& io, const std::vector<std::unique_ptr<LinkRelay>>& relays,
              Post post);
  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override;

 private:
  /// Runs `work` on the relays' thread and answers with its JSON.
  void AnswerFromRelays(std::shared_ptr<ResponseWriter> writer, std::function<std::string()> work);

  boost::asio::io_context& io_;
  const std::vector<std::unique_ptr<LinkRelay>>& relays_;
  Post post_;
};

}  // namespace millstair
