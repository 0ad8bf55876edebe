#include "simulator/network/fabric_call.h"

#include <utility>

namespace millstair::simulator {
namespace {

constexpr size_t kSendBuffer = 64 * 1024;

}  // namespace

void FabricCall::Begin() {
  const std::weak_ptr<FabricCall> self = weak_from_this();
  connection_ = fabric_.Connect(
      from_, address_,
      [self] {
        if (const auto call = self.lock()) call->OnConnected();
      },
      [self](const std::string& reason) {
        if (const auto call = self.lock()) call->Fail(CallFailure::kNotSent, reason);
      });
}

void FabricCall::Cancel() {
  observer_ = nullptr;
  if (connection_) connection_->CloseClient();
}

void FabricCall::OnConnected() {
  const std::weak_ptr<FabricCall> self = weak_from_this();
  connection_->OnServerDisconnected([self] {
    if (const auto call = self.lock()) call->OnConnectionBroken();
  });
  const uint64_t incarnation = fabric_.Find(address_)->incarnation;
  connection_->SendToServer([&fabric = fabric_, address = address_, incarnation,
                             request = std::move(request_),
                             weak = std::weak_ptr<Connection>(connection_), self] {
    if (const auto connection = weak.lock())
      DeliverRequest(fabric, address, incarnation, request, connection, self);
  });
}

void FabricCall::DeliverRequest(HttpFabric& fabric, const std::string& address,
                                uint64_t incarnation, HttpRequest request,
                                const std::shared_ptr<Connection>& connection,
                                std::weak_ptr<FabricCall> call) {
  const HttpFabric::Endpoint* endpoint = fabric.Find(address);
  if (endpoint->handler == nullptr || endpoint->incarnation != incarnation) {
    connection->CloseServer();
    return;
  }
  endpoint->handler->Handle(std::move(request),
                            std::make_shared<FabricWriter>(fabric, connection, std::move(call)));
}

void FabricCall::OnConnectionBroken() {
  Fail(head_seen_ ? CallFailure::kCut : CallFailure::kUnknown, "connection reset");
}

void FabricCall::Fail(CallFailure failure, const std::string& reason) {
  HttpCallObserver* observer = std::exchange(observer_, nullptr);
  if (observer == nullptr) return;
  const std::shared_ptr<FabricCall> self = shared_from_this();
  observer->OnFailed(failure, reason);
}

void FabricCall::OnHead(const HttpResponseHead& head) {
  head_seen_ = true;
  if (observer_ == nullptr) return;
  const std::shared_ptr<FabricCall> self = shared_from_this();
  observer_->OnHead(head);
}

void FabricCall::OnBody(std::string bytes) {
  if (observer_ == nullptr) return;
  const std::shared_ptr<FabricCall> self = shared_from_this();
  observer_->OnBody(std::move(bytes));
}

void FabricCall::OnFinished() {
  HttpCallObserver* observer = std::exchange(observer_, nullptr);
  connection_->CloseClient();
  if (observer == nullptr) return;
  const std::shared_ptr<FabricCall> self = shared_from_this();
  observer->OnFinished();
}

FabricWriter::FabricWriter(HttpFabric& fabric, std::shared_ptr<Connection> connection,
                           std::weak_ptr<FabricCall> call)
    : fabric_(fabric), connection_(std::move(connection)), call_(std::move(call)) {
  ++fabric_.open_answers_[connection_->server()];
}

FabricWriter::~FabricWriter() {
  // The handler released the writer without completing the response.
  if (!ended_) Abort();
}

void FabricWriter::End() {
  if (ended_) return;
  ended_ = true;
  --fabric_.open_answers_[connection_->server()];
}

void FabricWriter::SendHead(HttpResponseHead head) {
  if (ended_) return;
  connection_->SendToClient([call = call_, head = std::move(head)] {
    if (const auto to = call.lock()) to->OnHead(head);
  });
}

void FabricWriter::SendBody(std::string bytes) {
  if (ended_ || bytes.empty()) return;
  const size_t size = bytes.size();
  in_flight_ += size;
  connection_->SendToClient(
      [self = weak_from_this(), call = call_, size, bytes = std::move(bytes)]() mutable {
        if (const auto writer = self.lock()) writer->Drained(size);
        if (const auto to = call.lock()) to->OnBody(std::move(bytes));
      });
}

void FabricWriter::Drained(size_t bytes) {
  const bool was_full = WritableBytes() == 0;
  in_flight_ -= bytes;
  if (was_full && WritableBytes() > 0 && on_writable_ && !ended_) on_writable_();
}

size_t FabricWriter::WritableBytes() const {
  return in_flight_ >= kSendBuffer ? 0 : kSendBuffer - in_flight_;
}

void FabricWriter::Finish() {
  if (ended_) return;
  connection_->SendToClient([call = call_] {
    if (const auto to = call.lock()) to->OnFinished();
  });
  End();
}

void FabricWriter::Abort() {
  if (ended_) return;
  connection_->CloseServer();
  End();
}

void FabricWriter::OnCallerDisconnected(std::function<void()> callback) {
  connection_->OnClientDisconnected([self = weak_from_this(), callback = std::move(callback)] {
    const auto writer = self.lock();
    if (!writer || writer->ended_) return;
    writer->End();
    callback();
  });
}

}  // namespace millstair::simulator
