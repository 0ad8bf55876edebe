#include "jobs/engine_reachability.h"

#include <catch2/catch.hpp>

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(Duration since_start) { return TimePoint(since_start); }

TEST_CASE("An engine without a response for seconds is lost until it responds") {
  EngineReachability reachability;
  CHECK(reachability.Responds());
  for (int i = 0; i < 20; ++i) {
    const Duration sent = seconds(10) + i * milliseconds(100);
    reachability.RecordNoReport(At(sent), At(sent + milliseconds(1)));
    CHECK_FALSE(reachability.IsLost(At(sent + milliseconds(1))));
  }
  CHECK_FALSE(reachability.Responds());
  CHECK(reachability.IsLost(At(seconds(12))));
  reachability.RecordResponse();
  CHECK(reachability.Responds());
  CHECK_FALSE(reachability.IsLost(At(seconds(20))));
}

TEST_CASE("One request without a response, however long, does not make an engine lost") {
  EngineReachability reachability;
  reachability.RecordNoReport(At(seconds(1)), At(seconds(30)));
  CHECK_FALSE(reachability.IsLost(At(seconds(30))));
  reachability.RecordNoReport(At(seconds(30)), At(milliseconds(31500)));
  CHECK(reachability.IsLost(At(milliseconds(31500))));
}

TEST_CASE("The longer an engine does not respond, the less often it is asked for a report") {
  EngineReachability reachability;
  const auto pause_after = [&reachability](Duration silence) {
    reachability.RecordNoReport(At(seconds(1)), At(seconds(1) + silence));
    return reachability.next_check_at() - At(seconds(1) + silence);
  };
  CHECK(pause_after(milliseconds(2)) == milliseconds(50));
  CHECK(pause_after(seconds(4)) == milliseconds(500));
  CHECK(pause_after(seconds(60)) == seconds(2));
}

TEST_CASE("An engine that fails items but reports is asked again after a second") {
  EngineReachability reachability;
  reachability.RecordReport(At(seconds(4)));
  CHECK(reachability.next_check_at() == At(seconds(5)));
  // Events of texts must not delay the check of an engine that fails later.
  reachability.RecordResponse();
  CHECK(reachability.next_check_at() == At(seconds(5)));
}

}  // namespace
}  // namespace millstair
