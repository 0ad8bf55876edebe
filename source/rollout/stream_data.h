/// Replicated state of one stream, and its snapshots.
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

/// Maximum number of samples of one step.
inline constexpr uint32_t kMaxStepSamples = 16384;

/// Position of a sample: sequence number of its step, which increases in the order of creation, and
/// index in the step.
struct SampleKey {
  uint64_t step_sequence = 0;
  uint32_t index = 0;
  friend auto operator<=>(const SampleKey&, const SampleKey&) = default;  // NOLINT
};

enum class SampleState : uint8_t {
  kOpen = 1,       ///< to be generated
  kAccepted = 2,   ///< stored at an offset
  kWithdrawn = 3,  ///< withdrawn after a read; open once the withdrawal is acknowledged
  kDone = 4,       ///< read and acknowledged
};

struct SampleRecord {
  std::string text;
  uint32_t max_tokens = 0;
  SampleState state = SampleState::kOpen;
};

struct StepRecord {
  StepId step;
  /// Digest of the prompts, which distinguishes a repeated request from a conflicting one.
  uint64_t digest = 0;
  std::vector<SampleRecord> samples;
  /// Samples that are not done.
  uint32_t remaining = 0;
};

/// A step whose samples are all acknowledged.
struct FinishedStep {
  uint64_t sequence = 0;
  uint64_t digest = 0;
  uint32_t sample_count = 0;
};

enum class EntryState : uint8_t {
  kHeld = 1,
  kWithdrawn = 2,
  /// Holds no sample; makes the cursor after a withdrawal larger than any issued before.
  kMarker = 3,
};

/// One offset of the stream that is not acknowledged yet.
struct StreamEntry {
  SampleKey key;
  EntryState state = EntryState::kHeld;
  /// For a sample withdrawn after it was read: every response that shows the withdrawal ends at or
  /// after this offset, and every response that shows the sample ends before it. 0 for a sample
  /// that was never read.
  StreamOffset seen_withdrawn_from;
  /// Text and spans are cleared on withdrawal.
  Sample sample;
};

struct StreamData {
  uint64_t staleness_bound = 0;
  /// Digests of the newest published versions.
  std::map<WeightVersion, WeightDigest> published;
  WeightVersion newest;
  /// Newest version as seen by deliveries; equals `newest` unless a fault switch is set.
  WeightVersion newest_at_delivery;

  uint64_t next_step = 1;
  std::map<uint64_t, StepRecord> steps;
  std::map<StepId, uint64_t> step_sequences;
  std::map<StepId, FinishedStep> finished_steps;
  /// Finished steps by sequence number, oldest first, for eviction.
  std::map<uint64_t, StepId> finished_order;

  std::map<StreamOffset, StreamEntry> entries;
  StreamOffset last_offset;
  StreamOffset acknowledged;
  /// Largest cursor issued.
  StreamOffset delivered_through;
  /// Cursors issued after `acknowledged`.
  std::set<StreamOffset> issued_cursors;

  /// Derived: samples in state kOpen, and bytes in memory.
  std::set<SampleKey> open;
  uint64_t prompt_bytes = 0;
  uint64_t payload_bytes = 0;
};

std::string EncodeStreamSnapshot(const StreamData& data);
/// DataLoss if `bytes` is not a complete snapshot.
absl::StatusOr<StreamData> DecodeStreamSnapshot(std::string_view bytes);

}  // namespace millstair
