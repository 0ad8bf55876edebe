#include "simulator/network/engine_fabric.h"

#include <utility>

namespace millstair::simulator {
namespace {

/// Engine side of a generation: forwards output of the model to the client side.
class GenerationServer : public GenerateObserver,
                         public std::enable_shared_from_this<GenerationServer> {
 public:
  GenerationServer(EngineModel& model, std::shared_ptr<Connection> connection,
                   std::weak_ptr<class GenerationCall> call)
      : model_(model), connection_(std::move(connection)), call_(std::move(call)) {}

  void Begin(GenerateRequest request) {
    connection_->OnClientDisconnected([self = shared_from_this()] {
      self->model_.Cancel(self->id_);
      self->self_reference_.reset();
    });
    // The model holds a plain reference, so the object owns itself until the generation ends.
    self_reference_ = shared_from_this();
    id_ = model_.Generate(std::move(request), *this);
  }

  void OnChunk(const GenerateChunk& chunk) override;
  void OnFailed(CallFailure failure, bool leaving, const std::string& reason) override;

 private:
  EngineModel& model_;
  std::shared_ptr<Connection> connection_;
  std::weak_ptr<class GenerationCall> call_;
  GenerationId id_;
  std::shared_ptr<GenerationServer> self_reference_;
};

/// Client side of a generation.
class GenerationCall : public std::enable_shared_from_this<GenerationCall> {
 public:
  GenerationCall(EngineFabric& fabric, std::string address, GenerateObserver& observer)
      : fabric_(fabric), address_(std::move(address)), observer_(&observer) {}

  void Begin(HostId from, GenerateRequest request) {
    const std::weak_ptr<GenerationCall> self = weak_from_this();
    connection_ = fabric_.http().Connect(
        from, address_,
        [self, request = std::move(request)]() mutable {
          if (const auto call = self.lock()) call->OnConnected(std::move(request));
        },
        [self](const std::string& reason) {
          if (const auto call = self.lock()) call->Fail(CallFailure::kNotSent, false, reason);
        });
  }

  void Cancel() {
    observer_ = nullptr;
    connection_->CloseClient();
  }

  void OnChunk(const GenerateChunk& chunk) {
    chunk_received_ = true;
    GenerateObserver* observer = observer_;
    if (observer == nullptr) return;
    const std::shared_ptr<GenerationCall> self = shared_from_this();
    if (chunk.finished) {
      observer_ = nullptr;
      connection_->CloseClient();
    }
    observer->OnChunk(chunk);
  }

  void Fail(CallFailure failure, bool leaving, const std::string& reason) {
    GenerateObserver* observer = std::exchange(observer_, nullptr);
    if (observer == nullptr) return;
    const std::shared_ptr<GenerationCall> self = shared_from_this();
    connection_->CloseClient();
    observer->OnFailed(failure, leaving, reason);
  }

 private:
  void OnConnected(GenerateRequest request) {
    const std::weak_ptr<GenerationCall> self = weak_from_this();
    connection_->OnServerDisconnected([self] {
      const auto call = self.lock();
      if (!call) return;
      call->Fail(call->chunk_received_ ? CallFailure::kCut : CallFailure::kUnknown, false,
                 "connection reset");
    });
    connection_->SendToServer([&fabric = fabric_, address = address_, self,
                               weak = std::weak_ptr<Connection>(connection_),
                               request = std::move(request)] {
      const auto connection = weak.lock();
      EngineModel* model = fabric.Find(address);
      if (!connection || model == nullptr) return;
      if (!model->running()) {
        connection->CloseServer();
        return;
      }
      fabric.Record(address, EngineArrival::kGeneration, request.request_id);
      std::make_shared<GenerationServer>(*model, connection, self)->Begin(request);
    });
  }

  EngineFabric& fabric_;
  std::string address_;
  GenerateObserver* observer_;
  bool chunk_received_ = false;
  std::shared_ptr<Connection> connection_;
};

void GenerationServer::OnChunk(const GenerateChunk& chunk) {
  connection_->SendToClient([call = call_, chunk] {
    if (const auto to = call.lock()) to->OnChunk(chunk);
  });
  if (chunk.finished) self_reference_.reset();
}

void GenerationServer::OnFailed(CallFailure failure, bool leaving, const std::string& reason) {
  connection_->SendToClient([call = call_, failure, leaving, reason] {
    if (const auto to = call.lock()) to->Fail(failure, leaving, reason);
  });
  self_reference_.reset();
}

class GenerationHandle : public CallHandle {
 public:
  explicit GenerationHandle(std::shared_ptr<GenerationCall> call) : call_(std::move(call)) {}
  ~GenerationHandle() override { call_->Cancel(); }

