/// The replicated data of one stream, and its snapshots.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "common/ids.h"
#include "rollout/stream_commands.h"

namespace millstair {

/// Samples of one step.
inline constexpr uint32_t kMaxStepSamples = 16384;

/// Where a sample stands among the steps: steps count up in the order in which they were put.
struct SampleKey {
  uint64_t step_sequence = 0;
  uint32_t index = 0;
  friend auto operator<=>(const SampleKey&, const SampleKey&) = default;  // NOLINT
};

enum class SampleState : uint8_t {
  kOpen = 1,       ///< to be generated
  kAccepted = 2,   ///< held at an offset
  kWithdrawn = 3,  ///< withdrawn after it was read; open again once the withdrawal is acknowledged
  kDone = 4,       ///< read and acknowledged
};

struct SampleRecord {
  std::string text;
  uint32_t max_tokens = 0;
  SampleState state = SampleState::kOpen;
};

struct StepRecord {
  StepId step;
  /// Digest of the prompts, to tell a resend from a conflict.
  uint64_t digest = 0;
  std::vector<SampleRecord> samples;
  /// Samples that are not done.
  uint32_t remaining = 0;
};

/// A step whose samples were all acknowledged.
struct FinishedStep {
  uint64_t sequence = 0;
  uint64_t digest = 0;
  uint32_t sample_count = 0;
};

enum class EntryState : uint8_t {
  kHeld = 1,
  kWithdrawn = 2,
  /// Holds no sample: it only makes the cursor behind a withdrawal larger than any given out
  /// before.
  kMarker = 3,
};

/// One offset of the stream that is not acknowledged yet.
struct StreamEntry {
  SampleKey key;
  EntryState state = EntryState::kHeld;
  /// For a sample that was withdrawn after it had been read: every answer that shows the withdrawal
  /// ends at this offset or behind it, and every answer that shows the sample ends before it. 0 for
  /// one that was never read.
  StreamOffset seen_withdrawn_from;
  /// Without text and spans once it is withdrawn.
  Sample sample;
};

struct StreamData {
  uint64_t staleness_bound = 0;
  /// Digests of the newest published versions.
  std::map<WeightVersion, WeightDigest> published;
  WeightVersion newest;
  /// Newest version as the hand-on sees it; equals `newest` except under a fault switch.
  WeightVersion newest_at_delivery;

  uint64_t next_step = 1;
  std::map<uint64_t, StepRecord> steps;
  std::map<StepId, uint64_t> step_sequences;
  std::map<StepId, FinishedStep> finished_steps;
  /// Finished steps by sequence, the oldest first, to forget.
  std::map<uint64_t, StepId> finished_order;

  std::map<StreamOffset, StreamEntry> entries;
  StreamOffset last_offset;
  StreamOffset acknowledged;
  /// Largest cursor given out.
  StreamOffset delivered_through;
  /// Cursors given out behind `acknowledged`.
  std::set<StreamOffset> issued_cursors;

  /// Derived: samples in state kOpen, and bytes held in memory.
  std::set<SampleKey> open;
  uint64_t prompt_bytes = 0;
  uint64_t payload_bytes = 0;
};

std::string EncodeStreamSnapshot(const StreamData& data);
/// DataLoss if `bytes` is not a whole snapshot.
absl::StatusOr<StreamData> DecodeStreamSnapshot(std::string_view bytes);

}  // namespace millstair
