/// A TCP relay that simulates a network link: it delays, stalls and resets connections.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace millstair {

struct LinkOptions {
  std::string name;
  /// Both "ip:port"; port 0 of `listen` selects a free one.
  std::string listen;
  std::string target;
  /// One-way latency.
  std::chrono::microseconds latency{0};
};

/// Parses "listen,target,latency-ms[,name]"; the name defaults to "listen".
absl::StatusOr<LinkOptions> ParseLinkOptions(const std::string& text);

/// Directions that are stalled. Forward is from the connecting side to the target.
struct LinkStall {
  bool forward = false;
  bool backward = false;
  bool both() const { return forward && backward; }
  friend bool operator==(const LinkStall&, const LinkStall&) = default;
};

/// All calls and handlers run on the one thread of `io`.
class LinkRelay {
 public:
  /// Binds and starts to accept. InvalidArgument for invalid addresses, Unavailable if binding
  /// fails.
  static absl::StatusOr<std::unique_ptr<LinkRelay>> Listen(boost::asio::io_context& io,
                                                           const LinkOptions& options);
  /// Closes the listener and resets all connections.
  ~LinkRelay();

  const LinkOptions& options() const { return options_; }
  /// The listening address, with the selected port.
  const std::string& address() const { return options_.listen; }
  size_t connections() const;
  const LinkStall& stall() const { return stall_; }

  /// Stalls or resumes directions. Connections accepted while the forward direction is stalled are
  /// connected to the target when it resumes.
  void SetStall(const LinkStall& stall);
  /// Applies to bytes read from now on.
  void SetLatency(std::chrono::microseconds latency);
  /// Resets all connections by RST; new ones are accepted.
  void Reset();

 private:
  class Connection;
  using Endpoint = boost::asio::ip::tcp::endpoint;

  LinkRelay(boost::asio::io_context& io, LinkOptions options, Endpoint target);
  void Accept();

  boost::asio::io_context& io_;
  LinkOptions options_;
  Endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  LinkStall stall_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::shared_ptr<char> alive_ = std::make_shared<char>(0);
};

}  // namespace millstair
