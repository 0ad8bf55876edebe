#include "http/held_bytes.h"

#include <catch2/catch.hpp>
#include <vector>

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A count with a bound of 1000 bytes and a manual clock.
struct Fixture {
  explicit Fixture(size_t bound = 1000) {
    HeldBytesOptions options;
    options.bound = bound;
    options.slow_reader = seconds(5);
    options.now = [this] { return now; };
    held = std::make_shared<HeldBytes>(options, &stats);
  }

  std::unique_ptr<HeldBytes::Reader> NewReader(const std::string& name, size_t bytes) {
    auto reader =
        std::make_unique<HeldBytes::Reader>(held, name, [this, name] { cuts.push_back(name); });
    if (bytes > 0) reader->Add(bytes);
    return reader;
  }

  double Stat(const std::string& name) const {
    for (const StatSample& sample : stats.Read()) {
      if (sample.name.name == name) return sample.value;
    }
    return -1;
  }

  StatsRegistry stats;
  TimePoint now{seconds(100)};
  std::vector<std::string> cuts;
  std::shared_ptr<HeldBytes> held;
};

// Guards against bytes that stay counted, which would stop all reading in the end.
TEST_CASE("Counts return their bytes however they end") {
  Fixture fixture;
  {
    HeldBytes::Hold hold(fixture.held, 300);
    CHECK(fixture.held->total() == 300);
    hold.Set(100);
    CHECK(fixture.held->total() == 100);
    const auto reader = fixture.NewReader("r", 500);
    reader->Release(200);
    CHECK(fixture.held->total() == 400);
    CHECK(fixture.Stat("millstair_http_held_bytes") == 400);
  }
  CHECK(fixture.held->total() == 0);
  CHECK(fixture.Stat("millstair_http_held_bytes") == 0);
}

TEST_CASE("Pressure starts at three quarters of the bound, and never without a bound") {
  Fixture fixture;
  HeldBytes::Hold hold(fixture.held, 749);
  CHECK_FALSE(fixture.held->UnderPressure());
  hold.Set(750);
  CHECK(fixture.held->UnderPressure());
  CHECK_FALSE(fixture.held->AtBound());
  hold.Set(1000);
  CHECK(fixture.held->AtBound());
  const auto unbounded = std::make_shared<HeldBytes>(HeldBytesOptions());
  const HeldBytes::Hold large(unbounded, size_t{1} << 40);
  CHECK_FALSE(unbounded->UnderPressure());
  CHECK_FALSE(unbounded->AtBound());
}

// Guards against cutting a caller that reads, and against cutting one several times.
TEST_CASE("The reader that has read nothing for the longest time is cut, once it is slow") {
  Fixture fixture;
  const auto first = fixture.NewReader("first", 100);
  fixture.now += seconds(1);
  const auto second = fixture.NewReader("second", 200);
  const auto idle = fixture.NewReader("idle", 0);
  fixture.now += milliseconds(3999);
  CHECK(fixture.held->CutSlowestReader() == 0);
  fixture.now += milliseconds(1);
  CHECK(fixture.held->CutSlowestReader() == 100);
  CHECK(fixture.held->BytesBeingCut() == 100);
  CHECK(fixture.held->CutSlowestReader() == 0);
  fixture.now += seconds(1);
  CHECK(fixture.held->CutSlowestReader() == 200);
  fixture.now += seconds(60);
  CHECK(fixture.held->CutSlowestReader() == 0);
  CHECK(fixture.cuts == std::vector<std::string>{"first", "second"});
  const auto cut = first->TakeCut();
  REQUIRE(cut.has_value());
  CHECK(cut->bytes == 100);
  CHECK(cut->stalled == seconds(66));
  CHECK(cut->request == "first");
  CHECK(fixture.Stat("millstair_slow_readers_cut_total") == 1);
}

TEST_CASE("A reader that reads before its cut is not cut") {
  Fixture fixture;
  const auto reader = fixture.NewReader("r", 100);
  fixture.now += seconds(6);
  CHECK(fixture.held->CutSlowestReader() == 100);
  reader->NoteProgress();
  CHECK_FALSE(reader->TakeCut().has_value());
  CHECK(fixture.held->BytesBeingCut() == 0);
  CHECK(fixture.Stat("millstair_slow_readers_cut_total") == 0);
}

// Guards against counting the time in which there was nothing to read.
TEST_CASE("A stall begins with the first byte held") {
  Fixture fixture;
  const auto reader = fixture.NewReader("r", 0);
  fixture.now += seconds(60);
  reader->Add(10);
  CHECK(fixture.held->CutSlowestReader() == 0);
  fixture.now += seconds(5);
  CHECK(fixture.held->CutSlowestReader() == 10);
}

// Guards against cutting readers whose progress was not recorded while the process stood still.
TEST_CASE("Stalls restart when the process was suspended") {
  Fixture fixture;
  const auto reader = fixture.NewReader("r", 10);
  fixture.now += seconds(60);
  fixture.held->RestartStallTimes();
  fixture.now += milliseconds(4900);
  CHECK(fixture.held->CutSlowestReader() == 0);
  fixture.now += milliseconds(100);
  CHECK(fixture.held->CutSlowestReader() == 10);
}

// Guards against answers of this process itself that are held for callers that don't read.
TEST_CASE("A response has room while it fits, and otherwise slow readers are cut for it") {
  constexpr size_t kKiB = 1024;
  Fixture fixture(1024 * kKiB);
  CHECK(fixture.held->HasRoomFor(2048 * kKiB));
  const auto reader = fixture.NewReader("reader", 700 * kKiB);
  CHECK(fixture.held->HasRoomFor(68 * kKiB));
  CHECK_FALSE(fixture.held->HasRoomFor(69 * kKiB));
  CHECK(fixture.cuts.empty());
  // The last quarter is for small ones.
  const auto other = fixture.NewReader("other", 300 * kKiB);
  CHECK(fixture.held->HasRoomFor(24 * kKiB));
  CHECK_FALSE(fixture.held->HasRoomFor(25 * kKiB));
  CHECK(fixture.held->HasRoomFor(kKiB));
  fixture.now += seconds(6);
  other->NoteProgress();
  CHECK_FALSE(fixture.held->HasRoomFor(100 * kKiB));
  CHECK(fixture.cuts == std::vector<std::string>{"reader"});
}

}  // namespace
}  // namespace millstair
