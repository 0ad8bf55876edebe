#include "http/response_memory.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <vector>

#include "common/virtual_environment.h"

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMiB = 1024 * 1024;
constexpr size_t kMaxBytes = 32 * kMiB;

class PausableCall : public CallHandle {
 public:
  void PauseReading() override { paused = true; }
  void ResumeReading() override { paused = false; }
  bool paused = false;
};

HttpResponseHead Sized(size_t length) {
  return {200, {{"Content-Length", std::to_string(length)}}};
}
HttpResponseHead Unsized() { return {200, {}}; }

/// A response in progress.
struct Response {
  Response(ResponseMemory& memory, Environment& environment, const HttpResponseHead& head)
      : buffer(&memory, environment, environment.Now()) {
    buffer.Begin(head, &call, kMaxBytes);
  }
  PausableCall call;
  ResponseBuffer buffer;
};

/// A bound of 8 MiB: large responses are read up to 6 MiB.
struct Fixture {
  Fixture() {
    HeldBytesOptions options;
    options.bound = 8 * kMiB;
    options.slow_reader = seconds(5);
    options.now = [this] { return environment.Now(); };
    held = std::make_shared<HeldBytes>(options);
    memory.emplace(environment, held);
  }

  std::unique_ptr<Response> Begin(const HttpResponseHead& head) {
    return std::make_unique<Response>(*memory, environment, head);
  }
  std::unique_ptr<HeldBytes::Reader> NewReader(size_t bytes) {
    auto reader = std::make_unique<HeldBytes::Reader>(held, "r", [this] { ++cuts; });
    reader->Add(bytes);
    return reader;
  }

  VirtualScheduler scheduler{3};
  VirtualEnvironment environment{scheduler, 4};
  std::shared_ptr<HeldBytes> held;
  std::optional<ResponseMemory> memory;
  int cuts = 0;
};

// Guards against the unbounded growth of responses that are buffered whole.
TEST_CASE("A response waits while its length does not fit, and goes on once it does") {
  Fixture fixture;
  auto first = fixture.Begin(Sized(4 * kMiB));
  CHECK_FALSE(first->call.paused);
  CHECK(fixture.held->total() == 4 * kMiB);
  const auto second = fixture.Begin(Sized(3 * kMiB));
  CHECK(second->call.paused);
  fixture.scheduler.RunFor(seconds(2));
  CHECK(second->call.paused);
  CHECK(fixture.held->total() == 4 * kMiB);
  first.reset();
  fixture.scheduler.RunFor(milliseconds(50));
  CHECK_FALSE(second->call.paused);
  CHECK(fixture.held->total() == 3 * kMiB);
  CHECK(second->buffer.PausedTime() > seconds(2));
  CHECK(second->buffer.PausedTime() < milliseconds(2100));
}

// Guards against small requests that wait behind callers that do not read.
TEST_CASE("Small responses use the last quarter of the bound") {
  Fixture fixture;
  const auto reader = fixture.NewReader(6 * kMiB);
  const auto large = fixture.Begin(Sized(kMiB));
  const auto small = fixture.Begin(Sized(64 * 1024));
  const auto unsized = fixture.Begin(Unsized());
  unsized->buffer.Append(std::string(1000, 'x'));
  const auto empty = fixture.Begin(Sized(0));
  CHECK(large->call.paused);
  CHECK_FALSE(small->call.paused);
  CHECK_FALSE(unsized->call.paused);
  CHECK_FALSE(empty->call.paused);
  const auto rest = fixture.NewReader(2 * kMiB);
  const auto late = fixture.Begin(Sized(10));
  const auto late_empty = fixture.Begin(Sized(0));
  CHECK(late->call.paused);
  CHECK_FALSE(late_empty->call.paused);
}

// Guards against callers that do not read being served before all that came later.
TEST_CASE("Of the responses that were not begun, the newest goes on first") {
  Fixture fixture;
  auto reader = fixture.NewReader(5 * kMiB);
  const auto older = fixture.Begin(Sized(4 * kMiB));
  const auto newer = fixture.Begin(Sized(4 * kMiB));
  reader.reset();
  fixture.scheduler.RunFor(milliseconds(50));
  CHECK(older->call.paused);
  CHECK_FALSE(newer->call.paused);
}

