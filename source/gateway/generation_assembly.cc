#include "gateway/generation_assembly.h"

namespace millstair {

bool WeightsPublished(const GenerateChunk& chunk, const ModelStatus* model) {
  if (model == nullptr || model->published.empty()) return true;
  WeightVersion newest;
  for (const PublishedVersion& published : model->published) {
    if (published.version == chunk.version) return published.digest == chunk.digest;
    newest = std::max(newest, published.version);
  }
  return chunk.version < newest;
}

absl::Status GenerationAssembly::Accept(const GenerateChunk& chunk, const ModelStatus* model) {
  if (chunk.first_token != tokens_.size()) {
    return absl::DataLossError("the chunk does not follow the tokens received");
  }
  if (incarnation_known_ && chunk.engine_incarnation != incarnation_) {
    return absl::DataLossError("the chunk comes from another incarnation of the engine");
  }
  if (!chunk.tokens.empty() && !WeightsPublished(chunk, model)) {
    return absl::FailedPreconditionError("the chunk comes from weights that were not published");
  }
  incarnation_known_ = true;
  incarnation_ = chunk.engine_incarnation;
  if (chunk.tokens.empty()) return absl::OkStatus();
  tokens_.insert(tokens_.end(), chunk.tokens.begin(), chunk.tokens.end());
  const auto count = static_cast<uint32_t>(chunk.tokens.size());
  if (!spans_.empty()) {
    VersionSpan& last = spans_.back();
    if (last.version == chunk.version && last.digest == chunk.digest &&
        last.engine_incarnation == chunk.engine_incarnation) {
      last.token_count += count;
      return absl::OkStatus();
    }
  }
  spans_.push_back(
      {chunk.version, chunk.digest, chunk.engine_incarnation, chunk.first_token, count});
  return absl::OkStatus();
}

std::string GenerationAssembly::TextFrom(size_t first) const {
  std::string text;
  for (size_t i = first; i < tokens_.size(); ++i) {
    if (i > 0) text += ' ';
    text += tokens_[i];
  }
  return text;
}

}  // namespace millstair
