/// Frames on a peer connection: a 4-byte big-endian length, a kind byte, the payload. The length
/// includes kind and payload. Kind 0 is the hello, kind 255 contains other frames in compressed
/// form; other kinds are values of MessageKind.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/peer_transport.h"

namespace millstair {

inline constexpr size_t kFrameHeaderBytes = 5;
inline constexpr uint8_t kHelloKind = 0;
inline constexpr uint8_t kCompressedKind = 255;

struct Frame {
  uint8_t kind = kHelloKind;
  std::string payload;
};

std::string EncodeFrame(uint8_t kind, std::string_view payload);
/// True if `kind` is a MessageKind known to this version.
bool IsMessageKind(uint8_t kind);

enum class FrameFault : uint8_t { kNone, kTooLarge, kEmpty, kUnknownKind };

/// Splits a byte stream into frames. Returns no further frames after a fault, since the frame
/// boundaries are unknown from there on.
class FrameReader {
 public:
  explicit FrameReader(size_t max_payload_bytes) : max_payload_bytes_(max_payload_bytes) {}

  void Add(std::string_view bytes) { buffer_.append(bytes); }
  void SetMaxPayload(size_t max_payload_bytes) { max_payload_bytes_ = max_payload_bytes; }
  /// The next complete frame; none if bytes are missing or after a fault.
  std::optional<Frame> Next();

  FrameFault fault() const { return fault_; }
  /// True if the stream ends in the middle of a frame.
  bool partial() const { return begin_ < buffer_.size(); }

 private:
  size_t max_payload_bytes_;
  std::string buffer_;
  size_t begin_ = 0;
  FrameFault fault_ = FrameFault::kNone;
};

}  // namespace millstair
