#include "transport/frame_compression.h"

#include <catch2/catch.hpp>
#include <random>

#include "transport/frame.h"

namespace millstair {
namespace {

constexpr size_t kLimit = 1 << 20;

std::string Letters(size_t size) {
  std::mt19937 random(3);
  std::string text;
  while (text.size() < size) text += static_cast<char>('a' + random() % 26);
  return text;
}

std::string Bytes(size_t size) {
  std::mt19937 random(3);
  std::string bytes;
  while (bytes.size() < size) bytes += static_cast<char>(random());
  return bytes;
}

/// Payload of the single compressed frame in `bytes`.
std::string PayloadOf(const std::string& bytes) {
  FrameReader reader(kLimit);
  reader.Add(bytes);
  const auto frame = reader.Next();
  REQUIRE(frame.has_value());
  REQUIRE(frame->kind == kCompressedKind);
  return frame->payload;
}

TEST_CASE("Frames round-trip and get smaller") {
  FrameCompression compression;
  for (const size_t size : {1'000, 5'000, 200'000}) {
    const std::string frames = EncodeFrame(1, Letters(size));
    const auto compressed = compression.Compress(frames);
    REQUIRE(compressed.has_value());
    CHECK(compressed->size() < frames.size() * 3 / 4);
    const auto restored = compression.Decompress(PayloadOf(*compressed), kLimit);
    REQUIRE(restored.ok());
    CHECK(*restored == frames);
  }
}

TEST_CASE("Small and incompressible frames are not compressed") {
  FrameCompression compression;
  CHECK_FALSE(compression.Compress(Letters(100)).has_value());
  CHECK_FALSE(compression.Compress(Bytes(10'000)).has_value());
}

TEST_CASE("Damaged, truncated and too large frames are refused") {
  FrameCompression compression;
  std::string payload = PayloadOf(*compression.Compress(Letters(5'000)));
  CHECK_FALSE(compression.Decompress(payload, 4'999).ok());
  CHECK_FALSE(compression.Decompress(payload.substr(0, payload.size() / 2), kLimit).ok());
  CHECK_FALSE(compression.Decompress("", kLimit).ok());
  CHECK_FALSE(compression.Decompress(Bytes(100), kLimit).ok());
  payload.resize(payload.size() / 2);
  payload.resize(payload.size() * 2);
  CHECK_FALSE(compression.Decompress(payload, kLimit).ok());
  CHECK(compression.Decompress(PayloadOf(*compression.Compress(Letters(300))), kLimit).ok());
}

}  // namespace
}  // namespace millstair
