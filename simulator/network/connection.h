/// A TCP-like connection of the simulated network: ordered and reliable in both directions until
/// one end closes it, its process ends, or the connection times out.
#pragma once

#include <deque>
#include <functional>
#include <memory>

#include "simulator/network/network.h"

namespace millstair::simulator {

/// The connection breaks after this time without progress.
inline constexpr Duration kConnectionTimeout = std::chrono::seconds(10);

/// Events are closures that run at the other end. Both ends and pending events share ownership.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Event = std::function<void()>;

  Connection(Network& network, HostId client, HostId server);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  HostId client() const { return to_server_.from; }
  HostId server() const { return to_server_.to; }
  bool client_open() const { return to_client_.receiver_open; }
  bool server_open() const { return to_server_.receiver_open; }

  /// Runs `event` at the server after all earlier events, unless that end is closed.
  void SendToServer(Event event) { Send(to_server_, std::move(event)); }
  void SendToClient(Event event) { Send(to_client_, std::move(event)); }

  /// Called once when the other end closes or the connection breaks while this end is open.
  void OnServerDisconnected(Event callback) {
    to_client_.on_peer_disconnected = std::move(callback);
  }
  void OnClientDisconnected(Event callback) {
    to_server_.on_peer_disconnected = std::move(callback);
  }

  /// Closes one end, also when its process ends; the other end is notified in order.
  void CloseClient() { Close(to_client_, to_server_); }
  void CloseServer() { Close(to_server_, to_client_); }

 private:
  /// State of the direction towards one end, the receiver.
  struct Direction {
    HostId from;
    HostId to;
    bool receiver_open = true;
    Duration last_arrival{0};
    /// Events sent while the link was cut.
    std::deque<Event> blocked;
    Duration blocked_since{0};
    Event on_peer_disconnected;
  };

  void Send(Direction& direction, Event event);
  void Launch(Direction& direction, Event event);
  void Retry(Direction& direction);
  void Close(Direction& own, Direction& other);
  void OnPeerDisconnected(Direction& receiver);
  /// Breaks the connection at both ends.
  void Break();

  Network& network_;
  Direction to_server_;
  Direction to_client_;
};

}  // namespace millstair::simulator
