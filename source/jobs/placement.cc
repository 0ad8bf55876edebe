#include "jobs/placement.h"

#include <cmath>
#include <tuple>

namespace millstair {
namespace {

/// Relative slowdown of events for each other run at the engine, including the reading of prompts.
constexpr double kSlowdownPerRun = 0.01;
/// Time to read a prompt of about a thousand tokens.
constexpr double kPromptSeconds = 0.005;
/// Makes any other engine with a free slot the better choice.
constexpr double kSlowEnginePenaltySeconds = 1000;
/// Minimum gain of a move. A move costs a connection and reading prompt and text again, some ten
/// milliseconds, but the expected length is often wrong by half.
constexpr double kMinGainSeconds = 0.25;
/// Engines whose speed differs by less than this share count as equally fast, since the smoothed
/// times vary by chance.
constexpr double kMinGainShare = 0.1;
/// Allowance for texts that are longer than expected: estimates are often off by half, and lengths
/// have a long tail.
constexpr double kLengthAllowance = 2.5;
/// Share of the time left in which the text should be complete; the rest allows for a move to a
/// faster engine if it is not.
constexpr double kShareOfTimeLeft = 0.5;

/// Engines of one class count as equally fast.
double PaceClass(double seconds_per_event) {
  return std::floor(std::log(seconds_per_event) / std::log1p(kMinGainShare));
}

std::optional<size_t> SlowestWithTimeToSpare(double remaining_events, double seconds_left,
                                             const std::vector<EngineOffer>& offers) {
  std::optional<size_t> best;
  std::tuple<double, bool, double> best_key;
  for (size_t i = 0; i < offers.size(); ++i) {
    const EngineOffer& offer = offers[i];
    // Slow engines may be faulty.
    if (offer.slow) continue;
    if (!HasTimeToSpare(remaining_events, offer.seconds_per_event, seconds_left)) continue;
    const std::tuple key(PaceClass(offer.seconds_per_event), offer.has_prompt_cached,
                         -static_cast<double>(offer.running));
    if (best && key <= best_key) continue;
    best = i;
    best_key = key;
  }
  return best;
}

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

bool HasTimeToSpare(double remaining_events, double seconds_per_event, double seconds_left) {
  if (std::isinf(seconds_left)) return false;
  const double seconds = remaining_events * seconds_per_event * kLengthAllowance;
  return seconds <= kShareOfTimeLeft * seconds_left;
}

std::optional<size_t> ChooseEngine(double remaining_events, double seconds_left,
                                   const std::vector<EngineOffer>& offers) {
  std::optional<size_t> best = SlowestWithTimeToSpare(remaining_events, seconds_left, offers);
  if (best) return best;
  double best_cost = 0;
  for (size_t i = 0; i < offers.size(); ++i) {
    const double cost = PlacementCost(remaining_events, offers[i]);
    if (best && cost >= best_cost) continue;
    best = i;
    best_cost = cost;
  }
  return best;
}

}  // namespace millstair
