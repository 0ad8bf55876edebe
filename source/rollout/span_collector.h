/// Collects the tokens of one sample and the weights that produced them, from what engines say in
/// their own streams and from nothing else.
#pragma once

#include <string>
#include <vector>

#include "cluster/configuration.h"
#include "engine/engine_types.h"

namespace millstair {

/// Oldest version in `spans`; 0 if there is none.
WeightVersion OldestVersionOf(const std::vector<VersionSpan>& spans);

/// Value type; lives in its attempt.
class SpanCollector {
 public:
  /// Starts from tokens that were generated elsewhere.
  void Resume(std::vector<std::string> tokens, std::vector<VersionSpan> spans);
  void Clear();
  /// A new stream begins; its engine may be another one.
  void BeginStream() { stream_incarnation_ = Incarnation(); }
  /// Takes a chunk in. Not OK, with the reason, if it makes what was collected unusable: a gap or
  /// overlap in the tokens, an engine that changed its incarnation within the stream, or a digest
  /// that is not the one published for its version. `published` may lag; a version that it does
  /// not know yet is taken, and judged when the sample is appended.
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
