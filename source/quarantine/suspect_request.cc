#include "quarantine/suspect_request.h"

#include "fmt/format.h"

namespace millstair {

std::string PlaceOf(std::string_view host, std::string_view target) {
  std::string place = fmt::format("{}{}", host, target);
  if (place.size() > kMaxPlaceBytes) place.resize(kMaxPlaceBytes);
  // Text fields of stored records can't hold a zero byte.
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

SuspectStanding StandingOf(const CrashCount& count) {
  if (count.in_trials >= kTrialCrashesToBar || count.trials >= kMaxTrials) {
    return SuspectStanding::kBarred;
  }
  return count.crashes >= kCrashesToHold ? SuspectStanding::kHeld : SuspectStanding::kWatched;
}

CrashCount SuspectRequest::CountWith(size_t crashes) const {
  CrashCount count{crashes, trials, 0};
  if (trials > 0 && crashes > crashes_before_trials) {
    count.in_trials = crashes - crashes_before_trials;
  }
  return count;
}

}  // namespace millstair
