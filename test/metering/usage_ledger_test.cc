#include "metering/usage_ledger.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace millstair {
namespace {

UsageReport Report(const std::string& gateway, uint64_t incarnation, uint64_t sequence,
                   std::vector<UsageCount> counts) {
  return {NodeId(gateway), Incarnation(incarnation), sequence, std::move(counts)};
}

UsageCount Count(uint64_t window, const std::string& tenant, uint64_t requests) {
  return {UsageWindow(window), TenantName(tenant), requests};
}

uint64_t Held(const UsageLedger& ledger, uint64_t window, const std::string& tenant) {
  const auto sums = ledger.windows().find(UsageWindow(window));
  if (sums == ledger.windows().end()) return 0;
  const auto sum = sums->second.find(TenantName(tenant));
  return sum == sums->second.end() ? 0 : sum->second;
}

TEST_CASE("Reports of gateways are summed by window and tenant") {
  UsageLedger ledger;
  ledger.Add(Report("g1", 1, 1, {Count(7, "a", 2), Count(7, "b", 1), Count(8, "a", 4)}));
  ledger.Add(Report("g2", 1, 1, {Count(7, "a", 3)}));
  CHECK(Held(ledger, 7, "a") == 5);
  CHECK(Held(ledger, 7, "b") == 1);
  CHECK(Held(ledger, 8, "a") == 4);
}

TEST_CASE("A report counts once, however clocks order the incarnations of its gateway") {
  UsageLedger ledger;
  ledger.Add(Report("g1", 5, 1, {Count(7, "a", 2)}));
  ledger.Add(Report("g1", 5, 1, {Count(7, "a", 2)}));
  CHECK(Held(ledger, 7, "a") == 2);
  ledger.Add(Report("g1", 6, 1, {Count(7, "a", 1)}));
  CHECK(Held(ledger, 7, "a") == 3);
  // An incarnation with a smaller number may be the present one after its clock was set back.
  ledger.Add(Report("g1", 5, 2, {Count(7, "a", 9)}));
  ledger.Add(Report("g1", 4, 1, {Count(7, "a", 20)}));
  CHECK(Held(ledger, 7, "a") == 32);
  for (const uint64_t incarnation : {4, 5, 6}) {
    ledger.Add(Report("g1", incarnation, 1, {Count(7, "a", 100)}));
  }
  ledger.Add(Report("g1", 5, 2, {Count(7, "a", 100)}));
  CHECK(Held(ledger, 7, "a") == 32);
}

TEST_CASE("The sum of a closed window never changes") {
  UsageLedger ledger;
  ledger.Add(Report("g1", 1, 1, {Count(7, "a", 2)}));
  ledger.Close(UsageWindow(7));
  ledger.Add(Report("g1", 1, 2, {Count(7, "a", 4), Count(8, "a", 1)}));
  CHECK(Held(ledger, 7, "a") == 2);
  CHECK(Held(ledger, 8, "a") == 1);
  CHECK(ledger.late_requests() == 4);
  ledger.Close(UsageWindow(6));
  CHECK(ledger.closed_through() == UsageWindow(7));
}

TEST_CASE("Closed windows are reported in order until they are accepted, also empty ones") {
  UsageLedger ledger;
  CHECK_FALSE(ledger.OldestUnreported().has_value());
  ledger.Close(UsageWindow(5));
  CHECK(ledger.closed_through() == UsageWindow());
  ledger.Add(Report("g1", 1, 1, {Count(7, "a", 2), Count(9, "a", 1)}));
  CHECK_FALSE(ledger.OldestUnreported().has_value());
  ledger.Close(UsageWindow(8));
  CHECK(ledger.OldestUnreported() == UsageWindow(7));
  ledger.Accept(UsageWindow(7));
  ledger.Accept(UsageWindow(9));
  CHECK(ledger.OldestUnreported() == UsageWindow(8));
  CHECK(ledger.windows().at(UsageWindow(8)).empty());
  ledger.Accept(UsageWindow(8));
  CHECK_FALSE(ledger.OldestUnreported().has_value());
  CHECK(Held(ledger, 9, "a") == 1);
  ledger.Close(UsageWindow(10));
  CHECK(ledger.OldestUnreported() == UsageWindow(9));
}

TEST_CASE("Windows and gateways are bounded; the oldest are removed first") {
  UsageLedger ledger({3, 2});
  for (uint64_t window = 1; window <= 5; ++window) {
    ledger.Add(Report("g", 1, window, {Count(window, "a", 1)}));
  }
  CHECK(ledger.windows().size() == 3);
  CHECK(ledger.windows().begin()->first == UsageWindow(3));
  ledger.Close(UsageWindow(1'000'000'000));
  CHECK(ledger.windows().size() == 3);
  CHECK(ledger.closed_through() == UsageWindow(1'000'000'000));
  ledger.Add(Report("h", 1, 1, {}));
  ledger.Add(Report("g", 1, 6, {}));
  ledger.Add(Report("i", 1, 1, {}));
  CHECK(ledger.state().reported.size() == 2);
  CHECK_FALSE(ledger.state().reported.contains({NodeId("h"), Incarnation(1)}));
}

TEST_CASE("However reports are repeated and mixed, each request counts once") {
  rc::prop("sum of the counts of all reports", [](const std::vector<uint8_t>& order) {
    std::vector<UsageReport> reports;
    for (uint64_t sequence = 1; sequence <= 6; ++sequence) {
      reports.push_back(Report("g1", 1, sequence, {Count(7, "a", sequence)}));
    }
    UsageLedger ledger;
    uint64_t next = 0;
    for (const uint8_t pick : order) {
      // A gateway sends a report only after the previous one is committed, but copies may arrive
      // later.
      if (pick % 2 == 0 && next < reports.size()) ledger.Add(reports[next++]);
      if (next > 0) ledger.Add(reports[pick % next]);
    }
    RC_ASSERT(Held(ledger, 7, "a") == next * (next + 1) / 2);
  });
}

}  // namespace
}  // namespace millstair
