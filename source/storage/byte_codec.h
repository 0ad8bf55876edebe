/// Fixed-width little-endian integers for the on-disk formats.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace millstair {

template <class Integer>
void AppendInteger(std::string& out, Integer value) {
  for (size_t i = 0; i < sizeof(Integer); ++i) {
    out.push_back(static_cast<char>((static_cast<uint64_t>(value) >> (8 * i)) & 0xff));
  }
}

/// Reads from the front. After a read beyond the end, `ok` is false and all reads return 0 or
/// empty.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : bytes_(bytes) {}

  template <class Integer>
  Integer Read() {
    if (bytes_.size() < sizeof(Integer)) {
      ok_ = false;
      bytes_ = {};
      return 0;
    }
    uint64_t value = 0;
    for (size_t i = 0; i < sizeof(Integer); ++i) {
      value |= static_cast<uint64_t>(static_cast<uint8_t>(bytes_[i])) << (8 * i);
    }
    bytes_.remove_prefix(sizeof(Integer));
    return static_cast<Integer>(value);
  }

  std::string_view ReadBytes(size_t size) {
    if (bytes_.size() < size) {
      ok_ = false;
      bytes_ = {};
      return {};
    }
    const std::string_view read = bytes_.substr(0, size);
    bytes_.remove_prefix(size);
    return read;
  }

  std::string_view rest() const { return bytes_; }
  bool ok() const { return ok_; }

 private:
  std::string_view bytes_;
  bool ok_ = true;
};

}  // namespace millstair
