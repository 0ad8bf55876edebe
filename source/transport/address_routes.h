/// Address routes of one node: substitutes addresses that it reaches by another address, for
/// example through a forwarder between zones.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "common/peer_transport.h"
#include "http/exchange.h"

namespace millstair {

/// Maps an "ip:port" of the configuration to the "ip:port" that this node connects to.
class AddressRoutes {
 public:
  AddressRoutes() = default;
  explicit AddressRoutes(std::map<std::string, std::string> routes) : routes_(std::move(routes)) {}

  /// Returns `address` itself if it has no route.
  const std::string& Resolve(const std::string& address) const {
    const auto found = routes_.find(address);
    return found == routes_.end() ? address : found->second;
  }

 private:
  std::map<std::string, std::string> routes_;
};

/// PeerTransport that applies routes to the addresses of peers.
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

/// HttpCaller that applies routes to the addresses of back ends.
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
