/// HTTP API for trainers on a gateway: steps, samples, published versions.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "cluster/configuration_client.h"
#include "cluster/control_client.h"
#include "common/environment.h"
#include "http/exchange.h"

namespace millstair {

/// Lives on the node's serial executor.
class TrainerService : public RequestHandler {
 public:
  /// Whether `target` (path and query) belongs to this API.
  static bool Serves(std::string_view target) {
    return target.starts_with("/v1/streams/") || target.starts_with("/v1/models/");
  }
  /// Ends long polls with an empty result, completes outstanding requests, then calls `done`.
  /// Bounded by the timeouts of the commands.
  virtual void Drain(std::function<void()> done) = 0;
};

std::unique_ptr<TrainerService> MakeTrainerService(Environment& environment, ControlClient& control,
                                                   ConfigurationClient& configuration);

}  // namespace millstair
