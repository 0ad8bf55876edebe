/// JSON encoding of the engine protocol: requests, chunks, orders, reports, cache events.
///
/// Unknown members are ignored, so that either side may be newer. Decoding errors are
/// InvalidArgument and name every invalid member: "generate request: max_tokens: missing".
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "engine/engine_types.h"

namespace millstair {

std::string EncodeGenerateRequest(const GenerateRequest& request);
absl::StatusOr<GenerateRequest> DecodeGenerateRequest(std::string_view json);

/// One line without its newline.
std::string EncodeGenerateChunk(const GenerateChunk& chunk);
absl::StatusOr<GenerateChunk> DecodeGenerateChunk(std::string_view json);

std::string EncodeEngineOrder(const EngineOrder& order);
absl::StatusOr<EngineOrder> DecodeEngineOrder(std::string_view json);

std::string EncodeEngineReport(const EngineReport& report);
absl::StatusOr<EngineReport> DecodeEngineReport(std::string_view json);

std::string EncodeCacheEvents(const CacheEvents& events);
absl::StatusOr<CacheEvents> DecodeCacheEvents(std::string_view json);

/// {"blocks":["<hex>",...]}.
std::string EncodeBlockList(const std::vector<BlockHash>& blocks);
absl::StatusOr<std::vector<BlockHash>> DecodeBlockList(std::string_view json);

}  // namespace millstair
