/// Conversions between the C++ types of the rollout and the nanopb messages of api/rollout.proto
/// that commands, work requests and snapshots share. Internal to rollout/.
#pragma once

#include <string>
#include <vector>

#include "api/generated/rollout.pb.h"
#include "rollout/stream_commands.h"
#include "wire/nanopb_message.h"

namespace millstair {

/// Fill `out`, allocating from `arena`.
void FillSpans(WireArena& arena, const std::vector<VersionSpan>& spans, pb_size_t* count,
               millstair_RolloutSpan** out);
void FillPrompt(WireArena& arena, const Prompt& prompt, millstair_RolloutPrompt* out);
void FillSample(WireArena& arena, const Sample& sample, millstair_RolloutSample* out);

std::vector<VersionSpan> ReadSpans(const millstair_RolloutSpan* spans, pb_size_t count);
Prompt ReadPrompt(const millstair_RolloutPrompt& message);
Sample ReadSample(const millstair_RolloutSample& message);

/// Join tokens by single spaces, and split them again. Tokens must not be empty or contain spaces.
std::string JoinTokens(const std::vector<std::string>& tokens);
std::vector<std::string> SplitTokens(std::string_view text);

}  // namespace millstair
