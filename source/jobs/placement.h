/// Cost of running the rest of an item at an engine, by which engines are chosen.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

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

/// Whether a text is expected to be complete at an engine with `seconds_per_event` so far ahead of
/// its due time that it may be much longer than expected. Never without a due time, which is an
/// infinite `seconds_left`.
bool HasTimeToSpare(double remaining_events, double seconds_per_event, double seconds_left);

/// Index of the engine for an item that is due in `seconds_left`; none without offers. An item with
/// time to spare gets the slowest engine at which it has, so that the fast ones stay free for long
/// texts. Any other item gets the engine with the lowest cost.
std::optional<size_t> ChooseEngine(double remaining_events, double seconds_left,
                                   const std::vector<EngineOffer>& offers);

}  // namespace millstair
