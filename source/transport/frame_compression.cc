#include "transport/frame_compression.h"

#include <zstd.h>

#include "transport/frame.h"

namespace millstair {
namespace {

/// Smaller writes, such as heartbeats and acknowledgements, are sent uncompressed.
constexpr size_t kMinBytes = 256;
/// The fastest regular level: most of the gain is entropy coding, which every level does.
constexpr int kLevel = 1;
/// Window of 64 KiB, which limits the memory of both sides; most writes are smaller.
constexpr int kWindowLog = 16;
/// Compressed frames must be smaller by at least 1/16 of the original size.
constexpr size_t kMinSavedDivisor = 16;

}  // namespace

FrameCompression::FrameCompression() = default;
FrameCompression::~FrameCompression() = default;

void FrameCompression::FreeCompressor::operator()(ZSTD_CCtx_s* context) const {
  ZSTD_freeCCtx(context);
}

void FrameCompression::FreeDecompressor::operator()(ZSTD_DCtx_s* context) const {
  ZSTD_freeDCtx(context);
}

std::optional<std::string> FrameCompression::Compress(std::string_view frames) {
  if (frames.size() < kMinBytes) return std::nullopt;
  if (compressor_ == nullptr) {
    compressor_.reset(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(compressor_.get(), ZSTD_c_compressionLevel, kLevel);
    ZSTD_CCtx_setParameter(compressor_.get(), ZSTD_c_windowLog, kWindowLog);
  }
  std::string payload(ZSTD_compressBound(frames.size()), '\0');
  const size_t size = ZSTD_compress2(compressor_.get(), payload.data(), payload.size(),
                                     frames.data(), frames.size());
  if (ZSTD_isError(size) != 0 || size + frames.size() / kMinSavedDivisor >= frames.size()) {
    return std::nullopt;
  }
  payload.resize(size);
  return EncodeFrame(kCompressedKind, payload);
}

absl::StatusOr<std::string> FrameCompression::Decompress(std::string_view payload,
                                                         size_t max_bytes) {
  const unsigned long long size = ZSTD_getFrameContentSize(payload.data(), payload.size());
  if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > max_bytes) {
    return absl::DataLossError("compressed frames without a valid size, or too large");
  }
  if (decompressor_ == nullptr) decompressor_.reset(ZSTD_createDCtx());
  std::string frames(size, '\0');
  const size_t read = ZSTD_decompressDCtx(decompressor_.get(), frames.data(), frames.size(),
                                          payload.data(), payload.size());
  if (ZSTD_isError(read) != 0 || read != size) {
    return absl::DataLossError("damaged compressed frames");
  }
  return frames;
}

}  // namespace millstair
