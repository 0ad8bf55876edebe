/// Wire format of the engine observations that gateways share.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "common/ids.h"
#include "engine/engine_types.h"

namespace millstair {

/// Cache events that follow event `after`.
struct SharedCache {
  uint64_t after = 0;
  bool resync = false;
  CacheEvents events;
};

struct ObservedEngineState {
  EngineName engine;
  /// Routing data only; digests, staged versions, fences and roles are not shared.
  EngineReport report;
  /// A plain back end: only `report.draining` is valid.
  bool plain = false;
  std::optional<SharedCache> cache;
};

struct EngineObservationsMessage {
  /// The receiver relays the message to the other gateways of its zone.
  bool relay = false;
  std::vector<ObservedEngineState> engines;
};

std::string EncodeObservations(const EngineObservationsMessage& message);
absl::StatusOr<EngineObservationsMessage> DecodeObservations(std::string_view bytes);

}  // namespace millstair
