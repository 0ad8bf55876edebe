#include "common/findings.h"

#include <catch2/catch.hpp>

namespace millstair {
namespace {

TEST_CASE("findings are reported together with their locations") {
  Findings findings;
  REQUIRE(findings.ToStatus().ok());
  findings.Add(Location{"a.yaml", 3, 7}, "unknown key 'zon'");
  findings.Add(Location{"a.yaml", 9, 0}, "duplicate name");
  const absl::Status status = findings.ToStatus();
  REQUIRE(absl::IsInvalidArgument(status));
  REQUIRE(status.message() == "a.yaml:3:7: unknown key 'zon'\na.yaml:9: duplicate name\n");
}

}  // namespace
}  // namespace millstair
