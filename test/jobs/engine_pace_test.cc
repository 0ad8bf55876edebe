#include "jobs/engine_pace.h"

#include <catch2/catch.hpp>
#include <string>

namespace millstair {
namespace {

using std::chrono::milliseconds;

InstanceId Engine(int number) { return InstanceId("e" + std::to_string(number)); }

TEST_CASE("An engine far behind the others is slow, and no longer once it keeps up again") {
  EnginePace pace;
  for (int round = 0; round < 40; ++round) {
    for (int engine = 0; engine < 5; ++engine) {
      pace.Note(Engine(engine), milliseconds(engine == 3 ? 120 : 30 + engine));
    }
  }
  pace.Judge();
  for (int engine = 0; engine < 5; ++engine) CHECK(pace.IsSlow(Engine(engine)) == (engine == 3));
  CHECK_FALSE(pace.IsSlow(Engine(9)));
  for (int round = 0; round < 40; ++round) pace.Note(Engine(3), milliseconds(30));
  pace.Judge();
  CHECK_FALSE(pace.IsSlow(Engine(3)));
}

TEST_CASE("Of two engines none is called slow") {
  EnginePace pace;
  for (int round = 0; round < 40; ++round) {
    pace.Note(Engine(0), milliseconds(30));
    pace.Note(Engine(1), milliseconds(300));
  }
  pace.Judge();
  CHECK_FALSE(pace.IsSlow(Engine(1)));
}

}  // namespace
}  // namespace millstair
