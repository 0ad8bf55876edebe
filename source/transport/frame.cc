#include "transport/frame.h"

namespace millstair {
namespace {

constexpr size_t kLengthBytes = 4;
/// Consumed bytes are dropped from the buffer once there are this many.
constexpr size_t kCompactBytes = 64 * 1024;

uint32_t ReadLength(const char* bytes) {
  uint32_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << 8) | static_cast<unsigned char>(bytes[i]);
  }
  return length;
}

}  // namespace

std::string EncodeFrame(uint8_t kind, std::string_view payload) {
  const auto length = static_cast<uint32_t>(payload.size() + 1);
  std::string bytes;
  bytes.reserve(kFrameHeaderBytes + payload.size());
  for (int shift = 24; shift >= 0; shift -= 8) bytes += static_cast<char>(length >> shift);
  bytes += static_cast<char>(kind);
  bytes += payload;
  return bytes;
}

bool IsMessageKind(uint8_t kind) {
  // Without a default, so that the compiler names a kind that is missing here.
  switch (static_cast<MessageKind>(kind)) {
    case MessageKind::kRaft:
    case MessageKind::kHeartbeat:
    case MessageKind::kHeartbeatReply:
    case MessageKind::kConfigurationPush:
    case MessageKind::kCommand:
    case MessageKind::kCommandReply:
    case MessageKind::kWorkRequest:
    case MessageKind::kWorkReply:
    case MessageKind::kEngineReport:
      return true;
  }
  return false;
}

std::optional<Frame> FrameReader::Next() {
  if (fault_ != FrameFault::kNone || buffer_.size() - begin_ < kFrameHeaderBytes) {
    return std::nullopt;
  }
  const size_t length = ReadLength(buffer_.data() + begin_);
  const auto kind = static_cast<uint8_t>(buffer_[begin_ + kLengthBytes]);
  if (length == 0) fault_ = FrameFault::kEmpty;
  if (length > max_payload_bytes_ + 1) fault_ = FrameFault::kTooLarge;
  const bool known = kind == kHelloKind || kind == kCompressedKind || IsMessageKind(kind);
  if (!known) fault_ = FrameFault::kUnknownKind;
  if (fault_ != FrameFault::kNone || buffer_.size() - begin_ < kLengthBytes + length) {
    return std::nullopt;
  }
  Frame frame{kind, buffer_.substr(begin_ + kFrameHeaderBytes, length - 1)};
  begin_ += kLengthBytes + length;
  if (begin_ == buffer_.size() || begin_ > kCompactBytes) {
    buffer_.erase(0, begin_);
    begin_ = 0;
  }
  return frame;
}

}  // namespace millstair
