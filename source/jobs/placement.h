/// What it costs to run the rest of an item at an engine: the base of each choice of an engine.
#pragma once

#include <cstdint>

namespace millstair {

/// An engine that could run an item, as its scheduler sees it.
struct EngineOffer {
  /// Expected time between two events there.
  double seconds_per_event = 0;
  /// Runs under way there.
  uint32_t running = 0;
  /// Its events come far slower than those of most engines.
  bool slow = false;
  /// It ran the latest item of the same group, so that it keeps their prompt.
  bool has_prompt_cached = false;
};

/// In seconds, until the item is whole there; the least is the best. `remaining_events` of its text
/// are expected.
double PlacementCost(double remaining_events, const EngineOffer& offer);

/// Whether a run is to go on where an event takes `there` seconds instead of `here`: what it gains
/// is worth a new connection and reading prompt and text again.
bool WorthMoving(double remaining_events, double current_seconds, double target_seconds);

}  // namespace millstair
