#include "limits/fair_queue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
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
  bool Push(const std::string& name, int64_t priority, const std::string& tenant, int deadline_ms,
            TargetClass target_class = TargetClass::kInTime) {
    const auto id = queue.Push({priority, tenant, At(deadline_ms), target_class});
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

// Guards against retries past their target that take the whole share of a tenant, and against first
// attempts that starve them.
TEST_CASE("Requests in time get three of four sends of their tenant, by deadline in each class") {
  Named f;
  for (int i = 8; i >= 1; --i) {
    f.Push("late" + std::to_string(i), 1, "a", 100 + i, TargetClass::kLate);
    f.Push("in" + std::to_string(i), 1, "a", 500 + i);
  }
  CHECK(f.PopAll() == Names{"in1", "late1", "in2", "in3", "in4", "late2", "in5", "in6", "in7",
                            "late3", "in8", "late4", "late5", "late6", "late7", "late8"});
}

// Guards against a class that collects a claim while nothing of it waits.
TEST_CASE("The share that a class leaves unused goes to the other and is not saved up") {
  Named f;
  for (int i = 0; i < 50; ++i) f.queue.RecordServed(1, "a", TargetClass::kLate);
  for (int i = 1; i <= 6; ++i) {
    f.Push("in" + std::to_string(i), 1, "a", 500 + i);
    f.Push("late" + std::to_string(i), 1, "a", 100 + i, TargetClass::kLate);
  }
  const Names all = f.PopAll();
  CHECK(std::count_if(all.begin(), all.begin() + 8,
                      [](const std::string& name) { return name.rfind("late", 0) == 0; }) == 2);
}

// Guards against shares of tenants that depend on how many of their requests are late.
TEST_CASE("Tenants share equally, whatever the classes of their requests") {
  Named f;
  for (int i = 0; i < 6; ++i) f.Push("in", 1, "a", 500);
  for (int i = 0; i < 6; ++i) f.Push("late", 1, "b", 100, TargetClass::kLate);
  for (int round = 0; round < 6; ++round) {
    const std::multiset<std::string> served = {f.Pop(), f.Pop()};
    CHECK(served == std::multiset<std::string>{"in", "late"});
  }
}

// Guards against late requests that precede all others where many tenants send little.
TEST_CASE("Among tenants with equal claims the classes share by the same weights") {
  Named f;
  for (int i = 1; i <= 4; ++i) {
    f.Push("late" + std::to_string(i), 1, "late" + std::to_string(i), 100, TargetClass::kLate);
    f.Push("in" + std::to_string(i), 1, "in" + std::to_string(i), 500);
  }
  CHECK(f.PopAll() == Names{"in1", "late1", "in2", "in3", "in4", "late2", "late3", "late4"});
}

// Guards against requests that keep the claim of their class after their target has passed.
TEST_CASE("An entry that becomes late is served with the late ones, by its deadline") {
  Named f;
  f.Push("becomes late", 1, "a", 300);
  const auto id = f.queue.Next();
  f.Push("in", 1, "a", 900);
  f.Push("late", 1, "a", 400, TargetClass::kLate);
  CHECK(f.queue.Waiting(TargetClass::kLate) == 1);
  REQUIRE(f.queue.MoveToLate(*id));
  CHECK(f.queue.Waiting(TargetClass::kInTime) == 1);
  CHECK(f.queue.Waiting(TargetClass::kLate) == 2);
  CHECK(f.PopAll() == Names{"in", "becomes late", "late"});
  CHECK_FALSE(f.queue.MoveToLate(*id));
  CHECK(f.queue.Waiting(TargetClass::kLate) == 0);
}

// Guards against late requests that use up the share of requests in time that are about to arrive.
TEST_CASE("The queue tells when a late request would take the share of requests in time") {
  Named f;
  const FairQueue::Entry late{1, "a", At(100), TargetClass::kLate};
  CHECK_FALSE(f.queue.TakesShareOfInTime(late));
  f.queue.RecordServed(1, "a", TargetClass::kLate);
  CHECK(f.queue.TakesShareOfInTime(late));
  CHECK_FALSE(f.queue.TakesShareOfInTime({1, "a", At(100)}));
  // While one waits, the weights decide.
  f.Push("in", 1, "a", 500);
  CHECK_FALSE(f.queue.TakesShareOfInTime(late));
  f.Pop();
  for (int i = 0; i < 4; ++i) f.queue.RecordServed(1, "a", TargetClass::kInTime);
  CHECK_FALSE(f.queue.TakesShareOfInTime(late));
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
