/// Collects the tokens of one sample and the weight versions that produced them, solely from what
/// the engines report in their streams.
#pragma once

#include <string>
#include <vector>

#include "cluster/configuration.h"
#include "engine/engine_types.h"

namespace millstair {

/// Oldest version in `spans`; 0 if there is none.
WeightVersion OldestVersionOf(const std::vector<VersionSpan>& spans);

/// Value type, owned by its attempt.
class SpanCollector {
 public:
  /// Resumes from tokens that were generated elsewhere.
  void Resume(std::vector<std::string> tokens, std::vector<VersionSpan> spans);
  void Clear();
  /// Begins a new stream, possibly from another engine.
  void BeginStream() { stream_incarnation_ = Incarnation(); }
  /// Adds a chunk. Returns an error if the collected sample becomes unusable: a gap or overlap in
  /// the tokens, a changed engine incarnation within the stream, or a digest that differs from the
  /// published one of its version. `published` may lag: a version newer than all listed is accepted
  /// here and checked when the sample is appended.
  absl::Status Add(const GenerateChunk& chunk, const std::vector<PublishedVersion>& published);

  const std::vector<std::string>& tokens() const { return tokens_; }
  const std::vector<VersionSpan>& spans() const { return spans_; }
  uint32_t token_count() const { return static_cast<uint32_t>(tokens_.size()); }

 private:
  std::vector<std::string> tokens_;
  std::vector<VersionSpan> spans_;
  Incarnation stream_incarnation_;
};

}  // namespace millstair
