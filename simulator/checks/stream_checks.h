/// Checks of the samples that trainers received: delivery, staleness, reported weights and text.
#pragma once

#include <functional>
#include <string>

#include "simulator/checks/check_result.h"
#include "simulator/checks/history.h"

namespace millstair::checks {

/// Text that a correct engine generates. Supplied by the run; the checks link no engine code.
struct TextOracle {
  std::function<std::string(const std::string& prompt, uint32_t token, WeightVersion version)>
      token_text;
  std::function<uint32_t(const std::string& prompt, uint32_t max_tokens)> generation_length;
};

/// Each sample id is delivered at one offset. An offset always holds the same sample or, later, its
/// withdrawal. A withdrawn sample may reappear only at a larger offset, and never once it was
/// acknowledged. Offsets have no gaps, and only requested samples are delivered.
CheckResult CheckExactlyOnce(const History& history);

/// No sample exceeds the staleness bound of its stream, relative to the newest version whose
/// publication was acknowledged before the read was sent.
CheckResult CheckStaleness(const History& history);

/// Spans cover the sample without gap or overlap, and the engines generated those tokens of that
/// prompt with the reported weights.
CheckResult CheckClaimedVersions(const History& history);

/// The text of a sample is the complete output for its own prompt under the reported versions.
CheckResult CheckSampleText(const History& history, const TextOracle& oracle);

}  // namespace millstair::checks
