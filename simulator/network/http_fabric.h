/// HTTP between the parties of a simulated fleet, on simulated connections.
///
/// Failures are told as a real client would tell them: not sent when no connection came about,
/// unknown when the connection broke after the request was written, cut when the answer had begun.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "http/exchange.h"
#include "simulator/network/connection.h"

namespace millstair::simulator {

/// A client gives up connecting after this long.
inline constexpr Duration kConnectTimeout = std::chrono::seconds(1);

class HttpFabric {
 public:
  explicit HttpFabric(Network& network) : network_(network) {}

  /// The endpoint of an address; for the whole run.
  void AddAddress(const std::string& address, HostId host);
  /// A process listens at `address`. `handler` must stay until `StopListening`.
  void Listen(const std::string& address, RequestHandler& handler);
  void StopListening(const std::string& address);
  /// Refuses new connections; requests on standing ones still reach the handler.
  void StopAccepting(const std::string& address) { endpoints_.at(address).accepting = false; }
  /// Breaks all connections of the processes on `host`, as when they die.
  void ResetConnections(HostId host);
  /// Answers whose handlers on `host` are still under way.
  size_t OpenAnswers(HostId host) const;

  /// Starts a call from a process on `from`.
  std::unique_ptr<CallHandle> Start(HostId from, const std::string& address, HttpRequest request,
                                    HttpCallObserver& observer);

  /// Opens a connection for another protocol at the same kind of address. `connected` runs once it
  /// stands; `failed` if it can't be had. Neither runs within this call, nor after the client end
  /// was closed.
  std::shared_ptr<Connection> Connect(HostId from, const std::string& address,
                                      std::function<void()> connected,
                                      std::function<void(const std::string& reason)> failed);
  /// A listener of another protocol, which then refuses connections while `up` is false.
  void SetAccepting(const std::string& address, bool accepting);

  Network& network() { return network_; }

 private:
  friend class FabricCall;
  friend class FabricWriter;

  struct Endpoint {
    HostId host;
    RequestHandler* handler = nullptr;
    bool accepting = false;
    /// Counts listeners, so that a request can't reach a later process unseen.
    uint64_t incarnation = 0;
  };

  Endpoint* Find(const std::string& address);
  void TryConnect(const std::shared_ptr<Connection>& connection, const std::string& address,
                  Duration deadline, std::function<void()> connected,
                  std::function<void(const std::string&)> failed);
  void TrackConnection(const std::shared_ptr<Connection>& connection);

  Network& network_;
  std::map<std::string, Endpoint> endpoints_;
  /// Connections per host of either end; expired ones are swept now and then.
  std::map<HostId, std::vector<std::weak_ptr<Connection>>> connections_;
  std::map<HostId, size_t> open_answers_;
};

/// HttpCaller of one process.
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
