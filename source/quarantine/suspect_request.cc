#include "quarantine/suspect_request.h"

#include "fmt/format.h"

namespace millstair {

std::string PlaceOf(std::string_view host, std::string_view target) {
  std::string place = fmt::format("{}{}", host, target);
  if (place.size() > kMostPlaceBytes) place.resize(kMostPlaceBytes);
  // What is stored as text must not hold a zero byte.
  std::erase(place, '\0');
  return place;
}

std::string_view SuspectStandingName(SuspectStanding standing) {
  switch (standing) {
    case SuspectStanding::kWatched:
      return "watched";
    case SuspectStanding::kHeld:
      return "held";
    case SuspectStanding::kBarred:
      break;
  }
  return "barred";
}

SuspectStanding StandingOf(size_t crashes, uint32_t trials) {
  if (crashes >= kCrashesToBar || trials >= kMostTrials) return SuspectStanding::kBarred;
  return crashes >= kCrashesToHold ? SuspectStanding::kHeld : SuspectStanding::kWatched;
}

}  // namespace millstair
