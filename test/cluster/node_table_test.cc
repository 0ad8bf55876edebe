/// Which incarnation of a node is recorded.
#include "cluster/node_table.h"

#include <catch2/catch.hpp>

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTakeoverAfter = seconds(2);

ForwardedNode NodeWithIncarnation(uint64_t incarnation, MemberState state = MemberState::kLive) {
  ForwardedNode node;
  node.record.node = NodeId("n");
  node.record.incarnation = Incarnation(incarnation);
  node.record.state = state;
  return node;
}

Incarnation RecordedIncarnation(const NodeTable& table) {
  return table.nodes().at(NodeId("n")).latest.record.incarnation;
}

TEST_CASE("A newer incarnation replaces the recorded one at once") {
  NodeTable table(kTakeoverAfter);
  table.Record(NodeWithIncarnation(1), TimePoint(seconds(10)));
  table.Record(NodeWithIncarnation(2), TimePoint(seconds(10)));
  CHECK(RecordedIncarnation(table) == Incarnation(2));
}

TEST_CASE(
    "A delayed message of an older incarnation is ignored while the recorded one sends "
    "heartbeats") {
  NodeTable table(kTakeoverAfter);
  TimePoint now(seconds(10));
  for (int i = 0; i < 20; ++i) {
    table.Record(NodeWithIncarnation(2), now);
    now += milliseconds(400);
    table.Record(NodeWithIncarnation(1, MemberState::kLeaving), now);
    CHECK(RecordedIncarnation(table) == Incarnation(2));
  }
  CHECK(table.FindSince(NodeId("n"), now - milliseconds(400)) != nullptr);
}

TEST_CASE(
    "An older incarnation is recorded once the newer one is unresponsive, and is replaced again") {
  NodeTable table(kTakeoverAfter);
  table.Record(NodeWithIncarnation(2), TimePoint(seconds(10)));
  for (int i = 1; i <= 5; ++i) {
    table.Record(NodeWithIncarnation(1), TimePoint(seconds(10) + i * milliseconds(400)));
    CHECK(RecordedIncarnation(table) == Incarnation(2));
  }
  table.Record(NodeWithIncarnation(1), TimePoint(seconds(13)));
  CHECK(RecordedIncarnation(table) == Incarnation(1));
  table.Record(NodeWithIncarnation(2), TimePoint(seconds(13)));
  CHECK(RecordedIncarnation(table) == Incarnation(2));
}

}  // namespace
}  // namespace millstair
