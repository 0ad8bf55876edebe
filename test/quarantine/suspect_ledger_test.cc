#include "quarantine/suspect_ledger.h"

#include <catch2/catch.hpp>

#include "fmt/format.h"

namespace millstair {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

const RequestFingerprint kRequest("r");

/// Runs each command at a new revision.
class Fixture {
 public:
  SuspectLedger Ledger() {
    return {suspects, touched, revision = Revision(revision.value() + 1), now};
  }
  void Crash(const std::string& instance, const RequestFingerprint& request = kRequest) {
    Ledger().Report({request, "a.example/p", {InstanceId(instance)}});
  }
  SuspectStanding Standing() const { return suspects.at(kRequest).standing(); }

  SuspectRequests suspects;
  std::set<RequestFingerprint> touched;
  Revision revision;
  WallTime now{hours(1000)};
};

/// Bars the request by two crashes, then two more in trials.
void Bar(Fixture& fixture) {
  fixture.Crash("i1");
  fixture.Crash("i2");
  for (const char* instance : {"i3", "i4"}) {
    CHECK(fixture.Ledger().BeginTrial(kRequest, fixture.suspects.at(kRequest).changed_at));
    fixture.Crash(instance);
  }
}

TEST_CASE("The second crash holds a request, and the second crash in a trial bars it") {
  Fixture fixture;
  fixture.Crash("i1");
  CHECK(fixture.Standing() == SuspectStanding::kWatched);
  // Two gateways that report the same incarnation count once.
  fixture.Crash("i1");
  CHECK(fixture.Standing() == SuspectStanding::kWatched);
  fixture.Crash("i2");
  CHECK(fixture.Standing() == SuspectStanding::kHeld);
  // Crashes before the first trial don't bar: concurrent requests may have the same content.
  fixture.Crash("i3");
  CHECK(fixture.Standing() == SuspectStanding::kHeld);
  CHECK(fixture.Ledger().BeginTrial(kRequest, fixture.suspects.at(kRequest).changed_at));
  fixture.Crash("i4");
  CHECK(fixture.Standing() == SuspectStanding::kHeld);
  CHECK(fixture.Ledger().BeginTrial(kRequest, fixture.suspects.at(kRequest).changed_at));
  fixture.Crash("i5");
  CHECK(fixture.Standing() == SuspectStanding::kBarred);
  CHECK(fixture.suspects.at(kRequest).place == "a.example/p");
}

TEST_CASE("A report of a known crash changes nothing") {
  Fixture fixture;
  fixture.Crash("i1");
  const SuspectRequest before = fixture.suspects.at(kRequest);
  fixture.touched.clear();
  fixture.Crash("i1");
  CHECK(fixture.suspects.at(kRequest) == before);
  CHECK(fixture.touched.empty());
}

TEST_CASE("A trial is granted to one node at a time, for held requests only") {
  Fixture fixture;
  fixture.Crash("i1");
  CHECK_FALSE(fixture.Ledger().BeginTrial(kRequest, fixture.suspects.at(kRequest).changed_at));
  fixture.Crash("i2");
  const Revision seen = fixture.suspects.at(kRequest).changed_at;
  CHECK(fixture.Ledger().BeginTrial(kRequest, seen));
  CHECK_FALSE(fixture.Ledger().BeginTrial(kRequest, seen));
  CHECK_FALSE(fixture.Ledger().BeginTrial(RequestFingerprint("other"), Revision()));
}

TEST_CASE("Trials without an outcome bar a request in the end") {
  Fixture fixture;
  fixture.Crash("i1");
  fixture.Crash("i2");
  for (uint32_t i = 0; i < kMaxTrials; ++i) {
    CHECK(fixture.Ledger().BeginTrial(kRequest, fixture.suspects.at(kRequest).changed_at));
  }
  CHECK(fixture.Standing() == SuspectStanding::kBarred);
}

TEST_CASE("A response clears a request, unless it crashed again since") {
  Fixture fixture;
  fixture.Crash("i1");
  fixture.Crash("i2");
  fixture.Ledger().Clear(kRequest, 1);
  CHECK(fixture.Standing() == SuspectStanding::kHeld);
  fixture.touched.clear();
  fixture.Ledger().Clear(kRequest, 2);
  CHECK(fixture.suspects.empty());
  CHECK(fixture.touched.contains(kRequest));
}

TEST_CASE("Records of more severe requests expire later") {
  Fixture fixture;
  fixture.Crash("i1");
  fixture.now += minutes(1);
  fixture.Ledger().Expire();
  CHECK(fixture.suspects.size() == 1);
  fixture.now += seconds(1);
  fixture.Ledger().Expire();
  CHECK(fixture.suspects.empty());
  Bar(fixture);
  fixture.now += hours(24);
  fixture.Ledger().Expire();
  CHECK(fixture.suspects.size() == 1);
  fixture.now += seconds(1);
  fixture.Ledger().Expire();
  CHECK(fixture.suspects.empty());
}

TEST_CASE("Many requests with one crash each don't push out a barred one") {
  Fixture fixture;
  Bar(fixture);
  for (size_t i = 0; i < 2 * kMaxSuspects; ++i) {
    fixture.Crash("i4", RequestFingerprint(fmt::format("flood{}", i)));
  }
  CHECK(fixture.suspects.size() == kMaxSuspects);
  CHECK(fixture.Standing() == SuspectStanding::kBarred);
}

TEST_CASE("A record limits its incarnations and the length and content of its place") {
  Fixture fixture;
  for (int i = 0; i < 100; ++i) fixture.Crash(fmt::format("i{}", i));
  CHECK(fixture.suspects.at(kRequest).crashed.size() == kMaxRecordedCrashes);
  CHECK(PlaceOf("a", std::string(1000, 'x')).size() == kMaxPlaceBytes);
  CHECK(PlaceOf("a", std::string("/\0b", 3)) == "a/b");
}

}  // namespace
}  // namespace millstair
