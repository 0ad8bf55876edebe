/// Whether a request ran, as far as the system knows. Every response that the system itself creates
/// carries it in the header `Millstair-Outcome`.
#pragma once

#include <string_view>

#include "http/exchange.h"

namespace millstair {

enum class Outcome {
  kRan,     ///< it ran, at least in part
  kNotRun,  ///< it did not run and will not
  kUnknown  ///< it may have run
};

inline constexpr std::string_view kOutcomeHeader = "Millstair-Outcome";
inline constexpr std::string_view kDrainingHeader = "Millstair-Draining";

/// "ran", "not-run" or "unknown".
constexpr std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRan:
      return "ran";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

/// Outcome of a request whose call failed with `failure`.
constexpr Outcome OutcomeOf(CallFailure failure) {
  switch (failure) {
    case CallFailure::kNotSent:
    case CallFailure::kRefused:
      return Outcome::kNotRun;
    case CallFailure::kCut:
      return Outcome::kRan;
    case CallFailure::kUnknown:
      break;
  }
  return Outcome::kUnknown;
}

/// Outcome of a request after several attempts: kRan takes precedence over kUnknown over kNotRun.
constexpr Outcome Combine(Outcome earlier, Outcome later) {
  if (earlier == Outcome::kRan || later == Outcome::kRan) return Outcome::kRan;
  if (earlier == Outcome::kUnknown || later == Outcome::kUnknown) return Outcome::kUnknown;
  return Outcome::kNotRun;
}

}  // namespace millstair
