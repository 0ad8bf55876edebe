#include "http/problem.h"

#include <catch2/catch.hpp>

namespace millstair {
namespace {

TEST_CASE("a problem contains its outcome and Retry-After") {
  Problem problem{503, "Queue full", "group \"gallery\"\n", Outcome::kNotRun};
  problem.retry_after = std::chrono::milliseconds(1200);
  const HttpResponseHead head = ProblemHead(problem);
  CHECK(head.status == 503);
  CHECK(FindHeader(head.headers, "millstair-outcome") == "not-run");
  CHECK(FindHeader(head.headers, "retry-after") == "2");
  CHECK(FindHeader(head.headers, "content-type") == "application/problem+json");
  CHECK(ProblemJson(problem) == R"({"type":"about:blank","title":"Queue full","status":503,)"
                                R"("detail":"group \"gallery\"\u000a","outcome":"not-run"})");
}

}  // namespace
}  // namespace millstair
