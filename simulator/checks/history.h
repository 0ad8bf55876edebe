/// Observations of one run by the parties outside the product: callers, trainers, operators, back
/// ends, engines and the platform. The checks use these records alone and link no decision code of
/// the product. All times are true time since the start of the run.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/time.h"

namespace millstair::checks {

/// True time since the start of the run, independent of the nodes' clocks.
using RunTime = Duration;

/// Outcome reported by the `Millstair-Outcome` header.
enum class ClaimedOutcome : uint8_t { kNone, kRan, kNotRun, kUnknown };

// --- operators ---------------------------------------------------------------------------------

enum class ResourceAction : uint8_t { kPut, kDelete, kRead };

enum class ResourceEnd : uint8_t {
  kDone,       ///< changed, or read
  kConflict,   ///< compare-and-set failed
  kMissing,    ///< nothing stored under the name
  kRefused,    ///< reported as not run
  kUnanswered  ///< no reply, or a reply with outcome unknown
};

/// One operation on one resource, including its resends.
struct ResourceOperation {
  ClientId client;
  /// "Kind/name".
  std::string resource;
  ResourceAction action = ResourceAction::kRead;
  /// Version that must be stored: 0 requires absence, nullopt any state.
  std::optional<Revision> expected;
  /// Value written (unique within the run) or read.
  std::string value;
  /// On a conflict: the stored value, if the reply contained it.
  std::string found_value;
  /// First send.
  RunTime invoked{0};
  /// Reply to any of the sends; nullopt for kUnanswered.
  std::optional<RunTime> returned;
  ResourceEnd end = ResourceEnd::kUnanswered;
  /// Version written, read, or found on a conflict; 0 if the reply contained none.
  Revision version;
};

// --- trainers ----------------------------------------------------------------------------------

/// Configured properties of a stream.
struct StreamTerms {
  StreamName stream;
  ModelName model;
  uint64_t staleness_bound = 0;
};

/// A span of tokens with the weights reported to have produced it.
struct ClaimedSpan {
  WeightVersion version;
  WeightDigest digest;
  Incarnation engine_incarnation;
  uint32_t first_token = 0;
  uint32_t token_count = 0;
  friend bool operator==(const ClaimedSpan&, const ClaimedSpan&) = default;
};

struct StepPut {
  StreamName stream;
  StepId step;
  struct Prompt {
    SampleId sample;
    std::string text;
    uint32_t max_tokens = 0;
  };
  std::vector<Prompt> prompts;
  RunTime sent{0};
  /// When the trainer received the acknowledgement of the step.
  std::optional<RunTime> acknowledged;
  /// When the trainer had received every sample of the step.
  std::optional<RunTime> completed;
};

/// One position of a stream, as a trainer received it.
struct ReceivedSample {
  StreamOffset offset;
  bool withdrawn = false;
  SampleId sample;
  StepId step;
  std::string text;
  uint32_t token_count = 0;
  double score = 0;
  std::vector<ClaimedSpan> spans;
  friend bool operator==(const ReceivedSample&, const ReceivedSample&) = default;
};

/// A read whose response reached the trainer; other reads are not recorded.
struct CursorRead {
  StreamName stream;
  StreamOffset after;
  StreamOffset next;
  std::vector<ReceivedSample> samples;
  RunTime sent{0};
  RunTime answered{0};
};

struct VersionPublish {
  ModelName model;
  WeightVersion version;
  WeightDigest digest;
  RunTime sent{0};
  std::optional<RunTime> acknowledged;
};

// --- callers -----------------------------------------------------------------------------------

enum class CallKind : uint8_t { kCompletion, kPage, kLookup, kBooking };

enum class CallEnd : uint8_t {
  kComplete,    ///< ended regularly with a status of success
  kRefused,     ///< ended regularly with an error status
  kCut,         ///< the response began but was incomplete
  kUnanswered,  ///< no response
  kAbandoned    ///< the caller disconnected by itself
};

/// One attempt of a request. Each resend is a separate attempt.
struct CallAttempt {
  CallKind kind = CallKind::kPage;
  /// Unique per attempt; visible to back ends.
  std::string attempt_id;
  /// Idempotency key, shared by all attempts of a booking; empty otherwise.
  std::string key;
  NodeId gateway;
  std::string prompt;
  uint32_t max_tokens = 0;
  /// Plain calls: the complete response body, unique to this request.
  std::string expected_body;
  RunTime sent{0};
  std::optional<RunTime> first_byte;
  std::optional<RunTime> ended;
  CallEnd end = CallEnd::kUnanswered;
  int status = 0;
  ClaimedOutcome outcome = ClaimedOutcome::kNone;
  /// Completions: tokens received, and the versions reported for them, if any.
  std::vector<std::string> tokens;
  std::vector<ClaimedSpan> spans;
  std::string body;
};

// --- back ends and engines ---------------------------------------------------------------------

/// Start of the execution of a request by a plain back end.
struct BackendExecution {
  EngineName backend;
  std::string attempt_id;
  std::string key;
  RunTime at{0};
};

/// Tokens that an engine generated for `prompt`, with the weights that it actually used.
struct GeneratedTokens {
  EngineName engine;
  Incarnation incarnation;
  std::string prompt;
  uint32_t first_token = 0;
  uint32_t token_count = 0;
  WeightVersion version;
  WeightDigest digest;
};

/// Arrival of a request or order at a back end, accepted or not.
struct BackendArrival {
  EngineName backend;
  RunTime at{0};
  /// Description for the report.
  std::string what;
};

enum class LeavingSource : uint8_t { kOperator, kPlatformList, kSelfReported };

/// A leaving back end; the system can know of it from `known` on.
struct BackendLeaving {
  EngineName backend;
  LeavingSource source = LeavingSource::kOperator;
  RunTime known{0};
  /// When it was revoked or replaced; nullopt while it is in effect.
  std::optional<RunTime> until;
};

// --- nodes and faults --------------------------------------------------------------------------

/// State of a node's configuration according to its readiness and metrics pages, sampled
/// regularly and at each change.
struct ConfigurationSeen {
  NodeId node;
  Incarnation incarnation;
  RunTime at{0};
  Revision revision;
  /// The node assigns new work.
  bool ready = false;
  bool gateway = false;
};

/// A configuration change whose acceptance was reported to the operator.
struct RevisionAccepted {
  Revision revision;
  RunTime at{0};
};

/// A fault or a planned stop, from its start until it is healed.
struct FaultWindow {
  std::string kind;
  bool planned = false;
  NodeId node;
  RunTime begin{0};
  std::optional<RunTime> end;
};

/// An attempt that was still open when a planned stop ended the process of its node.
struct CallCutByPlannedStop {
  NodeId node;
  std::string what;
  RunTime at{0};
};

/// An action that the system was requested to complete, for the liveness check.
struct Demand {
  std::string what;
  RunTime requested{0};
  std::optional<RunTime> done;
};

struct History {
  std::vector<ResourceOperation> resource_operations;
  std::vector<StreamTerms> streams;
  std::vector<StepPut> steps;
  std::vector<CursorRead> reads;
  std::vector<VersionPublish> publishes;
  std::vector<CallAttempt> calls;
  std::vector<BackendExecution> executions;
  std::vector<GeneratedTokens> generated;
  std::vector<BackendArrival> arrivals;
  std::vector<BackendLeaving> leaving;
  std::vector<ConfigurationSeen> configurations;
  std::vector<RevisionAccepted> accepted;
  std::vector<FaultWindow> faults;
  std::vector<CallCutByPlannedStop> planned_cuts;
  std::vector<Demand> demands;
  /// Faults are healed from here on; the run ends at `end`.
  RunTime healed{0};
  RunTime end{0};
};

}  // namespace millstair::checks
