/// Compression of the frames of one write. Texts and job descriptions are most of what nodes send
/// each other; bytes between zones cost more than the processor time.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

struct ZSTD_CCtx_s;
struct ZSTD_DCtx_s;

namespace millstair {

/// Owns the working memory of the library, which is made at the first use. Not thread-safe: lives
/// on the strand of its hub.
class FrameCompression {
 public:
  FrameCompression();
  ~FrameCompression();

  /// A frame of kind kCompressedKind that holds `frames`; none where that saves too little.
  std::optional<std::string> Compress(std::string_view frames);
  /// The frames that the payload of such a frame holds. DataLoss if it is damaged or would become
  /// larger than `max_bytes`.
  absl::StatusOr<std::string> Decompress(std::string_view payload, size_t max_bytes);

 private:
  struct FreeCompressor {
    void operator()(ZSTD_CCtx_s* context) const;
  };
  struct FreeDecompressor {
    void operator()(ZSTD_DCtx_s* context) const;
  };

  std::unique_ptr<ZSTD_CCtx_s, FreeCompressor> compressor_;
  std::unique_ptr<ZSTD_DCtx_s, FreeDecompressor> decompressor_;
};

}  // namespace millstair