 private:
  std::shared_ptr<GenerationCall> call_;
};

/// A request with a single reply of type `Answer`, which must be constructible from absl::Status.
template <class Answer>
class UnaryCall : public std::enable_shared_from_this<UnaryCall<Answer>> {
 public:
  using Done = std::function<void(Answer)>;
  /// Runs at the engine and calls `reply` once.
  using Serve = std::function<void(EngineModel&, std::function<void(Answer)> reply)>;

  UnaryCall(EngineFabric& fabric, std::string address, Serve serve, Done done)
      : fabric_(fabric),
        address_(std::move(address)),
        serve_(std::move(serve)),
        done_(std::move(done)) {}

  void Begin(HostId from) {
    const auto self = this->shared_from_this();
    connection_ = fabric_.http().Connect(
        from, address_, [self] { self->OnConnected(); },
        [self](const std::string& reason) { self->End(absl::UnavailableError(reason)); });
  }

 private:
  void OnConnected() {
    const auto self = this->shared_from_this();
    connection_->OnServerDisconnected(
        [self] { self->End(absl::UnavailableError("connection reset")); });
    connection_->SendToServer([self] { self->ServeRequest(); });
  }

  void ServeRequest() {
    EngineModel* model = fabric_.Find(address_);
    if (model == nullptr || !model->running()) {
      connection_->CloseServer();
      return;
    }
    serve_(*model, [self = this->shared_from_this()](Answer answer) {
      if (!self->connection_) return;
      self->connection_->SendToClient(
          [self, answer = std::move(answer)]() mutable { self->End(std::move(answer)); });
    });
  }

  void End(Answer answer) {
    const Done done = std::exchange(done_, nullptr);
    if (!done) return;
    // Not reached once the process has ended: its end is closed and receives no events.
    const std::shared_ptr<Connection> connection = std::exchange(connection_, nullptr);
    connection->CloseClient();
    done(std::move(answer));
  }

  EngineFabric& fabric_;
  std::string address_;
  Serve serve_;
  Done done_;
  std::shared_ptr<Connection> connection_;
};

}  // namespace

void EngineFabric::Add(const std::string& address, EngineModel& model) {
  models_[address] = &model;
  Refresh(address);
}

EngineModel* EngineFabric::Find(const std::string& address) {
  const auto found = models_.find(address);
  return found == models_.end() ? nullptr : found->second;
}

void EngineFabric::Refresh(const std::string& address) {
  http_.SetAccepting(address, models_.at(address)->running());
}

void EngineFabric::Record(const std::string& address, EngineArrival kind, const std::string& what) {
  if (recorder_) recorder_(address, kind, what);
}

std::unique_ptr<CallHandle> FabricEngineClient::Generate(const std::string& address,
                                                         GenerateRequest request,
                                                         GenerateObserver& observer) {
  auto call = std::make_shared<GenerationCall>(fabric_, address, observer);
  call->Begin(host_, std::move(request));
  return std::make_unique<GenerationHandle>(std::move(call));
}

void FabricEngineClient::SendOrder(const std::string& address, const EngineOrder& order,
                                   std::function<void(absl::Status)> done) {
  const auto serve = [&fabric = fabric_, address, order](EngineModel& model,
                                                         std::function<void(absl::Status)> reply) {
    fabric.Record(address, EngineArrival::kOrder, "order");
    model.ApplyOrder(order, std::move(reply));
  };
  std::make_shared<UnaryCall<absl::Status>>(fabric_, address, serve, std::move(done))->Begin(host_);
}

void FabricEngineClient::FetchReport(const std::string& address,
                                     std::function<void(absl::StatusOr<EngineReport>)> done) {
  using Answer = absl::StatusOr<EngineReport>;
  const auto serve = [](EngineModel& model, std::function<void(Answer)> reply) {
    reply(model.Report());
  };
  std::make_shared<UnaryCall<Answer>>(fabric_, address, serve, std::move(done))->Begin(host_);
}

void FabricEngineClient::FetchCacheEvents(const std::string& address, uint64_t after, bool resync,
                                          std::function<void(absl::StatusOr<CacheEvents>)> done) {
  using Answer = absl::StatusOr<CacheEvents>;
  const auto serve = [after, resync](EngineModel& model, std::function<void(Answer)> reply) {
    reply(model.CacheEventsAfter(after, resync));
  };
  std::make_shared<UnaryCall<Answer>>(fabric_, address, serve, std::move(done))->Begin(host_);
}

}  // namespace millstair::simulator
