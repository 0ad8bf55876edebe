/// One HTTP exchange on a simulated connection: client side and server side.
#pragma once

#include <memory>
#include <string>

#include "simulator/network/http_fabric.h"

namespace millstair::simulator {

/// Client side. Owned by the handle; pending events hold weak pointers.
class FabricCall : public std::enable_shared_from_this<FabricCall> {
 public:
  FabricCall(HttpFabric& fabric, HostId from, std::string address, HttpRequest request,
             HttpCallObserver& observer)
      : fabric_(fabric),
        from_(from),
        address_(std::move(address)),
        request_(std::move(request)),
        observer_(&observer) {}

  void Begin();
  /// Called when the handle is destroyed; the observer is not called any more.
  void Cancel();

  void OnHead(const HttpResponseHead& head);
  void OnBody(std::string bytes);
  void OnFinished();

 private:
  void OnConnected();
  /// Delivers the request to the listener if it is still the one numbered `incarnation`.
  static void DeliverRequest(HttpFabric& fabric, const std::string& address, uint64_t incarnation,
                             HttpRequest request, const std::shared_ptr<Connection>& connection,
                             std::weak_ptr<FabricCall> call);
  void OnConnectionBroken();
  void Fail(CallFailure failure, const std::string& reason);

  HttpFabric& fabric_;
  HostId from_;
  std::string address_;
  HttpRequest request_;
  /// Null once the call has ended.
  HttpCallObserver* observer_;
  bool head_seen_ = false;
  std::shared_ptr<Connection> connection_;
};

class FabricCallHandle : public CallHandle {
 public:
  explicit FabricCallHandle(std::shared_ptr<FabricCall> call) : call_(std::move(call)) {}
  ~FabricCallHandle() override { call_->Cancel(); }

 private:
  std::shared_ptr<FabricCall> call_;
};

/// Server side, owned by the handler.
class FabricWriter : public ResponseWriter, public std::enable_shared_from_this<FabricWriter> {
 public:
  FabricWriter(HttpFabric& fabric, std::shared_ptr<Connection> connection,
               std::weak_ptr<FabricCall> call);
  ~FabricWriter() override;

  void SendHead(HttpResponseHead head) override;
  void SendBody(std::string bytes) override;
  void Finish() override;
  void Abort() override;
  size_t WritableBytes() const override;
  void OnWritable(std::function<void()> callback) override { on_writable_ = std::move(callback); }
  void OnCallerDisconnected(std::function<void()> callback) override;

 private:
  void Drained(size_t bytes);
  void End();

  HttpFabric& fabric_;
  std::shared_ptr<Connection> connection_;
  std::weak_ptr<FabricCall> call_;
  std::function<void()> on_writable_;
  size_t in_flight_ = 0;
  bool ended_ = false;
};

}  // namespace millstair::simulator
