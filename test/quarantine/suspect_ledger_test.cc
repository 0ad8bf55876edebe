#include "quarantine/suspect_ledger.h"

#include <catch2/catch.hpp>

#include "fmt/format.h"

namespace millstair {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

const RequestFingerprint kRequest("r");

/// A record whose time and revision grow with each change.
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

/// Ends lives under the request, two of them in trials.
void Bar(Fixture& fixture) {
  fixture.Crash("i1");
  fixture.Crash("i2");
  for (const char* instance : {"i3", "i4"}) {
    CHECK(fixture.Ledger().BeginTrial(kRequest, fixture.suspects.at(kRequest).changed_at));
    fixture.Crash(instance);
  }
}

TEST_CASE("The second life that ends holds a request, and the second one in a trial bars it") {
  Fixture fixture;
  fixture.Crash("i1");
  CHECK(fixture.Standing() == SuspectStanding::kWatched);
  // What two gateways report of one life counts once.
  fixture.Crash("i1");
  CHECK(fixture.Standing() == SuspectStanding::kWatched);
  fixture.Crash("i2");
  CHECK(fixture.Standing() == SuspectStanding::kHeld);
  // Many of one content may have run at once.
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

TEST_CASE("A report of what is known changes nothing") {
  Fixture fixture;
  fixture.Crash("i1");
  const SuspectRequest before = fixture.suspects.at(kRequest);
  fixture.touched.clear();
  fixture.Crash("i1");
  CHECK(fixture.suspects.at(kRequest) == before);
  CHECK(fixture.touched.empty());
}

TEST_CASE("One node at a time gets a trial, of a held request only") {
  Fixture fixture;
  fixture.Crash("i1");
  CHECK_FALSE(fixture.Ledger().BeginTrial(kRequest, fixture.suspects.at(kRequest).changed_at));
  fixture.Crash("i2");
  const Revision seen = fixture.suspects.at(kRequest).changed_at;
  CHECK(fixture.Ledger().BeginTrial(kRequest, seen));
  CHECK_FALSE(fixture.Ledger().BeginTrial(kRequest, seen));
  CHECK_FALSE(fixture.Ledger().BeginTrial(RequestFingerprint("other"), Revision()));
}

TEST_CASE("Trials of which nothing is heard bar a request in the end") {
  Fixture fixture;
  fixture.Crash("i1");
  fixture.Crash("i2");
  for (uint32_t i = 0; i < kMaxTrials; ++i) {
    CHECK(fixture.Ledger().BeginTrial(kRequest, fixture.suspects.at(kRequest).changed_at));
  }
  CHECK(fixture.Standing() == SuspectStanding::kBarred);
}

TEST_CASE("An answer clears a request, unless another life ended since") {
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

TEST_CASE("A request is forgotten the later the more it did") {
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

TEST_CASE("A flood of requests with one crash each pushes no barred one out") {
  Fixture fixture;
  Bar(fixture);
  for (size_t i = 0; i < 2 * kMaxSuspects; ++i) {
    fixture.Crash("i4", RequestFingerprint(fmt::format("flood{}", i)));
  }
  CHECK(fixture.suspects.size() == kMaxSuspects);
  CHECK(fixture.Standing() == SuspectStanding::kBarred);
}

TEST_CASE("A record keeps no more lives than it needs, and no long or unprintable place") {
  Fixture fixture;
  for (int i = 0; i < 100; ++i) fixture.Crash(fmt::format("i{}", i));
  CHECK(fixture.suspects.at(kRequest).crashed.size() == kMaxRecordedCrashes);
  CHECK(PlaceOf("a", std::string(1000, 'x')).size() == kMaxPlaceBytes);
  CHECK(PlaceOf("a", std::string("/\0b", 3)) == "a/b");
}

}  // namespace
}  // namespace millstair
