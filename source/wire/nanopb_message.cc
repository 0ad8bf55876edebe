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
  // Encoding into memory fails only for a struct that contradicts its descriptor.
  if (!pb_encode(&stream, fields, message)) std::abort();
  return bytes;
}

}  // namespace millstair
