/// HTTP services of the platform models, with the test hooks GET /truth and POST /fault.
#pragma once

#include <memory>

#include "common/environment.h"
#include "emulator/fault_request.h"
#include "emulator/model/platform_models.h"
#include "http/exchange.h"

namespace millstair {

/// Handles the test hooks and passes all other requests to the model.
class TestHookService : public RequestHandler {
 public:
  explicit TestHookService(RequestHandler& model) : model_(model) {}
  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) final;

 protected:
  virtual std::string TruthJson() const { return "{}"; }
  /// InvalidArgument for a kind that the stand-in does not support.
  virtual absl::Status Apply(const FaultRequest& fault);

 private:
  RequestHandler& model_;
};

class PlainService : public TestHookService {
 public:
  PlainService(Environment& environment, PlainServerModel& model, PlainServerOptions options)
      : TestHookService(model), environment_(environment), model_(model), options_(options) {}

 private:
  std::string TruthJson() const override;
  absl::Status Apply(const FaultRequest& fault) override;

  Environment& environment_;
  PlainServerModel& model_;
  PlainServerOptions options_;
  std::shared_ptr<char> alive_ = std::make_shared<char>(0);
};

class StoreService : public TestHookService {
 public:
  explicit StoreService(WeightStoreModel& model) : TestHookService(model), model_(model) {}

 private:
  std::string TruthJson() const override;
  absl::Status Apply(const FaultRequest& fault) override;

  WeightStoreModel& model_;
};

class MachinesService : public TestHookService {
 public:
  explicit MachinesService(MachineListModel& model) : TestHookService(model), model_(model) {}

 private:
  absl::Status Apply(const FaultRequest& fault) override;

  MachineListModel& model_;
};

/// Accepts "live", "leaving" and "gone"; InvalidArgument otherwise.
absl::StatusOr<MachineState> MachineStateFromName(std::string_view name);

}  // namespace millstair
