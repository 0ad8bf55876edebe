#include "jobs/item_order.h"

#include <catch2/catch.hpp>

namespace millstair {
namespace {

JobItem Item(const std::string& id, const std::string& group, uint64_t expected) {
  JobItem item;
  item.id = ItemId(id);
  item.group = group;
  item.expected_tokens = expected;
  return item;
}

ItemEstimate Guess(const JobItem& item) {
  return {static_cast<double>(item.expected_tokens), false};
}

TEST_CASE("Wanted groups come first, and the longest items among them") {
  JobSpec job;
  job.wanted_groups = 2;
  job.items = {Item("a1", "a", 10), Item("a2", "a", 900), Item("b1", "b", 20),
               Item("b2", "b", 50), Item("c1", "c", 70),  Item("c2", "c", 30)};
  const ItemOrder order = OrderItems(job, Guess);
  CHECK(order.positions == std::vector<uint64_t>{5, 4, 3, 1, 0, 2});
  CHECK(order.expected_events == 1080);
  CHECK(order.groups == std::vector<size_t>{2, 2, 0, 0, 1, 1});
}

TEST_CASE("Groups of an earlier job always count as wanted") {
  JobSpec job;
  job.wanted_groups = 1;
  job.items = {Item("a1", "a", 900), Item("b1", "b", 20)};
  const ItemOrder order = OrderItems(job, [](const JobItem& item) -> ItemEstimate {
    return {Guess(item).events, item.id == ItemId("a1")};
  });
  CHECK(order.positions == std::vector<uint64_t>{0, 1});
  CHECK(order.spare == std::vector<bool>{false, true});
  CHECK(order.carried_groups == std::vector<bool>{true, false});
}

TEST_CASE("Without groups and estimates the order is that of the job") {
  JobSpec job;
  job.items = {Item("a", "", 0), Item("b", "", 0), Item("c", "", 0)};
  CHECK(OrderItems(job, Guess).positions == std::vector<uint64_t>{0, 1, 2});
}

}  // namespace
}  // namespace millstair
