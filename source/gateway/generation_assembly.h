/// Puts the chunks of one generation together, over all engines that worked on it, and refuses
/// what does not fit: a gap, a repeat, another engine's chunk, weights that were never published.
#pragma once

#include <string>
#include <vector>

#include "absl/status/status.h"
#include "cluster/configuration.h"
#include "engine/engine_types.h"

namespace millstair {

class GenerationAssembly {
 public:
  /// A further engine goes on behind the tokens so far.
  void BeginAttempt() { incarnation_known_ = false; }

  /// Takes over `chunk`. DataLoss if it does not go on where the tokens end or comes from another
  /// life of the engine; FailedPrecondition if its weights are not those published for `model`.
  /// Nothing changes on an error.
  absl::Status Accept(const GenerateChunk& chunk, const ModelStatus* model);

  const std::vector<std::string>& tokens() const { return tokens_; }
  const std::vector<VersionSpan>& spans() const { return spans_; }
  /// Text of the tokens from `first` on, with the space that parts it from what came before.
  std::string TextFrom(size_t first) const;

 private:
  std::vector<std::string> tokens_;
  std::vector<VersionSpan> spans_;
  bool incarnation_known_ = false;
  Incarnation incarnation_;
};

/// Whether `chunk`'s weights may be shown: their digest is the published one. Versions that the
/// configuration no longer lists are believed, later ones than the newest are not.
bool WeightsPublished(const GenerateChunk& chunk, const ModelStatus* model);

}  // namespace millstair
