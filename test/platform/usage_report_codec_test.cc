#include "platform/usage_report_codec.h"

#include <catch2/catch.hpp>

namespace millstair::platform {
namespace {

TEST_CASE("A usage report has its window, lease holder and fence") {
  const UsageStatement statement{UsageWindow(353445120),
                                 {{TenantName("t1"), 412}, {TenantName("t2"), 7}}};
  const HttpRequest made = UsageReportCodec().MakeUsageCall(statement, {"machine-1", 12});
  CHECK(made.method == "POST");
  CHECK(made.target == "/usage");
  CHECK(FindHeader(made.headers, "Holder") == "machine-1");
  CHECK(FindHeader(made.headers, "Fence") == "12");
  CHECK(made.body == R"({"window_id":353445120,"counts":{"t1":412,"t2":7}})");
  CHECK(UsageReportCodec().MakeUsageCall({UsageWindow(1), {}}, {"m", 1}).body ==
        R"({"window_id":1,"counts":{}})");
}

TEST_CASE("Only 2xx is an acceptance, and only client errors are rejections") {
  const UsageReportCodec wire;
  CHECK(wire.ReadAnswer(200) == UsageReportAnswer::kTaken);
  CHECK(wire.ReadAnswer(202) == UsageReportAnswer::kTaken);
  CHECK(wire.ReadAnswer(429) == UsageReportAnswer::kBusy);
  CHECK(wire.ReadAnswer(409) == UsageReportAnswer::kRefused);
  CHECK(wire.ReadAnswer(408) == UsageReportAnswer::kUnknown);
  CHECK(wire.ReadAnswer(503) == UsageReportAnswer::kUnknown);
  CHECK(wire.ReadAnswer(0) == UsageReportAnswer::kUnknown);
}

}  // namespace
}  // namespace millstair::platform
