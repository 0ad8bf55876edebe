#include "platform/scale_codec.h"

#include <catch2/catch.hpp>

namespace millstair::platform {
namespace {

TEST_CASE("An order of servers has its service, zone, number, lease holder and fence") {
  const PoolSize size{ServiceName("captions"), Zone("zone-a"), 4, 6, 4, true};
  const HttpRequest made = ScaleCodec().MakeScaleCall(size, {"machine-1", 12});
  CHECK(made.method == "POST");
  CHECK(made.target == "/scale");
  CHECK(FindHeader(made.headers, "Holder") == "machine-1");
  CHECK(FindHeader(made.headers, "Fence") == "12");
  CHECK(made.body == R"({"service":"captions","zone":"zone-a","desired":6})");
}

TEST_CASE("Orders that may have been carried out are not taken for rejected ones") {
  const ScaleCodec wire;
  CHECK(wire.ReadAnswer(200) == ScaleAnswer::kAccepted);
  CHECK(wire.ReadAnswer(409) == ScaleAnswer::kUnavailable);
  CHECK(wire.ReadAnswer(429) == ScaleAnswer::kBusy);
  CHECK(wire.ReadAnswer(400) == ScaleAnswer::kRefused);
  CHECK(wire.ReadAnswer(408) == ScaleAnswer::kUnknown);
  CHECK(wire.ReadAnswer(503) == ScaleAnswer::kUnknown);
  CHECK(wire.ReadAnswer(0) == ScaleAnswer::kUnknown);
}

}  // namespace
}  // namespace millstair::platform
