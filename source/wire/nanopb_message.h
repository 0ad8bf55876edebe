/// Converts between nanopb structs and C++ types. Messages in api/ use pointer fields (FT_POINTER):
/// strings are `char*`, bytes `pb_bytes_array_t*`, repeated fields `T*` with a count.
///
/// A bytes field is limited to 65,535 bytes in this build of nanopb, so binary data that may be
/// larger is a `repeated bytes` field in chunks (NewChunkedBytes, JoinBytes). Strings have no such
/// limit but must not contain NUL.
///
/// Encoding: fill the struct with memory of a WireArena, then EncodeNanopb. Decoding:
/// DecodedMessage owns what nanopb allocated and releases it.
#pragma once

#include <pb_decode.h>
#include <pb_encode.h>

#include <cstring>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace millstair {

/// Size of a chunk of a `repeated bytes` field.
inline constexpr size_t kWireChunkBytes = 32 * 1024;

/// Arena for one message under construction; all memory is freed together.
class WireArena {
 public:
  /// Allocates a zeroed array of `count` elements; null if `count` is 0.
  template <class T>
  T* NewArray(size_t count) {
    if (count == 0) return nullptr;
    // T may itself be a pointer, as for arrays of chunks.
    return static_cast<T*>(Allocate(count * sizeof(T)));  // NOLINT(bugprone-sizeof-expression)
  }

  char* NewString(std::string_view text) {
    char* copy = static_cast<char*>(Allocate(text.size() + 1));
    std::memcpy(copy, text.data(), text.size());
    return copy;
  }

  pb_bytes_array_t* NewBytes(std::string_view bytes) {
    auto* array =
        static_cast<pb_bytes_array_t*>(Allocate(PB_BYTES_ARRAY_T_ALLOCSIZE(bytes.size())));
    array->size = static_cast<pb_size_t>(bytes.size());
    std::memcpy(array->bytes, bytes.data(), bytes.size());
    return array;
  }

  /// Splits `bytes` into chunks and sets `*count` to their number.
  pb_bytes_array_t** NewChunkedBytes(std::string_view bytes, pb_size_t* count) {
    const size_t chunks = (bytes.size() + kWireChunkBytes - 1) / kWireChunkBytes;
    auto** array = NewArray<pb_bytes_array_t*>(chunks);
    for (size_t i = 0; i < chunks; ++i) {
      array[i] = NewBytes(bytes.substr(i * kWireChunkBytes, kWireChunkBytes));
    }
    *count = static_cast<pb_size_t>(chunks);
    return array;
  }

 private:
  void* Allocate(size_t size) {
    const size_t elements = size / sizeof(std::max_align_t) + 1;
    blocks_.push_back(std::make_unique<std::max_align_t[]>(elements));
    // Value-initialization does not clear the padding of max_align_t.
    std::memset(blocks_.back().get(), 0, elements * sizeof(std::max_align_t));
    return blocks_.back().get();
  }

  std::vector<std::unique_ptr<std::max_align_t[]>> blocks_;
};

inline std::string ToString(const char* text) { return text == nullptr ? "" : text; }
inline std::string ToString(const pb_bytes_array_t* bytes) {
  if (bytes == nullptr) return "";
  return std::string(reinterpret_cast<const char*>(bytes->bytes), bytes->size);
}

/// Concatenates the chunks of a `repeated bytes` field.
inline std::string JoinBytes(pb_bytes_array_t* const* chunks, pb_size_t count) {
  std::string joined;
  for (pb_size_t i = 0; i < count; ++i) joined += ToString(chunks[i]);
  return joined;
}

/// Encodes `message` by its nanopb descriptor `fields` (for example `millstair_RaftBatch_fields`).
std::string EncodeNanopb(const pb_msgdesc_t* fields, const void* message);

/// A field of an encoded message.
struct WireField {
  uint32_t tag = 0;
  /// Value of a length-delimited field (message, string, bytes); empty for numbers.
  std::string_view payload;
  /// The complete encoding with tag and length.
  std::string_view encoded;
};

/// Calls `visit` for each top-level field of `bytes` in order, until it returns an error.
/// InvalidArgument if `bytes` is malformed or truncated.
absl::Status ForEachWireField(std::string_view bytes,
                              const std::function<absl::Status(const WireField&)>& visit);

/// Owns a decoded nanopb struct of type `T`.
template <class T>
class DecodedMessage {
 public:
  /// InvalidArgument if `bytes` is malformed or truncated.
  static absl::StatusOr<DecodedMessage> Decode(const pb_msgdesc_t* fields, std::string_view bytes) {
    DecodedMessage decoded(fields);
    pb_istream_t stream =
        pb_istream_from_buffer(reinterpret_cast<const pb_byte_t*>(bytes.data()), bytes.size());
    if (!pb_decode(&stream, fields, decoded.message_.get())) {
      return absl::InvalidArgumentError(std::string("bad message: ") + PB_GET_ERROR(&stream));
    }
    return decoded;
  }

  DecodedMessage(DecodedMessage&&) noexcept = default;
  DecodedMessage& operator=(DecodedMessage&&) noexcept = default;

  const T& operator*() const { return *message_; }
  const T* operator->() const { return message_.get(); }

 private:
  struct Release {
    const pb_msgdesc_t* fields;
    void operator()(T* message) const {
      pb_release(fields, message);
      delete message;
    }
  };
  explicit DecodedMessage(const pb_msgdesc_t* fields) : message_(new T(), Release{fields}) {}

  std::unique_ptr<T, Release> message_;
};

}  // namespace millstair
