#include "simulator/network/http_fabric.h"

#include <algorithm>
#include <utility>

#include "simulator/network/fabric_call.h"

namespace millstair::simulator {
namespace {

constexpr Duration kConnectRetryInterval = std::chrono::milliseconds(200);
constexpr size_t kPruneThreshold = 64;

}  // namespace

void HttpFabric::AddAddress(const std::string& address, HostId host) {
  endpoints_[address].host = host;
}

HttpFabric::Endpoint* HttpFabric::Find(const std::string& address) {
  const auto endpoint = endpoints_.find(address);
  return endpoint == endpoints_.end() ? nullptr : &endpoint->second;
}

void HttpFabric::Listen(const std::string& address, RequestHandler& handler) {
  Endpoint& endpoint = endpoints_.at(address);
  endpoint.handler = &handler;
  endpoint.accepting = true;
  ++endpoint.incarnation;
}

void HttpFabric::StopListening(const std::string& address) {
  Endpoint& endpoint = endpoints_.at(address);
  endpoint.handler = nullptr;
  endpoint.accepting = false;
}

void HttpFabric::SetAccepting(const std::string& address, bool accepting) {
  Endpoint& endpoint = endpoints_.at(address);
  endpoint.incarnation += accepting && !endpoint.accepting ? 1 : 0;
  endpoint.accepting = accepting;
}

void HttpFabric::ResetConnections(HostId host) {
  const std::vector<std::weak_ptr<Connection>> all = std::move(connections_[host]);
  connections_[host].clear();
  for (const std::weak_ptr<Connection>& weak : all) {
    const std::shared_ptr<Connection> connection = weak.lock();
    if (!connection) continue;
    if (connection->client() == host) connection->CloseClient();
    if (connection->server() == host) connection->CloseServer();
  }
}

size_t HttpFabric::OpenAnswers(HostId host) const {
  const auto open = open_answers_.find(host);
  return open == open_answers_.end() ? 0 : open->second;
}

void HttpFabric::TrackConnection(const std::shared_ptr<Connection>& connection) {
  for (const HostId host : {connection->client(), connection->server()}) {
    std::vector<std::weak_ptr<Connection>>& all = connections_[host];
    if (all.size() > kPruneThreshold && all.size() == all.capacity()) {
      std::erase_if(all, [](const std::weak_ptr<Connection>& weak) { return weak.expired(); });
    }
    all.push_back(connection);
  }
}

std::shared_ptr<Connection> HttpFabric::Connect(HostId from, const std::string& address,
                                                std::function<void()> connected,
                                                std::function<void(const std::string&)> failed) {
  const Endpoint* endpoint = Find(address);
  // An unknown address behaves like a machine that is switched off.
  const HostId to = endpoint == nullptr ? from : endpoint->host;
  auto connection = std::make_shared<Connection>(network_, from, to);
  TrackConnection(connection);
  const Duration deadline = network_.scheduler().Now() + kConnectTimeout;
  if (endpoint == nullptr) {
    network_.scheduler().Schedule(kConnectTimeout, [connection, failed = std::move(failed)] {
      if (!connection->client_open()) return;
      connection->CloseClient();
      failed("connect timed out");
    });
    return connection;
  }
  network_.scheduler().Schedule(
      Duration(0), [this, connection, address, deadline, connected = std::move(connected),
                    failed = std::move(failed)]() mutable {
        TryConnect(connection, address, deadline, std::move(connected), std::move(failed));
      });
  return connection;
}

void HttpFabric::TryConnect(const std::shared_ptr<Connection>& connection,
                            const std::string& address, Duration deadline,
                            std::function<void()> connected,
                            std::function<void(const std::string&)> failed) {
  if (!connection->client_open()) return;
  VirtualScheduler& scheduler = network_.scheduler();
  const auto fail = [connection, failed](const std::string& reason) {
    if (!connection->client_open()) return;
    connection->CloseClient();
    failed(reason);
  };
  if (!network_.OpenBothWays(connection->client(), connection->server())) {
    if (scheduler.Now() >= deadline) {
      fail("connect timed out");
      return;
    }
    scheduler.Schedule(kConnectRetryInterval, [this, connection, address, deadline,
                                               connected = std::move(connected),
                                               failed = std::move(failed)]() mutable {
      TryConnect(connection, address, deadline, std::move(connected), std::move(failed));
    });
    return;
  }
  if (!Find(address)->accepting) {
    const Duration answer = network_.DrawLatency(connection->client(), connection->server()) +
                            network_.DrawLatency(connection->server(), connection->client());
    scheduler.Schedule(answer, [fail] { fail("connection refused"); });
    return;
  }
  // Models reuse of kept-alive connections: connecting takes no round trip.
  connected();
}

std::unique_ptr<CallHandle> HttpFabric::Start(HostId from, const std::string& address,
                                              HttpRequest request, HttpCallObserver& observer) {
  auto call = std::make_shared<FabricCall>(*this, from, address, std::move(request), observer);
  call->Begin();
  return std::make_unique<FabricCallHandle>(std::move(call));
}

}  // namespace millstair::simulator
