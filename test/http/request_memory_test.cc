#include "http/request_memory.h"

#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <vector>

namespace millstair {
namespace {

constexpr size_t kMiB = 1024 * 1024;
constexpr size_t kBound = 8 * kMiB;

struct Body {
  Body(const std::shared_ptr<RequestMemory>& memory, size_t bytes) : claim(memory) {
    claim.Request(bytes, [this] { ++grants; });
  }
  RequestMemory::Claim claim;
  int grants = 0;
};

TEST_CASE("A body waits until the memory of others is returned, in the order of arrival") {
  const auto memory = std::make_shared<RequestMemory>(RequestMemoryOptions{.bound = kBound});
  std::optional<Body> first(std::in_place, memory, 4 * kMiB);
  Body second(memory, 3 * kMiB);
  Body third(memory, kMiB);
  CHECK(first->claim.granted());
  CHECK_FALSE(second.claim.granted());
  // It would fit, but would keep the larger one waiting.
  CHECK_FALSE(third.claim.granted());
  CHECK(memory->has_waiting());
  first.reset();
  CHECK(second.grants == 1);
  CHECK(third.grants == 1);
  CHECK(memory->total() == 4 * kMiB);
  CHECK_FALSE(memory->has_waiting());
}

TEST_CASE("Small bodies use the last quarter of the bound while large ones wait") {
  const auto memory = std::make_shared<RequestMemory>(RequestMemoryOptions{.bound = kBound});
  const Body held(memory, 6 * kMiB);
  const Body waits(memory, kMiB);
  const Body small(memory, 1024);
  CHECK_FALSE(waits.claim.granted());
  CHECK(small.claim.granted());
}

// Guards against callers whose requests have no body and wait for those of others.
TEST_CASE("The smallest requests use the last eighth of the bound") {
  const auto memory = std::make_shared<RequestMemory>(RequestMemoryOptions{.bound = kBound});
  std::vector<std::unique_ptr<Body>> small;
  while (small.empty() || small.back()->claim.granted()) {
    small.push_back(std::make_unique<Body>(memory, 60 * 1024));
  }
  CHECK(memory->total() <= kBound / 8 * 7);
  RequestMemory::Claim head(memory);
  CHECK(head.Resize(8 * 1024));
  CHECK_FALSE(RequestMemory::Claim(memory).Resize(40 * 1024));
}

// Guards against heads that are never whole and take the memory of requests.
TEST_CASE("Input takes an eighth of the bound and nothing of the rest") {
  const auto memory = std::make_shared<RequestMemory>(RequestMemoryOptions{.bound = kBound});
  RequestMemory::Claim input(memory, ClaimKind::kInput);
  CHECK(input.Resize(kBound / 8));
  CHECK_FALSE(RequestMemory::Claim(memory, ClaimKind::kInput).Resize(1));
  CHECK(memory->total() == 0);
  CHECK(input.Resize(0));
  CHECK(RequestMemory::Claim(memory, ClaimKind::kInput).Resize(1));
}

// Guards against a body that is larger than the bound and would wait for ever.
TEST_CASE("One large body at a time may exceed the bound") {
  const auto memory = std::make_shared<RequestMemory>(RequestMemoryOptions{.bound = kBound});
  const Body small(memory, 1024);
  std::optional<Body> larger(std::in_place, memory, 2 * kBound);
  const Body next(memory, 2 * kBound);
  CHECK(larger->claim.granted());
  CHECK_FALSE(next.claim.granted());
  larger.reset();
  CHECK(next.claim.granted());
}

TEST_CASE("A claim that ends while it waits lets the next one go on") {
  const auto memory = std::make_shared<RequestMemory>(RequestMemoryOptions{.bound = kBound});
  const Body held(memory, 4 * kMiB);
  std::optional<Body> waits(std::in_place, memory, 4 * kMiB);
  const Body next(memory, kMiB);
  CHECK_FALSE(next.claim.granted());
  waits.reset();
  CHECK(next.claim.granted());
  CHECK(memory->total() == 5 * kMiB);
}

TEST_CASE("A body of unknown length grows while it fits, and never waits") {
  const auto memory = std::make_shared<RequestMemory>(RequestMemoryOptions{.bound = kBound});
  const Body held(memory, 4 * kMiB);
  Body grows(memory, 1024);
  CHECK(grows.claim.Resize(kMiB + 1024));
  CHECK_FALSE(grows.claim.Resize(2 * kMiB + 1024));
  CHECK(memory->total() == 5 * kMiB + 1024);
}

/// A clock that the test sets, and bodies that are being received.
struct Receiving {
  TimePoint now{};
  std::shared_ptr<RequestMemory> memory = std::make_shared<RequestMemory>(
      RequestMemoryOptions{.bound = kBound, .now = [this] { return now; }});

