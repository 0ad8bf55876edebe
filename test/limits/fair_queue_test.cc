#include "limits/fair_queue.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace millstair {
namespace {

using std::chrono::milliseconds;

TimePoint At(int ms) { return TimePoint(milliseconds(ms)); }

/// Pops everything and returns the names.
class Named {
 public:
  explicit Named(size_t bound = 100) : queue(bound) {}
  bool Push(const std::string& name, int64_t priority, const std::string& tenant, int deadline_ms) {
    const auto id = queue.Push({priority, tenant, At(deadline_ms)});
    if (id) names[*id] = name;
    return id.has_value();
  }
  std::string Pop() {
    const auto id = queue.Pop();
    return id ? names.at(*id) : "";
  }
  std::vector<std::string> PopAll() {
    std::vector<std::string> all;
    for (std::string name = Pop(); !name.empty(); name = Pop()) all.push_back(name);
    return all;
  }

  FairQueue queue;
  std::map<FairQueue::EntryId, std::string> names;
};

using Names = std::vector<std::string>;

// Guards against a long backlog of one priority that delays a more urgent one.
TEST_CASE("A more urgent priority is served first, whatever its tenant has used") {
  Named f;
  for (int i = 0; i < 5; ++i) f.queue.RecordServed(0, "a");
  f.Push("later", 1, "b", 100);
  f.Push("urgent", 0, "a", 900);
  CHECK(f.PopAll() == Names{"urgent", "later"});
}

// Guards against first attempts that delay retries, whose callers have less time left.
TEST_CASE("Among equal tenants the earliest deadline is served first") {
  Named f;
  f.Push("first attempt", 1, "a", 800);
  f.Push("retry", 1, "b", 300);
  f.Push("other retry", 1, "a", 200);
  CHECK(f.PopAll() == Names{"other retry", "retry", "first attempt"});
}

// Guards against a large tenant that takes the share of the small ones.
TEST_CASE("Tenants share equally, and an absent tenant's share goes to the others") {
  Named f;
  for (int i = 0; i < 6; ++i) f.Push("large", 1, "large", 500);
  for (int i = 0; i < 2; ++i) f.Push("small", 1, "small", 900);
  CHECK(f.PopAll() ==
        Names{"large", "small", "large", "small", "large", "large", "large", "large"});
}

// Guards against a tenant that collects a claim while it has no requests and then shuts out others.
TEST_CASE("A tenant that was absent gets no more than its share afterwards") {
  Named f;
  for (int i = 0; i < 50; ++i) f.queue.RecordServed(1, "busy");
  for (int i = 0; i < 3; ++i) f.Push("busy", 1, "busy", 100);
  for (int i = 0; i < 3; ++i) f.Push("idle", 1, "idle", 900);
  CHECK(f.PopAll() == Names{"idle", "busy", "idle", "busy", "idle", "busy"});
}

TEST_CASE("The queue is bounded, and entries leave it by id or when they are overdue") {
  Named f(2);
  REQUIRE(f.Push("one", 1, "a", 100));
  REQUIRE(f.Push("two", 1, "a", 50));
  CHECK_FALSE(f.Push("three", 1, "a", 10));
  CHECK(f.queue.EarliestDeadline() == At(50));
  CHECK_FALSE(f.queue.PopOverdue(At(49)));
  CHECK(f.names.at(*f.queue.PopOverdue(At(50))) == "two");
  const auto one = f.queue.Next();
  REQUIRE(one);
  CHECK(f.queue.Erase(*one));
  CHECK_FALSE(f.queue.Erase(*one));
  CHECK(f.queue.empty());
  CHECK_FALSE(f.queue.Pop());
  CHECK_FALSE(f.queue.EarliestDeadline());
}

// Guards against a forecast that disagrees with the order of service.
TEST_CASE("The forecast of the order is the order of service") {
  Named f;
  f.Push("a1", 1, "a", 300);
  f.Push("a2", 1, "a", 200);
  f.Push("b1", 1, "b", 250);
  f.Push("c1", 0, "c", 900);
  CHECK(f.queue.Ahead({1, "b", At(100)}) == 1);
  CHECK(f.queue.Ahead({1, "d", At(250)}) == 3);
  CHECK(f.queue.Ahead({2, "d", At(10)}) == 4);
  for (const FairQueue::EntryId id : f.queue.Order()) CHECK(f.queue.Pop() == id);
  CHECK(f.queue.empty());
}

}  // namespace
}  // namespace millstair
