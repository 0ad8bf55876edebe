#include "rollout/rollout_wire.h"

#include "engine/prefix_blocks.h"

namespace millstair {

void FillSpans(WireArena& arena, const std::vector<VersionSpan>& spans, pb_size_t* count,
               millstair_RolloutSpan** out) {
  *out = arena.NewArray<millstair_RolloutSpan>(spans.size());
  *count = static_cast<pb_size_t>(spans.size());
  for (size_t i = 0; i < spans.size(); ++i) {
    millstair_RolloutSpan& span = (*out)[i];
    span.version = spans[i].version.value();
    span.digest = arena.NewString(spans[i].digest.value());
    span.engine_incarnation = spans[i].engine_incarnation.value();
    span.first_token = spans[i].first_token;
    span.token_count = spans[i].token_count;
  }
}

void FillPrompt(WireArena& arena, const Prompt& prompt, millstair_RolloutPrompt* out) {
  out->sample = arena.NewString(prompt.sample.value());
  out->text = arena.NewChunkedBytes(prompt.text, &out->text_count);
  out->max_tokens = prompt.max_tokens;
}

void FillSample(WireArena& arena, const Sample& sample, millstair_RolloutSample* out) {
  out->sample = arena.NewString(sample.sample.value());
  out->step = arena.NewString(sample.step.value());
  out->text = arena.NewChunkedBytes(sample.text, &out->text_count);
  out->token_count = sample.token_count;
  FillSpans(arena, sample.spans, &out->spans_count, &out->spans);
  out->score = sample.score;
  out->epoch = sample.epoch.value();
}

std::vector<VersionSpan> ReadSpans(const millstair_RolloutSpan* spans, pb_size_t count) {
  std::vector<VersionSpan> result;
  result.reserve(count);
  for (pb_size_t i = 0; i < count; ++i) {
    result.push_back({WeightVersion(spans[i].version), WeightDigest(ToString(spans[i].digest)),
                      Incarnation(spans[i].engine_incarnation), spans[i].first_token,
                      spans[i].token_count});
  }
  return result;
}

Prompt ReadPrompt(const millstair_RolloutPrompt& message) {
  return {SampleId(ToString(message.sample)), JoinBytes(message.text, message.text_count),
          message.max_tokens};
}

Sample ReadSample(const millstair_RolloutSample& message) {
  Sample sample;
  sample.sample = SampleId(ToString(message.sample));
  sample.step = StepId(ToString(message.step));
  sample.text = JoinBytes(message.text, message.text_count);
  sample.token_count = message.token_count;
  sample.spans = ReadSpans(message.spans, message.spans_count);
  sample.score = message.score;
  sample.epoch = AttemptEpoch(message.epoch);
  return sample;
}

std::string JoinTokens(const std::vector<std::string>& tokens) {
  std::string text;
  for (const std::string& token : tokens) {
    if (!text.empty()) text += ' ';
    text += token;
  }
  return text;
}

std::vector<std::string> SplitTokens(std::string_view text) {
  std::vector<std::string> tokens;
  ForEachToken(text, [&tokens](std::string_view token) { tokens.emplace_back(token); });
  return tokens;
}

}  // namespace millstair
