/// Compression of the frames of one write. Most traffic between nodes is text and job descriptions,
/// and bytes between zones cost more than the CPU time.
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

/// Owns the zstd contexts, which are created at the first use. Not thread-safe: lives on the strand
/// of its hub.
class FrameCompression {
 public:
  FrameCompression();
  ~FrameCompression();

  /// A frame of kind kCompressedKind that contains `frames`; none if it would save too little.
  std::optional<std::string> Compress(std::string_view frames);
  /// The frames in the payload of such a frame. DataLoss if it is damaged or decompresses to more
  /// than `max_bytes`.
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
