/// Commands, queries and results of a stream group.
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

/// Creates a step. Idempotent for the same prompts; refused if the id exists with other prompts.
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

/// Accepts a sample if none was accepted for its id, and its spans are complete, match published
/// digests and are within the staleness bound.
struct AppendSample {
  Sample sample;
};

/// Records a published version in the log of the stream, which orders it against deliveries.
struct RecordPublishedVersion {
  WeightVersion version;
  WeightDigest digest;
};

/// Delivers samples after the cursor `after` to the trainer and acknowledges everything up to it.
/// Committed before the response, so that it is ordered against RecordPublishedVersion.
struct DeliverSamples {
  StreamOffset after;
  uint32_t max_samples = 0;
};

/// Staleness bound of the Stream resource, recorded in the log when it changes.
struct SetStalenessBound {
  uint64_t bound = 0;
};

using StreamCommand =
    std::variant<PutStep, AppendSample, RecordPublishedVersion, DeliverSamples, SetStalenessBound>;

enum class StreamResultCode : uint8_t {
  kOk = 1,
  kDuplicate = 2,  ///< exists already; nothing changed
  kConflict = 3,   ///< same id, different content
  kStale = 4,      ///< beyond the staleness bound; must be generated again
  kVoid = 5,       ///< spans incomplete, or a digest that was not published
  kNotFound = 6,
  kInvalid = 7,
  kFull = 8,  ///< stream at capacity; retry after samples were read
};

/// One offset of the stream as delivered to the trainer: a sample, or the withdrawal of a sample
/// that became stale after it was first read. Its replacement has a later offset.
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
  /// Newest published version at the delivery.
  WeightVersion newest;
  std::string message;
};

std::string EncodeStreamCommand(const StreamCommand& command);
absl::StatusOr<StreamCommand> DecodeStreamCommand(std::string_view bytes);
std::string EncodeStreamResult(const StreamResult& result);
absl::StatusOr<StreamResult> DecodeStreamResult(std::string_view bytes);

/// A gateway requests attempts for its free slots and reports the attempts that it runs, so that a
/// new leader does not grant them again.
struct WorkRequest {
  StreamName stream;
  /// The requesting gateway; the leader replies to it directly, even if another control node
  /// forwarded the request.
  NodeId gateway;
  uint32_t free_slots = 0;
  /// Increases with each request of a gateway for this stream.
  uint64_t sequence = 0;
  struct Running {
    SampleId sample;
    AttemptEpoch epoch;
    uint32_t tokens_done = 0;
    /// Oldest version among its tokens so far; 0 before the first token.
    WeightVersion oldest_version;
  };
  std::vector<Running> running;
  /// Attempts returned unfinished (drain, engine failure), with their tokens so that another
  /// attempt can resume.
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
  /// Expected length of the complete sample.
  uint32_t expected_tokens = 0;
};

struct WorkReply {
  StreamName stream;
  std::vector<Attempt> attempts;
  /// Attempts that the gateway must stop: completed elsewhere, too stale, or fenced by a later
  /// epoch. Later attempts at the same sample continue.
  struct Cancelled {
    SampleId sample;
    AttemptEpoch epoch;
  };
  std::vector<Cancelled> cancelled;
  /// Newest request of the gateway that the leader had processed; 0 if none.
  uint64_t answered = 0;
};

/// Queries whether anything can be read after `after`. The leader delays the reply for up to `wait`
/// while there is nothing. Only a hint; DeliverSamples decides.
struct CursorQuery {
  StreamOffset after;
  std::chrono::milliseconds wait{0};
};

struct CursorStatus {
  /// Everything up to here was acknowledged by a committed read.
  StreamOffset acknowledged;
  StreamOffset last_offset;
  WeightVersion newest;
  /// Samples requested and not accepted yet.
  uint32_t open_samples = 0;
};

std::string EncodeCursorQuery(const CursorQuery& query);
absl::StatusOr<CursorQuery> DecodeCursorQuery(std::string_view bytes);
std::string EncodeCursorStatus(const CursorStatus& status);
absl::StatusOr<CursorStatus> DecodeCursorStatus(std::string_view bytes);

/// Raft group that holds the log of `stream`.
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
