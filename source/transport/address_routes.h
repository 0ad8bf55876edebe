/// Address routes of one node: where it reaches an address that others know under another number,
/// for example behind a forwarder between zones.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "common/peer_transport.h"
#include "http/exchange.h"

namespace millstair {

/// "ip:port" as the configuration names it, to "ip:port" as this node reaches it.
class AddressRoutes {
 public:
  AddressRoutes() = default;
  explicit AddressRoutes(std::map<std::string, std::string> routes) : routes_(std::move(routes)) {}

  /// The address itself if no route is set.
  const std::string& Resolve(const std::string& address) const {
    const auto found = routes_.find(address);
    return found == routes_.end() ? address : found->second;
  }

 private:
  std::map<std::string, std::string> routes_;
};

/// Hands peers' addresses on as this node reaches them.
class RoutedPeerTransport : public PeerTransport {
 public:
  /// `transport` outlives it.
  RoutedPeerTransport(PeerTransport& transport, AddressRoutes routes)
      : transport_(transport), routes_(std::move(routes)) {}

  void Send(const NodeId& to, PeerMessage message) override {
    transport_.Send(to, std::move(message));
  }
  void SetAddress(const NodeId& node, const std::string& address) override {
    transport_.SetAddress(node, routes_.Resolve(address));
  }

 private:
  PeerTransport& transport_;
  AddressRoutes routes_;
};

/// Calls back ends where this node reaches them.
class RoutedHttpCaller : public HttpCaller {
 public:
  /// `caller` outlives it.
  RoutedHttpCaller(HttpCaller& caller, AddressRoutes routes)
      : caller_(caller), routes_(std::move(routes)) {}

  std::unique_ptr<CallHandle> Start(const std::string& address, HttpRequest request,
                                    HttpCallObserver& observer) override {
    return caller_.Start(routes_.Resolve(address), std::move(request), observer);
  }

 private:
  HttpCaller& caller_;
  AddressRoutes routes_;
};

}  // namespace millstair
