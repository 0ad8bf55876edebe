#include "simulator/checks/linearizability.h"

#include <catch2/catch.hpp>

namespace millstair::checks {
namespace {

using std::chrono::milliseconds;

/// Builds histories of one resource.
struct Builder {
  std::vector<ResourceOperation> operations;

  ResourceOperation& Add(ResourceAction action, int begin, int end, ResourceEnd result) {
    ResourceOperation operation{.client = ClientId("c"), .resource = "Pool/a", .action = action};
    operation.invoked = milliseconds(begin);
    operation.end = result;
    if (result != ResourceEnd::kUnanswered) operation.returned = milliseconds(end);
    operations.push_back(operation);
    return operations.back();
  }
  void Put(std::string value, uint64_t expected, int begin, int end, ResourceEnd result,
           uint64_t version = 0) {
    ResourceOperation& put = Add(ResourceAction::kPut, begin, end, result);
    put.value = std::move(value);
    put.expected = Revision(expected);
    put.version = Revision(version);
  }
  void Read(std::string value, uint64_t version, int begin, int end) {
    ResourceOperation& read = Add(ResourceAction::kRead, begin, end, ResourceEnd::kDone);
    read.value = std::move(value);
    read.version = Revision(version);
  }
};

TEST_CASE("races with one winner are linearizable") {
  Builder history;
  history.Put("a", 0, 0, 10, ResourceEnd::kDone, 5);
  history.Put("b", 5, 20, 40, ResourceEnd::kDone, 7);
  history.Put("c", 5, 20, 40, ResourceEnd::kConflict, 7);
  history.Read("b", 7, 50, 60);
  const CheckResult result = CheckLinearizability(history.operations);
  REQUIRE(result.broken == 0);
  REQUIRE(result.tried == 1);
}

TEST_CASE("two winners at the same version are detected") {
  Builder history;
  history.Put("a", 0, 0, 10, ResourceEnd::kDone, 5);
  history.Put("b", 5, 20, 40, ResourceEnd::kDone, 7);
  history.Put("c", 5, 20, 40, ResourceEnd::kDone, 8);
  REQUIRE(CheckLinearizability(history.operations).broken == 1);
}

TEST_CASE("a stale read is detected") {
  Builder history;
  history.Put("a", 0, 0, 10, ResourceEnd::kDone, 5);
  history.Put("b", 5, 20, 30, ResourceEnd::kDone, 7);
  history.Read("a", 5, 40, 50);
  REQUIRE(CheckLinearizability(history.operations).broken == 1);
}

TEST_CASE("an unanswered change may take effect late or never") {
  Builder history;
  history.Put("a", 0, 0, 10, ResourceEnd::kDone, 5);
  history.Put("b", 5, 20, 0, ResourceEnd::kUnanswered);
  history.Read("a", 5, 30, 40);
  REQUIRE(CheckLinearizability(history.operations).broken == 0);
  history.Read("b", 9, 50, 60);
  REQUIRE(CheckLinearizability(history.operations).broken == 0);
  history.Read("a", 5, 70, 80);
  REQUIRE(CheckLinearizability(history.operations).broken == 1);
}

TEST_CASE("a resend that took effect twice is detected") {
  Builder history;
  history.Put("a", 0, 0, 10, ResourceEnd::kDone, 5);
  history.Read("a", 6, 20, 30);
  REQUIRE(CheckLinearizability(history.operations).broken == 1);
}

TEST_CASE("a refused change that took effect is detected") {
  Builder history;
  history.Put("a", 0, 0, 10, ResourceEnd::kDone, 5);
  history.Put("b", 5, 20, 30, ResourceEnd::kRefused);
  history.Read("b", 6, 40, 50);
  REQUIRE(CheckLinearizability(history.operations).broken == 1);
}

TEST_CASE("a search that reaches its limit is undecided") {
  Builder history;
  for (int i = 0; i < 12; ++i) {
    history.Put("v" + std::to_string(i), 0, 0, 0, ResourceEnd::kUnanswered);
  }
  history.Read("missing", 3, 10, 20);
  const CheckResult result = CheckLinearizability(history.operations, {.max_states = 4});
  REQUIRE(result.broken == 0);
  REQUIRE(result.undecided == 1);
}

}  // namespace
}  // namespace millstair::checks
