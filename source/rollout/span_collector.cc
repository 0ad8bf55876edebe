#include "rollout/span_collector.h"

#include <algorithm>

#include "fmt/format.h"

namespace millstair {
namespace {

/// Whether `digest` differs from the published digest of `version`.
bool Contradicts(const std::vector<PublishedVersion>& published, WeightVersion version,
                 const WeightDigest& digest) {
  WeightVersion newest;
  for (const PublishedVersion& candidate : published) {
    if (candidate.version == version) return candidate.digest != digest;
    newest = std::max(newest, candidate.version);
  }
  // Not in the list: a version newer than all listed may be unknown here yet, any other was never
  // published.
  return version < newest;
}

}  // namespace

WeightVersion OldestVersionOf(const std::vector<VersionSpan>& spans) {
  if (spans.empty()) return WeightVersion();
  WeightVersion oldest = spans.front().version;
  for (const VersionSpan& span : spans) oldest = std::min(oldest, span.version);
  return oldest;
}

void SpanCollector::Resume(std::vector<std::string> tokens, std::vector<VersionSpan> spans) {
  uint32_t covered = 0;
  for (const VersionSpan& span : spans) {
    if (span.first_token != covered) break;
    covered += span.token_count;
  }
  // Tokens without a known version are unusable.
  if (covered != tokens.size()) return Clear();
  tokens_ = std::move(tokens);
  spans_ = std::move(spans);
}

void SpanCollector::Clear() {
  tokens_.clear();
  spans_.clear();
}

absl::Status SpanCollector::Add(const GenerateChunk& chunk,
                                const std::vector<PublishedVersion>& published) {
  if (stream_incarnation_.value() == 0) stream_incarnation_ = chunk.engine_incarnation;
  if (chunk.engine_incarnation != stream_incarnation_) {
    return absl::DataLossError("engine incarnation changed within a stream");
  }
  if (chunk.tokens.empty()) return absl::OkStatus();
  if (chunk.first_token != tokens_.size()) {
    return absl::DataLossError(
        fmt::format("chunk begins at token {}, expected {}", chunk.first_token, tokens_.size()));
  }
  if (chunk.version.value() == 0 || chunk.digest.value().empty() ||
      Contradicts(published, chunk.version, chunk.digest)) {
    return absl::DataLossError(fmt::format("version {} was not published with digest {}",
                                           chunk.version.value(), chunk.digest.value()));
  }
  tokens_.insert(tokens_.end(), chunk.tokens.begin(), chunk.tokens.end());
  const auto count = static_cast<uint32_t>(chunk.tokens.size());
  const bool continues = !spans_.empty() && spans_.back().version == chunk.version &&
                         spans_.back().digest == chunk.digest &&
                         spans_.back().engine_incarnation == chunk.engine_incarnation;
  if (continues) {
    spans_.back().token_count += count;
  } else {
    spans_.push_back(
        {chunk.version, chunk.digest, chunk.engine_incarnation, chunk.first_token, count});
  }
  return absl::OkStatus();
}

}  // namespace millstair
