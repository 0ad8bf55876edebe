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
struct RecordPublishedVersion {
  WeightVersion version;
  WeightDigest digest;
};

/// The trainer reads behind `after` (which acknowledges all up to `after`). Committed before the
/// answer, so that it is ordered against RecordPublishedVersion.
struct DeliverSamples {
  StreamOffset after;
  uint32_t max_samples = 0;
};

/// Staleness bound from the Stream resource, taken into the log when it changes.
struct SetStalenessBound {
  uint64_t bound = 0;
};

using StreamCommand =
    std::variant<PutStep, AppendSample, RecordPublishedVersion, DeliverSamples, SetStalenessBound>;

enum class StreamResultCode : uint8_t {
  kOk = 1,
  kDuplicate = 2,  ///< already there; nothing changed
  kConflict = 3,   ///< same id, other content
  kStale = 4,      ///< beyond the staleness bound: to be generated anew
  kVoid = 5,       ///< spans not whole, or a digest that was not published
  kNotFound = 6,
  kInvalid = 7,
  kFull = 8,  ///< the stream holds as much as it may; come back once samples were read
};

/// One position of the stream as handed to the trainer: a sample, or a withdrawal of one that has
/// gone stale since it was first read (its replacement comes at a later offset).
struct DeliveredEntry {
  StreamOffset offset;
  bool withdrawn = false;
  Sample sample;
};

struct StreamResult {
  StreamResultCode code = StreamResultCode::kOk;
  std::vector<DeliveredEntry> delivered;
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

/// A gateway asks for attempts at samples, for the free_slots it has, and tells what it runs, so
/// that a new leader does not lease the same again.
struct WorkRequest {
  StreamName stream;
  /// Who asks; the leader answers it directly, also when another control node passed this on.
  NodeId gateway;
  uint32_t free_slots = 0;
  /// Counts up over the requests of one gateway for this stream.
  uint64_t sequence = 0;
  struct Running {
    SampleId sample;
    AttemptEpoch epoch;
    uint32_t tokens_done = 0;
    /// Oldest weights in it so far; 0 before the first token.
    WeightVersion oldest_version;
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
  /// Tokens that the whole sample is expected to have.
  uint32_t expected_tokens = 0;
};

struct WorkReply {
  StreamName stream;
  std::vector<Attempt> attempts;
  /// Attempts that the gateway should stop: done elsewhere, too old to be of use, or fenced by a
  /// later epoch. Later attempts at the same sample go on.
  struct Cancelled {
    SampleId sample;
    AttemptEpoch epoch;
  };
  std::vector<Cancelled> cancelled;
  /// Newest request of the gateway that the leader had taken in; 0 if none.
  uint64_t answered = 0;
};

/// Query of a stream: asks whether there is something to read behind `after`. The leader holds the
/// answer back for up to `wait` while there is nothing. A hint only; DeliverSamples decides.
struct CursorQuery {
  StreamOffset after;
  std::chrono::milliseconds wait{0};
};

struct CursorStatus {
  /// Everything up to here was acknowledged by a read that is committed.
  StreamOffset acknowledged;
  StreamOffset last_offset;
  WeightVersion newest;
  /// Samples asked for and not accepted yet.
  uint32_t open_samples = 0;
};

std::string EncodeCursorQuery(const CursorQuery& query);
absl::StatusOr<CursorQuery> DecodeCursorQuery(std::string_view bytes);
std::string EncodeCursorStatus(const CursorStatus& status);
absl::StatusOr<CursorStatus> DecodeCursorStatus(std::string_view bytes);

/// Group that holds the log of `stream`.
inline GroupId StreamGroup(const StreamName& stream) { return GroupId("stream/" + stream.value()); }
/// Stream of `group`, "stream/<name>" or "stream/<name>@<generation>"; empty if it is no stream
/// group.
inline StreamName StreamOfGroup(const GroupId& group) {
  constexpr std::string_view kPrefix = "stream/";
  if (!group.value().starts_with(kPrefix)) return StreamName();
  const std::string name = group.value().substr(kPrefix.size());
  return StreamName(name.substr(0, name.rfind('@')));
}

std::string EncodeWorkRequest(const WorkRequest& request);
absl::StatusOr<WorkRequest> DecodeWorkRequest(std::string_view bytes);
std::string EncodeWorkReply(const WorkReply& reply);
absl::StatusOr<WorkReply> DecodeWorkReply(std::string_view bytes);

}  // namespace millstair
