/// HTTP between the parties of a simulated fleet, on simulated connections.
///
/// Failures are reported as by a real client: not sent if no connection was established, unknown if
/// the connection broke after the request was sent, cut if the response had begun.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "http/exchange.h"
#include "simulator/network/connection.h"

namespace millstair::simulator {

inline constexpr Duration kConnectTimeout = std::chrono::seconds(1);

class HttpFabric {
 public:
  explicit HttpFabric(Network& network) : network_(network) {}

  /// Assigns an address to a host for the whole run.
  void AddAddress(const std::string& address, HostId host);
  /// Starts listening at `address`. `handler` must stay valid until `StopListening`.
  void Listen(const std::string& address, RequestHandler& handler);
  void StopListening(const std::string& address);
  /// Refuses new connections; requests on existing ones still reach the handler.
  void StopAccepting(const std::string& address) { endpoints_.at(address).accepting = false; }
  /// Closes all connections of the processes on `host`, as when they end.
  void ResetConnections(HostId host);
  /// Number of responses that handlers on `host` have not finished.
  size_t OpenAnswers(HostId host) const;

  /// Starts a call from a process on `from`.
  std::unique_ptr<CallHandle> Start(HostId from, const std::string& address, HttpRequest request,
                                    HttpCallObserver& observer);

  /// Opens a connection for another protocol. Runs `connected` once it is established, or `failed`;
  /// neither within this call, nor after the client end was closed.
  std::shared_ptr<Connection> Connect(HostId from, const std::string& address,
                                      std::function<void()> connected,
                                      std::function<void(const std::string& reason)> failed);
  /// Sets whether the listener of another protocol accepts connections.
  void SetAccepting(const std::string& address, bool accepting);

  Network& network() { return network_; }

 private:
  friend class FabricCall;
  friend class FabricWriter;

  struct Endpoint {
    HostId host;
    RequestHandler* handler = nullptr;
    bool accepting = false;
    /// Counts listeners, so that a request to an earlier process is not delivered to a later one.
    uint64_t incarnation = 0;
  };

  Endpoint* Find(const std::string& address);
  void TryConnect(const std::shared_ptr<Connection>& connection, const std::string& address,
                  Duration deadline, std::function<void()> connected,
                  std::function<void(const std::string&)> failed);
  void TrackConnection(const std::shared_ptr<Connection>& connection);

  Network& network_;
  std::map<std::string, Endpoint> endpoints_;
  /// Connections by host of either end; expired ones are pruned occasionally.
  std::map<HostId, std::vector<std::weak_ptr<Connection>>> connections_;
  std::map<HostId, size_t> open_answers_;
};

/// HttpCaller of a process on `host`.
class FabricHttpCaller : public HttpCaller {
 public:
  FabricHttpCaller(HttpFabric& fabric, HostId host) : fabric_(fabric), host_(host) {}
  std::unique_ptr<CallHandle> Start(const std::string& address, HttpRequest request,
                                    HttpCallObserver& observer) override {
    return fabric_.Start(host_, address, std::move(request), observer);
  }

 private:
  HttpFabric& fabric_;
  HostId host_;
};

}  // namespace millstair::simulator
