#include "transport/frame.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace millstair {
namespace {

constexpr uint8_t kKind = static_cast<uint8_t>(MessageKind::kCommand);

TEST_CASE("Frames are read regardless of how the stream is split") {
  rc::prop("frames are read as encoded", [](const std::vector<std::string>& payloads) {
    std::string stream;
    for (const std::string& payload : payloads) stream += EncodeFrame(kKind, payload);
    FrameReader reader(1 << 20);
    std::vector<std::string> read;
    for (size_t begin = 0; begin < stream.size();) {
      const size_t size = *rc::gen::inRange<size_t>(1, 20);
      reader.Add(std::string_view(stream).substr(begin, size));
      begin += size;
      while (auto frame = reader.Next()) {
        RC_ASSERT(frame->kind == kKind);
        read.push_back(frame->payload);
      }
    }
    RC_ASSERT(read == payloads);
    RC_ASSERT(!reader.partial());
  });
}

TEST_CASE("Invalid frames are distinguished, and nothing is read after them") {
  FrameReader reader(100);
  SECTION("too large") {
    reader.Add(EncodeFrame(kKind, std::string(101, 'x')));
    CHECK_FALSE(reader.Next().has_value());
    CHECK(reader.fault() == FrameFault::kTooLarge);
  }
  SECTION("just small enough") {
    reader.Add(EncodeFrame(kKind, std::string(100, 'x')));
    CHECK(reader.Next().has_value());
    CHECK(reader.fault() == FrameFault::kNone);
  }
  SECTION("empty") {
    reader.Add(std::string(5, '\0'));
    CHECK_FALSE(reader.Next().has_value());
    CHECK(reader.fault() == FrameFault::kEmpty);
  }
  SECTION("unknown kind") {
    reader.Add(EncodeFrame(200, "x"));
    CHECK_FALSE(reader.Next().has_value());
    CHECK(reader.fault() == FrameFault::kUnknownKind);
  }
  SECTION("truncated") {
    reader.Add(EncodeFrame(kKind, "whole").substr(0, 7));
    CHECK_FALSE(reader.Next().has_value());
    CHECK(reader.fault() == FrameFault::kNone);
    CHECK(reader.partial());
    return;
  }
  if (reader.fault() == FrameFault::kNone) return;
  reader.Add(EncodeFrame(kKind, "sound"));
  CHECK_FALSE(reader.Next().has_value());
}

}  // namespace
}  // namespace millstair