  std::unique_ptr<Body> Begin(size_t bytes, int& cuts) {
    auto body = std::make_unique<Body>(memory, bytes);
    body->claim.BeginReceiving([&cuts] { ++cuts; });
    return body;
  }
};

// Guards against senders that keep the memory of a body that they don't send.
TEST_CASE("A sender without progress is cut once another body needs its memory") {
  Receiving receiving;
  int cuts = 0;
  auto slowest = receiving.Begin(3 * kMiB, cuts);
  receiving.now += std::chrono::seconds(1);
  auto slow = receiving.Begin(3 * kMiB, cuts);
  receiving.now += std::chrono::seconds(4);
  CHECK(cuts == 0);
  Body waits(receiving.memory, kMiB);
  // Only the first has made no progress for long enough.
  CHECK(cuts == 1);
  CHECK(slowest->claim.is_cut());
  CHECK_FALSE(slow->claim.is_cut());
  waits.claim.AskForRoom();
  CHECK(cuts == 1);
  slowest.reset();
  CHECK(waits.claim.granted());
}

TEST_CASE("As few senders are cut as a body needs, also for one that grows") {
  Receiving receiving;
  int cuts = 0;
  auto first = receiving.Begin(2 * kMiB, cuts);
  auto second = receiving.Begin(2 * kMiB, cuts);
  Body grows(receiving.memory, 2 * kMiB);
  receiving.now += std::chrono::seconds(6);
  CHECK_FALSE(grows.claim.Resize(3 * kMiB));
  CHECK(first->claim.is_cut());
  CHECK_FALSE(second->claim.is_cut());
}

// Guards against a byte from time to time that keeps the memory of a body.
TEST_CASE("A few bytes are no progress of a sender, and many withdraw its cut") {
  Receiving receiving;
  int cuts = 0;
  auto drips = receiving.Begin(6 * kMiB, cuts);
  for (int second = 0; second < 6; ++second) {
    receiving.now += std::chrono::seconds(1);
    drips->claim.NoteReceived(1);
  }
  Body waits(receiving.memory, kMiB);
  CHECK(drips->claim.is_cut());
  drips->claim.NoteReceived(64 * 1024);
  CHECK_FALSE(drips->claim.is_cut());
  receiving.now += std::chrono::seconds(6);
  drips->claim.EndReceiving();
  waits.claim.AskForRoom();
  CHECK(cuts == 1);
}

TEST_CASE("Without a bound nothing waits") {
  const auto memory = std::make_shared<RequestMemory>(RequestMemoryOptions{});
  const Body first(memory, 1024 * kMiB);
  const Body second(memory, 1024 * kMiB);
  CHECK(second.claim.granted());
}

// Guards against memory that is lost, and against bodies that are never read.
TEST_CASE("Memory stays bounded and all bodies are granted in a random mix") {
  std::mt19937_64 random(20261204);
  const auto memory = std::make_shared<RequestMemory>(RequestMemoryOptions{.bound = kBound});
  std::vector<std::unique_ptr<Body>> bodies;
  for (int step = 0; step < 20000; ++step) {
    if (bodies.size() < 20 && random() % 2 == 0) {
      const size_t bytes = random() % 3 == 0 ? random() % (4 * kMiB) : random() % (64 * 1024);
      bodies.push_back(std::make_unique<Body>(memory, bytes));
    } else if (!bodies.empty()) {
      // The oldest ends; it has been granted by then unless it waits behind others.
      const size_t ended = random() % bodies.size();
      bodies.erase(bodies.begin() + static_cast<std::ptrdiff_t>(ended));
    }
    REQUIRE(memory->total() <= kBound);
    if (!bodies.empty()) REQUIRE(bodies.front()->claim.granted());
  }
  bodies.clear();
  CHECK(memory->total() == 0);
  CHECK_FALSE(memory->has_waiting());
}

}  // namespace
}  // namespace millstair
