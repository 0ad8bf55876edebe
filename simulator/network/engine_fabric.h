/// Engines on the simulated network, and the EngineClient of a process.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "emulator/model/engine_model.h"
#include "engine/engine_types.h"
#include "simulator/network/http_fabric.h"

namespace millstair::simulator {

/// Kind of an arrival at an engine.
enum class EngineArrival : uint8_t { kGeneration, kOrder };

class EngineFabric {
 public:
  /// Called for each generation and order that reaches an engine.
  using ArrivalRecorder =
      std::function<void(const std::string& address, EngineArrival kind, const std::string& what)>;

  EngineFabric(HttpFabric& http, ArrivalRecorder recorder)
      : http_(http), recorder_(std::move(recorder)) {}

  /// `model` must outlive the fabric. The address must be known to the HttpFabric.
  void Add(const std::string& address, EngineModel& model);
  EngineModel* Find(const std::string& address);
  /// Must be called after a crash or a restart of the model.
  void Refresh(const std::string& address);
  void Record(const std::string& address, EngineArrival kind, const std::string& what);

  HttpFabric& http() { return http_; }

 private:
  HttpFabric& http_;
  ArrivalRecorder recorder_;
  std::map<std::string, EngineModel*> models_;
};

/// EngineClient of a process on `host`.
class FabricEngineClient : public EngineClient {
 public:
  FabricEngineClient(EngineFabric& fabric, HostId host) : fabric_(fabric), host_(host) {}

  std::unique_ptr<CallHandle> Generate(const std::string& address, GenerateRequest request,
                                       GenerateObserver& observer) override;
  void SendOrder(const std::string& address, const EngineOrder& order,
                 std::function<void(absl::Status)> done) override;
  void FetchReport(const std::string& address,
                   std::function<void(absl::StatusOr<EngineReport>)> done) override;
  void FetchCacheEvents(const std::string& address, uint64_t after, bool resync,
                        std::function<void(absl::StatusOr<CacheEvents>)> done) override;

 private:
  EngineFabric& fabric_;
  HostId host_;
};

}  // namespace millstair::simulator
