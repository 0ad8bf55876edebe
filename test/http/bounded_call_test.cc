#include "http/bounded_call.h"

#include <catch2/catch.hpp>
#include <optional>

#include "common/virtual_environment.h"
#include "http/scripted_caller.h"

namespace millstair {
namespace {

using std::chrono::seconds;
using testing::ScriptedCaller;

struct Fixture {
  VirtualScheduler scheduler{7};
  VirtualEnvironment environment{scheduler, 11};
  ScriptedCaller caller;
  std::optional<int> status;
  std::string body;
  BoundedCall call{environment, seconds(5), [this](int ended_with, const std::string& text) {
                     status = ended_with;
                     body = text;
                   }};

  Fixture() { call.Start(caller, "s:1", {"POST", "/", {}, ""}); }
};

TEST_CASE("A small answer is given whole") {
  Fixture fixture;
  fixture.caller.observer->OnHead({200, {}});
  fixture.caller.observer->OnBody("one ");
  fixture.caller.observer->OnBody("two");
  fixture.caller.observer->OnFinished();
  fixture.scheduler.RunFor(seconds(1));
  CHECK(fixture.status == 200);
  CHECK(fixture.body == "one two");
}

// Guards against a process that ends because an answer has no end.
TEST_CASE("An answer without an end is given up long before the time is over") {
  constexpr int kPieces = 64;
  Fixture fixture;
  fixture.caller.observer->OnHead({200, {}});
  for (int i = 0; i < kPieces && fixture.caller.dropped == 0; ++i) {
    fixture.caller.observer->OnBody(std::string(64 * 1024, 'x'));
  }
  fixture.scheduler.RunFor(seconds(1));
  CHECK(fixture.caller.dropped == 1);
  CHECK(fixture.status == 0);
  CHECK(fixture.body.empty());
}

}  // namespace
}  // namespace millstair
