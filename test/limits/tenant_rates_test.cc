#include "limits/tenant_rates.h"

#include <catch2/catch.hpp>

namespace millstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against large tenants that count as small ones, and against a tenant that is alone.
TEST_CASE("Tenants that ask for less than the mean are told from the others") {
  TenantRates rates{seconds(3)};
  TimePoint now(seconds(100));
  rates.Record("alone", now);
  CHECK_FALSE(rates.IsBelowMean("alone", now));
  CHECK(rates.SumBelowMean(now) == 0);
  for (int i = 0; i < 30; ++i) {
    now += milliseconds(100);
    rates.Record("large", now);
    if (i % 15 == 0) rates.Record("small", now);
  }
  CHECK(rates.IsBelowMean("small", now));
  CHECK_FALSE(rates.IsBelowMean("large", now));
  const double others = rates.PerSecond("small", now) + rates.PerSecond("alone", now);
  CHECK(rates.SumBelowMean(now) == Approx(others));
  CHECK(rates.SumPerSecond(now) == Approx(others + rates.PerSecond("large", now)));
}

// Guards against memory that grows with each tenant ever seen.
TEST_CASE("A tenant without requests is forgotten") {
  TenantRates rates{seconds(1)};
  const TimePoint now(seconds(100));
  rates.Record("a", now);
  rates.Record("b", now + seconds(5));
  CHECK(rates.size() == 1);
  CHECK(rates.PerSecond("a", now + seconds(5)) == 0);
}

}  // namespace
}  // namespace millstair
