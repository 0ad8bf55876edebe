#include "http/response_channel.h"

#include <catch2/catch.hpp>

namespace millstair {
namespace {

// Guards against a handler that fills the buffer without end after its caller has disconnected.
TEST_CASE("A channel whose connection has ended has no space") {
  constexpr size_t kCapacity = 1024;
  ResponseChannel channel(kCapacity, [] {});
  channel.Append("sent before");
  REQUIRE(channel.FreeBytes() > 0);
  channel.Discard();
  CHECK(channel.FreeBytes() == 0);
  channel.Append(std::string(kCapacity, 'x'));
  CHECK(channel.FreeBytes() == 0);
  CHECK(channel.Take().bytes.empty());
}

}  // namespace
}  // namespace millstair
