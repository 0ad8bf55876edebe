#include "transport/tcp_peer_transport.h"

#include <utility>

#include "transport/peer_hub.h"

namespace millstair {

absl::StatusOr<std::unique_ptr<TcpPeerTransport>> TcpPeerTransport::Listen(
    Runtime& runtime, std::shared_ptr<SerialExecutor> executor, PeerTransportOptions options,
    StatsRegistry* stats) {
  auto hub = std::make_shared<PeerHub>(runtime, std::move(executor), std::move(options), stats);
  absl::StatusOr<std::string> address = hub->Bind();
  if (!address.ok()) return address.status();
  hub->Start();
  return std::unique_ptr<TcpPeerTransport>(
      new TcpPeerTransport(std::move(hub), *std::move(address)));
}

TcpPeerTransport::TcpPeerTransport(std::shared_ptr<PeerHub> hub, std::string address)
    : hub_(std::move(hub)), address_(std::move(address)) {}

TcpPeerTransport::~TcpPeerTransport() {
  hub_->receiver = nullptr;
  hub_->Stop();
}

void TcpPeerTransport::SetReceiver(PeerReceiver* receiver) { hub_->receiver = receiver; }

void TcpPeerTransport::Send(const NodeId& to, PeerMessage message) {
  hub_->Send(to, std::move(message));
}

void TcpPeerTransport::SetAddress(const NodeId& node, const std::string& address) {
  hub_->SetAddress(node, address);
}

}  // namespace millstair
