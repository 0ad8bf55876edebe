#include "simulator/network/connection.h"

#include <algorithm>
#include <utility>

namespace millstair::simulator {
namespace {

constexpr Duration kRetryInterval = std::chrono::milliseconds(200);

}  // namespace

Connection::Connection(Network& network, HostId client, HostId server) : network_(network) {
  to_server_.from = client;
  to_server_.to = server;
  to_client_.from = server;
  to_client_.to = client;
}

void Connection::Send(Direction& direction, Event event) {
  if (!direction.receiver_open) return;
  const bool open = network_.Open(direction.from, direction.to);
  if (open && direction.blocked.empty()) {
    Launch(direction, std::move(event));
    return;
  }
  if (direction.blocked.empty()) {
    direction.blocked_since = network_.scheduler().Now();
    network_.scheduler().Schedule(
        kRetryInterval, [self = shared_from_this(), &direction] { self->Retry(direction); });
  }
  direction.blocked.push_back(std::move(event));
}

void Connection::Launch(Direction& direction, Event event) {
  VirtualScheduler& scheduler = network_.scheduler();
  const Duration arrival = scheduler.Now() + network_.DrawLatency(direction.from, direction.to);
  direction.last_arrival = std::max(direction.last_arrival, arrival);
  scheduler.Schedule(direction.last_arrival - scheduler.Now(),
                     [self = shared_from_this(), &direction, event = std::move(event)] {
                       if (direction.receiver_open) event();
                     });
}

void Connection::Retry(Direction& direction) {
  if (direction.blocked.empty()) return;
  VirtualScheduler& scheduler = network_.scheduler();
  if (network_.Open(direction.from, direction.to)) {
    std::deque<Event> blocked = std::move(direction.blocked);
    direction.blocked.clear();
    for (Event& event : blocked) Launch(direction, std::move(event));
    return;
  }
  if (scheduler.Now() - direction.blocked_since >= kConnectionTimeout) {
    Break();
    return;
  }
  scheduler.Schedule(kRetryInterval,
                     [self = shared_from_this(), &direction] { self->Retry(direction); });
}

void Connection::Close(Direction& own, Direction& other) {
  if (!own.receiver_open) return;
  own.receiver_open = false;
  own.on_peer_disconnected = nullptr;
  own.blocked.clear();
  Send(other, [this, &other] { OnPeerDisconnected(other); });
}

void Connection::OnPeerDisconnected(Direction& receiver) {
  if (!receiver.receiver_open) return;
  receiver.receiver_open = false;
  // Keeps this object alive while the callback releases its references.
  const std::shared_ptr<Connection> self = shared_from_this();
  const Event callback = std::exchange(receiver.on_peer_disconnected, nullptr);
  if (callback) callback();
}

void Connection::Break() {
  to_server_.blocked.clear();
  to_client_.blocked.clear();
  OnPeerDisconnected(to_server_);
  OnPeerDisconnected(to_client_);
}

}  // namespace millstair::simulator
