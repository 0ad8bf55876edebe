/// HTTP API of an engine model: generations as chunked JSON lines, orders, reports, cache events,
/// KV export, and the test hooks /truth and /fault.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "common/environment.h"
#include "emulator/fault_request.h"
#include "emulator/model/engine_model.h"
#include "http/exchange.h"

namespace millstair {

class EngineService : public RequestHandler {
 public:
  /// Both must outlive the service.
  EngineService(Environment& environment, EngineModel& engine);
  ~EngineService() override;
  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override;
  /// True if all streams have been passed to their writers completely.
  bool Idle() const { return generations_.empty(); }

 private:
  class Generation;
  using WriterPointer = std::shared_ptr<ResponseWriter>;

  /// False if the path is not a test hook.
  bool HandleHook(const HttpRequest& request, const WriterPointer& writer);
  void HandleGenerate(const HttpRequest& request, const WriterPointer& writer);
  void HandleOrder(const HttpRequest& request, const WriterPointer& writer);
  void HandleReport(const WriterPointer& writer);
  void HandleCacheEvents(const HttpRequest& request, const WriterPointer& writer);
  void HandleKvExport(const HttpRequest& request, const WriterPointer& writer);
  void HandleTruth(const HttpRequest& request, const WriterPointer& writer);
  void HandleFault(const HttpRequest& request, const WriterPointer& writer);
  absl::Status Apply(const FaultRequest& fault);

  Environment& environment_;
  EngineModel& engine_;
  uint64_t next_generation_ = 1;
  std::map<uint64_t, std::shared_ptr<Generation>> generations_;
  /// Expires with the service; callbacks that run later do nothing.
  std::shared_ptr<char> alive_ = std::make_shared<char>(0);
};

}  // namespace millstair
