/// A TCP relay that stands for the network between two places: it delays, stalls and resets.
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
  /// Both "ip:port"; port 0 of `listen` picks a free one.
  std::string listen;
  std::string target;
  /// One way.
  std::chrono::microseconds latency{0};
};

/// Parses "listen,target,latency-ms[,name]"; the name is "listen" if it is left out.
absl::StatusOr<LinkOptions> ParseLinkOptions(const std::string& text);

/// Which directions carry nothing. Forward is from the one who connects.
struct LinkStall {
  bool forward = false;
  bool backward = false;
  bool both() const { return forward && backward; }
  friend bool operator==(const LinkStall&, const LinkStall&) = default;
};

/// All calls and handlers run on the one thread of `io`.
class LinkRelay {
 public:
  /// Binds and accepts. InvalidArgument for bad addresses, Unavailable if it can't bind.
  static absl::StatusOr<std::unique_ptr<LinkRelay>> Listen(boost::asio::io_context& io,
                                                           const LinkOptions& options);
  /// Closes the listener and resets all connections.
  ~LinkRelay();

  const LinkOptions& options() const { return options_; }
  /// Where it listens, with the port picked.
  const std::string& address() const { return options_.listen; }
  size_t connections() const;
  const LinkStall& stall() const { return stall_; }

  /// Stalls directions, or lets them flow again. While the forward direction is stalled, new
  /// connections wait; they reach the target when it flows again.
  void SetStall(const LinkStall& stall);
  /// For bytes that come in from now on.
  void SetLatency(std::chrono::microseconds latency);
  /// Breaks all connections by RST; new ones work.
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
