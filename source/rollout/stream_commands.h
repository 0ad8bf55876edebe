/// Commands, queries and results of a stream group: steps, samples, hand-on.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "common/ids.h"
#include "common/time.h"
#include "engine/engine_types.h"

namespace millstair {

struct Prompt {
  SampleId sample;
  std::string text;
  uint32_t max_tokens = 0;
};

/// Creates a step. The same id again with the same prompts changes nothing; with others it is
/// refused.
struct PutStep {
  StepId step;
  std::vector<Prompt> prompts;
};

/// A generated, scored sample.
struct Sample {
  SampleId sample;
  StepId step;
  std::string text;
  uint32_t token_count = 0;
  std::vector<VersionSpan> spans;
  double score = 0;
  AttemptEpoch epoch;
};

/// Accepts a sample if none was accepted for its id and its spans are whole, match published
/// digests and are within the staleness bound.
struct AppendSample {
  Sample sample;
};

/// The stream learns of a published version; ordered against hand-on in this log.
struct NotePublished {
  WeightVersion version;
  WeightDigest digest;
};

/// The trainer reads behind `after` (which acknowledges all up to `after`). Committed before the
/// answer, so that it is ordered against NotePublished.
struct HandOn {
  StreamOffset after;
  uint32_t max_samples = 0;
};

/// Staleness bound from the Stream resource, taken into the log when it changes.
struct SetStalenessBound {
  uint64_t bound = 0;
};

using StreamCommand = std::variant<PutStep, AppendSample, NotePublished, HandOn, SetStalenessBound>;

enum class StreamResultCode : uint8_t {
  kOk = 1,
  kDuplicate = 2,  ///< already there; nothing changed
  kConflict = 3,   ///< same id, other content
  kStale = 4,      ///< beyond the staleness bound: to be generated anew
  kVoid = 5,       ///< spans not whole, or a digest that was not published
  kNotFound = 6,
  kInvalid = 7,
};

/// One position of the stream as handed to the trainer: a sample, or a withdrawal of one that has
/// gone stale since it was first read (its replacement comes at a later offset).
struct HandedOn {
  StreamOffset offset;
  bool withdrawn = false;
  Sample sample;
};

struct StreamResult {
  StreamResultCode code = StreamResultCode::kOk;
  std::vector<HandedOn> handed_on;
  /// Cursor for the next read.
  StreamOffset next;
  /// Newest published version at the hand-on.
  WeightVersion newest;
  std::string message;
};

std::string EncodeStreamCommand(const StreamCommand& command);
absl::StatusOr<StreamCommand> DecodeStreamCommand(std::string_view bytes);
std::string EncodeStreamResult(const StreamResult& result);
absl::StatusOr<StreamResult> DecodeStreamResult(std::string_view bytes);

/// A gateway asks for attempts at samples, for the room it has, and tells what it runs, so that a
/// new leader does not lease the same again.
struct WorkRequest {
  StreamName stream;
  /// Who asks; the leader answers it directly, also when another control node passed this on.
  NodeId gateway;
  uint32_t room = 0;
  struct Running {
    SampleId sample;
    AttemptEpoch epoch;
    uint32_t tokens_done = 0;
  };
  std::vector<Running> running;
  /// Given back unfinished (drain, engine lost), with the tokens so far so that another resumes.
  struct Returned {
    SampleId sample;
    AttemptEpoch epoch;
    std::vector<std::string> tokens;
    std::vector<VersionSpan> spans;
    std::string kv_source;
  };
  std::vector<Returned> returned;
};

/// A leased attempt.
struct Attempt {
  Prompt prompt;
  StepId step;
  AttemptEpoch epoch;
  Duration lease{0};
  std::vector<std::string> resume_tokens;
  std::vector<VersionSpan> resume_spans;
  std::string kv_source;
};

struct WorkReply {
  StreamName stream;
  std::vector<Attempt> attempts;
  /// Attempts that the gateway should stop: done elsewhere, or fenced by a later epoch.
  std::vector<SampleId> cancelled;
};

std::string EncodeWorkRequest(const WorkRequest& request);
absl::StatusOr<WorkRequest> DecodeWorkRequest(std::string_view bytes);
std::string EncodeWorkReply(const WorkReply& reply);
absl::StatusOr<WorkReply> DecodeWorkReply(std::string_view bytes);

}  // namespace millstair
