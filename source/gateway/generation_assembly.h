/// Assembles the chunks of one generation across all engines that produced them. Rejects gaps,
/// duplicates, chunks of another engine incarnation and weights that were never published.
#pragma once

#include <string>
#include <vector>

#include "absl/status/status.h"
#include "cluster/configuration.h"
#include "engine/engine_types.h"

namespace millstair {

class GenerationAssembly {
 public:
  /// Another engine resumes after the tokens received so far.
  void BeginAttempt() { incarnation_known_ = false; }

  /// Appends `chunk`. DataLoss if it does not start after the last token or comes from another
  /// incarnation of the engine; FailedPrecondition if its weights are not those published for
  /// `model`. An error leaves the assembly unchanged.
  absl::Status Accept(const GenerateChunk& chunk, const ModelStatus* model);

  const std::vector<std::string>& tokens() const { return tokens_; }
  const std::vector<VersionSpan>& spans() const { return spans_; }
  /// Text of the tokens from `first` on, with the space that separates it from the text before.
  std::string TextFrom(size_t first) const;

 private:
  std::vector<std::string> tokens_;
  std::vector<VersionSpan> spans_;
  bool incarnation_known_ = false;
  Incarnation incarnation_;
};

/// Whether the weights of `chunk` were published: its version is listed with the same digest.
/// Unlisted versions are accepted if older than the newest published one, rejected if newer.
bool WeightsPublished(const GenerateChunk& chunk, const ModelStatus* model);

}  // namespace millstair