// Guards against hedges of callers that do not read coming before a newer request.
TEST_CASE("A later attempt at a request is as old as the request") {
  Fixture fixture;
  auto reader = fixture.NewReader(5 * kMiB);
  const TimePoint first_request = fixture.environment.Now();
  fixture.scheduler.RunFor(milliseconds(10));
  const auto newer = fixture.Begin(Sized(4 * kMiB));
  PausableCall call;
  ResponseBuffer hedge(&*fixture.memory, fixture.environment, first_request);
  hedge.Begin(Sized(4 * kMiB), &call, kMaxBytes);
  reader.reset();
  fixture.scheduler.RunFor(milliseconds(50));
  CHECK_FALSE(newer->call.paused);
  CHECK(call.paused);
}

// Guards against small requests that fail because of one caller that does not read.
TEST_CASE("A single response above the bound does not keep small ones waiting") {
  Fixture fixture;
  const auto giant = fixture.NewReader(20 * kMiB);
  const auto small = fixture.Begin(Sized(1000));
  const auto large = fixture.Begin(Sized(kMiB));
  CHECK_FALSE(small->call.paused);
  CHECK(large->call.paused);
  const auto others = fixture.NewReader(2 * kMiB);
  const auto late = fixture.Begin(Sized(1000));
  CHECK_FALSE(late->call.paused);
  const auto rest = fixture.NewReader(2 * kMiB);
  const auto more = fixture.NewReader(2 * kMiB);
  const auto last = fixture.Begin(Sized(1000));
  CHECK(last->call.paused);
}

// Guards against a deadlock of responses that are all partly read.
TEST_CASE("Responses of unknown length fill the memory and still become complete") {
  Fixture fixture;
  constexpr int kResponses = 20;
  constexpr size_t kPieces = 64;
  const std::string piece(16 * 1024, 'x');
  std::vector<std::unique_ptr<Response>> open;
  std::vector<size_t> sent(kResponses);
  for (int i = 0; i < kResponses; ++i) open.push_back(fixture.Begin(Unsized()));
  int complete = 0;
  size_t peak = 0;
  for (int round = 0; round < 5000 && complete < kResponses; ++round) {
    for (int i = 0; i < kResponses; ++i) {
      if (open[i] == nullptr || open[i]->call.paused) continue;
      open[i]->buffer.Append(piece);
      if (++sent[i] < kPieces) continue;
      CHECK(open[i]->buffer.Take().size() == kPieces * piece.size());
      open[i].reset();
      ++complete;
    }
    peak = std::max(peak, fixture.held->total());
    fixture.scheduler.RunFor(milliseconds(5));
  }
  CHECK(complete == kResponses);
  CHECK(peak <= 8 * kMiB);
  CHECK(fixture.held->total() == 0);
}

TEST_CASE("A response above the bound is read once most of the memory is free") {
  Fixture fixture;
  auto reader = fixture.NewReader(3 * kMiB);
  auto first = fixture.Begin(Sized(20 * kMiB));
  CHECK(first->call.paused);
  reader.reset();
  fixture.scheduler.RunFor(milliseconds(50));
  CHECK_FALSE(first->call.paused);
  // Only one at a time.
  const auto second = fixture.Begin(Sized(20 * kMiB));
  CHECK(second->call.paused);
  fixture.scheduler.RunFor(seconds(1));
  CHECK(second->call.paused);
  first.reset();
  fixture.scheduler.RunFor(milliseconds(50));
  CHECK_FALSE(second->call.paused);
}

// Guards against cutting callers while there is memory for all responses.
TEST_CASE("A slow reader is cut only while a response waits for memory") {
  Fixture fixture;
  const auto slow = fixture.NewReader(3 * kMiB);
  auto other = fixture.NewReader(2 * kMiB);
  fixture.scheduler.RunFor(seconds(60));
  CHECK(fixture.cuts == 0);
  const auto waiting = fixture.Begin(Sized(2 * kMiB));
  fixture.scheduler.RunFor(milliseconds(50));
  // The cut of the slowest frees enough.
  CHECK(fixture.cuts == 1);
  CHECK(slow->TakeCut().has_value());
  CHECK_FALSE(other->TakeCut().has_value());
  fixture.scheduler.RunFor(seconds(1));
  CHECK(fixture.cuts == 1);
}

