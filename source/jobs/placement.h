/// Cost of running the rest of an item at an engine, by which engines are chosen.
#pragma once

#include <cstdint>

namespace millstair {

/// An engine that could run an item, as its scheduler sees it.
struct EngineOffer {
  /// Expected time between two events there.
  double seconds_per_event = 0;
  /// Number of running requests.
  uint32_t running = 0;
  /// Its events arrive far slower than those of most engines.
  bool slow = false;
  /// It ran the latest item of the same group, so that the common prompt is cached there.
  bool has_prompt_cached = false;
};

/// Expected seconds until the item is complete there, with a penalty for slow engines; lower is
/// better.
double PlacementCost(double remaining_events, const EngineOffer& offer);

/// Whether a run gains enough from a move to an engine with `target_seconds` per event instead of
/// `current_seconds`: a move costs a new connection and reading prompt and text again.
bool WorthMoving(double remaining_events, double current_seconds, double target_seconds);

}  // namespace millstair
