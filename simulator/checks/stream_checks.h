/// Checks of what trainers received: exactly once, fresh enough, and under the weights named.
#pragma once

#include <functional>
#include <string>

#include "simulator/checks/check_result.h"
#include "simulator/checks/history.h"

namespace millstair::checks {

/// What an honest engine generates. Given by the run, so that the checks link no engine code.
struct TextOracle {
  std::function<std::string(const std::string& prompt, uint32_t token, WeightVersion version)>
      token_text;
  std::function<uint32_t(const std::string& prompt, uint32_t max_tokens)> generation_length;
};

/// Each sample id reaches the trainer at one offset; the same offset always holds the same sample
/// or, later, its withdrawal; a withdrawn sample may come again only at a larger offset, and never
/// once it was acknowledged; offsets follow each other without a gap; nothing unasked comes.
CheckResult CheckExactlyOnce(const History& history);

/// No sample is older than its stream's bound, measured against the newest version whose
/// publishing was acknowledged before the read was sent.
CheckResult CheckStaleness(const History& history);

/// Spans cover the sample without gap or overlap, and the engines truly generated those tokens of
/// that prompt under those weights.
CheckResult CheckClaimedVersions(const History& history);

/// The text of a sample is the whole answer to its own prompt under the versions it names.
CheckResult CheckSampleText(const History& history, const TextOracle& oracle);

}  // namespace millstair::checks
