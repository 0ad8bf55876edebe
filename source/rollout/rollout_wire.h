/// Conversions between the rollout's C++ types and the nanopb messages of api/rollout.proto that
/// commands, work exchange and snapshots share. Internal to rollout/.
#pragma once

#include <string>
#include <vector>

#include "api/generated/rollout.pb.h"
#include "rollout/stream_commands.h"
#include "wire/nanopb_message.h"

namespace millstair {

/// Fills `out` with memory of `arena`.
void FillSpans(WireArena& arena, const std::vector<VersionSpan>& spans, pb_size_t* count,
               millstair_RolloutSpan** out);
void FillPrompt(WireArena& arena, const Prompt& prompt, millstair_RolloutPrompt* out);
void FillSample(WireArena& arena, const Sample& sample, millstair_RolloutSample* out);

std::vector<VersionSpan> ReadSpans(const millstair_RolloutSpan* spans, pb_size_t count);
Prompt ReadPrompt(const millstair_RolloutPrompt& message);
Sample ReadSample(const millstair_RolloutSample& message);

/// Words joined by single spaces, and back. No word may be empty or hold a space.
std::string JoinTokens(const std::vector<std::string>& tokens);
std::vector<std::string> SplitTokens(std::string_view text);

}  // namespace millstair
