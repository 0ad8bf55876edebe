/// Engine observations between gateways on the wire.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "common/ids.h"
#include "engine/engine_types.h"

namespace millstair {

/// Cache events read after event `after`.
struct SharedCache {
  uint64_t after = 0;
  bool resync = false;
  CacheEvents events;
};

struct ObservedEngineState {
  EngineName engine;
  /// Figures for routing; digests, staged versions, fences and roles are not shared.
  EngineReport report;
  /// A plain back end: only `report.draining` means something.
  bool plain = false;
  std::optional<SharedCache> cache;
};

struct EngineObservationsMessage {
  /// The receiver passes them on to the other gateways of its zone.
  bool relay = false;
  std::vector<ObservedEngineState> engines;
};

std::string EncodeObservations(const EngineObservationsMessage& message);
absl::StatusOr<EngineObservationsMessage> DecodeObservations(std::string_view bytes);

}  // namespace millstair
