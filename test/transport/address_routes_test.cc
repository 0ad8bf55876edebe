#include "transport/address_routes.h"

#include <catch2/catch.hpp>

namespace millstair {
namespace {

class RecordingTransport : public PeerTransport {
 public:
  void Send(const NodeId& to, PeerMessage) override { sent.push_back(to); }
  void SetAddress(const NodeId& node, const std::string& address) override {
    addresses[node] = address;
  }
  std::vector<NodeId> sent;
  std::map<NodeId, std::string> addresses;
};

class RecordingCaller : public HttpCaller {
 public:
  std::unique_ptr<CallHandle> Start(const std::string& address, HttpRequest,
                                    HttpCallObserver&) override {
    called.push_back(address);
    return nullptr;
  }
  std::vector<std::string> called;
};

class IgnoringObserver : public HttpCallObserver {
 public:
  void OnHead(const HttpResponseHead&) override {}
  void OnBody(std::string) override {}
  void OnFinished() override {}
  void OnFailed(CallFailure, const std::string&) override {}
};

TEST_CASE("addresses with a route are substituted, others are unchanged") {
  const std::map<std::string, std::string> table = {{"127.0.0.1:1", "127.0.0.2:2"}};
  const AddressRoutes routes(table);
  RecordingTransport transport;
  RoutedPeerTransport routed_transport(transport, routes);
  routed_transport.SetAddress(NodeId("a"), "127.0.0.1:1");
  routed_transport.SetAddress(NodeId("b"), "127.0.0.1:3");
  routed_transport.Send(NodeId("a"), {});
  REQUIRE(transport.addresses[NodeId("a")] == "127.0.0.2:2");
  REQUIRE(transport.addresses[NodeId("b")] == "127.0.0.1:3");
  REQUIRE(transport.sent == std::vector<NodeId>{NodeId("a")});

  RecordingCaller caller;
  RoutedHttpCaller routed_caller(caller, routes);
  IgnoringObserver observer;
  routed_caller.Start("127.0.0.1:1", {}, observer);
  routed_caller.Start("127.0.0.1:9", {}, observer);
  REQUIRE(caller.called == std::vector<std::string>{"127.0.0.2:2", "127.0.0.1:9"});
}

}  // namespace
}  // namespace millstair