TEST_CASE("A reader that reads from time to time is never cut") {
  Fixture fixture;
  const auto reader = fixture.NewReader(8 * kMiB);
  const auto waiting = fixture.Begin(Sized(2 * kMiB));
  for (int i = 0; i < 20; ++i) {
    fixture.scheduler.RunFor(milliseconds(4500));
    reader->NoteProgress();
  }
  CHECK(fixture.cuts == 0);
  fixture.scheduler.RunFor(milliseconds(5300));
  CHECK(fixture.cuts == 1);
}

TEST_CASE("Streams at the bound are cut although no response waits") {
  Fixture fixture;
  std::vector<std::unique_ptr<HeldBytes::Reader>> readers;
  for (int i = 0; i < 8; ++i) readers.push_back(fixture.NewReader(kMiB));
  fixture.scheduler.RunFor(milliseconds(4900));
  CHECK(fixture.cuts == 0);
  fixture.scheduler.RunFor(milliseconds(500));
  CHECK(fixture.cuts == 1);
}

TEST_CASE("Without a bound nothing is paused or cut") {
  VirtualScheduler scheduler(1);
  VirtualEnvironment environment(scheduler, 2);
  ResponseMemory memory(environment, std::make_shared<HeldBytes>(HeldBytesOptions()));
  Response response(memory, environment, Sized(kMaxBytes));
  CHECK_FALSE(response.call.paused);
  CHECK(scheduler.pending() == 0);
}

// Guards against sums of rules that let memory grow, or that leave responses waiting for ever.
TEST_CASE("Memory stays bounded and readers are served among callers that do not read") {
  const uint64_t seed = GENERATE(range(1, 21));
  INFO("seed " << seed);
  Fixture fixture;
  std::mt19937_64 random(seed);
  struct Exchange {
    std::unique_ptr<Response> response;
    std::unique_ptr<HeldBytes::Reader> reader;
    bool reads = false;
    size_t left = 0;
    size_t unread = 0;
    bool cut = false;
  };
  std::deque<Exchange> exchanges;
  size_t largest = 0;
  size_t readers_begun = 0;
  size_t readers_served = 0;
  size_t peak = 0;
  const auto step = [&](Exchange& one) {
    if (one.response != nullptr && !one.response->call.paused) {
      const size_t size = std::min<size_t>(one.left, 16 * 1024);
      one.response->buffer.Append(std::string(size, 'x'));
      one.left -= size;
      if (one.left > 0) return;
      one.unread = one.response->buffer.Take().size();
      one.response.reset();
      one.reader =
          std::make_unique<HeldBytes::Reader>(fixture.held, "r", [&one] { one.cut = true; });
      one.reader->Add(one.unread);
    } else if (one.reader != nullptr && one.reads) {
      const size_t size = std::min<size_t>(one.unread, 64 * 1024);
      one.reader->NoteProgress();
      one.reader->Release(size);
      one.unread -= size;
      if (one.unread > 0) return;
      one.reader.reset();
      CHECK_FALSE(one.cut);
      ++readers_served;
    } else if (one.cut) {
      CHECK_FALSE(one.reads);
      one.reader.reset();
    }
  };
  for (int round = 0; round < 60000 && (round < 3000 || readers_served < readers_begun); ++round) {
    if (round < 3000 && round % 25 == 0) {
      const size_t size = 1 + random() % (random() % 20 == 0 ? 12 * kMiB : 2 * kMiB);
      largest = std::max(largest, size);
      Exchange& one = exchanges.emplace_back();
      one.left = size;
      one.reads = random() % 2 == 0;
      readers_begun += one.reads ? 1 : 0;
      one.response = fixture.Begin(random() % 2 == 0 ? Sized(size) : Unsized());
    }
    for (Exchange& one : exchanges) step(one);
    peak = std::max(peak, fixture.held->total());
    fixture.scheduler.RunFor(milliseconds(10));
  }
  CHECK(readers_served == readers_begun);
  CHECK(peak <= 8 * kMiB + largest);
}

}  // namespace
}  // namespace millstair
