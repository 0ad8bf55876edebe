#include "wire/nanopb_message.h"

#include <cstdlib>

namespace millstair {
namespace {

bool AppendToString(pb_ostream_t* stream, const pb_byte_t* bytes, size_t count) {
  static_cast<std::string*>(stream->state)->append(reinterpret_cast<const char*>(bytes), count);
  return true;
}

}  // namespace

std::string EncodeNanopb(const pb_msgdesc_t* fields, const void* message) {
  std::string bytes;
  pb_ostream_t stream = {&AppendToString, &bytes, SIZE_MAX, 0, nullptr};
  // Encoding into memory fails only if the struct does not match its descriptor.
  if (!pb_encode(&stream, fields, message)) std::abort();
  return bytes;
}

absl::Status ForEachWireField(std::string_view bytes,
                              const std::function<absl::Status(const WireField&)>& visit) {
  pb_istream_t stream =
      pb_istream_from_buffer(reinterpret_cast<const pb_byte_t*>(bytes.data()), bytes.size());
  const auto position = [&] { return bytes.size() - stream.bytes_left; };
  while (stream.bytes_left > 0) {
    const size_t begin = position();
    WireField field;
    pb_wire_type_t type = PB_WT_VARINT;
    bool end = false;
    if (!pb_decode_tag(&stream, &type, &field.tag, &end)) {
      return absl::InvalidArgumentError(std::string("bad tag: ") + PB_GET_ERROR(&stream));
    }
    if (type == PB_WT_STRING) {
      uint32_t size = 0;
      const bool complete = pb_decode_varint32(&stream, &size) && size <= stream.bytes_left;
      if (!complete) return absl::InvalidArgumentError("truncated field");
      field.payload = bytes.substr(position(), size);
      pb_read(&stream, nullptr, size);
    } else if (!pb_skip_field(&stream, type)) {
      return absl::InvalidArgumentError(std::string("bad field: ") + PB_GET_ERROR(&stream));
    }
    field.encoded = bytes.substr(begin, position() - begin);
    if (absl::Status status = visit(field); !status.ok()) return status;
  }
  return absl::OkStatus();
}

}  // namespace millstair
