#include "jobs/placement.h"

namespace millstair {
namespace {

/// By this share an event takes longer for each other run at its engine. The bench's sheets give
/// 0.005 of a step for each place in use; runs that begin there and read their prompts add to it.
constexpr double kSlowdownPerRun = 0.01;
/// A prompt of some thousand tokens is read in about this time.
constexpr double kPromptSeconds = 0.005;
/// Makes any other engine with room the better choice.
constexpr double kSlowEnginePenaltySeconds = 1000;
/// A move has to gain this much: it costs a connection and reading prompt and text again, some ten
/// milliseconds, and what is expected of the length is often wrong by half.
constexpr double kMinGainSeconds = 0.25;
/// Engines whose pace differs by less than this share count as equally fast: the smoothed times
/// between events differ by some hundredths by chance.
constexpr double kMinGainShare = 0.1;

}  // namespace

double PlacementCost(double remaining_events, const EngineOffer& offer) {
  const double crowding = 1 + kSlowdownPerRun * static_cast<double>(offer.running);
  const double seconds = remaining_events * offer.seconds_per_event * crowding;
  const double prompt = offer.has_prompt_cached ? 0 : kPromptSeconds;
  return seconds + prompt + (offer.slow ? kSlowEnginePenaltySeconds : 0);
}

bool WorthMoving(double remaining_events, double current_seconds, double target_seconds) {
  const bool faster = target_seconds <= (1 - kMinGainShare) * current_seconds;
  return faster && remaining_events * (current_seconds - target_seconds) >= kMinGainSeconds;
}

}  // namespace millstair
