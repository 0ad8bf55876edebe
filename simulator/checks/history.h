/// What the parties outside the product saw during one run: callers, trainers, operators, back
/// ends, engines and the platform. The checks judge a run by these records alone; they link no
/// decision code of the product. All times are true time since the start of the run.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/time.h"

namespace millstair::checks {

/// True time since the start of the run; no node's clock.
using RunTime = Duration;

/// What `Millstair-Outcome` said.
enum class ClaimedOutcome : uint8_t { kNone, kRan, kNotRun, kUnknown };

// --- operators ---------------------------------------------------------------------------------

enum class ResourceAction : uint8_t { kPut, kDelete, kRead };

enum class ResourceEnd : uint8_t {
  kDone,       ///< changed, or read
  kConflict,   ///< compare-and-set lost
  kMissing,    ///< nothing stored under the name
  kRefused,    ///< told that it did not run
  kUnanswered  ///< no answer, or an outcome told as unknown
};

/// One operation on one resource; resends of it belong to the same record.
struct ResourceOperation {
  ClientId client;
  /// "Kind/name".
  std::string resource;
  ResourceAction action = ResourceAction::kRead;
  /// Version that must be stored: 0 demands absence, none skips the test.
  std::optional<Revision> expected;
  /// For kPut: what is written, unique over the run. For a read that found something: what it saw.
  std::string value;
  /// At a conflict: the winner's value, if the answer named it.
  std::string found_value;
  /// First send.
  RunTime invoked{0};
  /// Answer to any of the sends; none for kUnanswered.
  std::optional<RunTime> returned;
  ResourceEnd end = ResourceEnd::kUnanswered;
  /// Version made, read, or (at a conflict) found; 0 if the answer named none.
  Revision version;
};

// --- trainers ----------------------------------------------------------------------------------

/// A stream as its owners agreed it.
struct StreamTerms {
  StreamName stream;
  ModelName model;
  uint64_t staleness_bound = 0;
};

/// A span of tokens with the weights that are said to have produced it.
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
  /// When the trainer was told that the step is taken.
  std::optional<RunTime> acknowledged;
  /// When the trainer held every sample of it.
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

/// A read whose answer reached the trainer. Lost answers leave no record.
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
  kCut,         ///< the answer began and broke off
  kUnanswered,  ///< no answer at all
  kAbandoned    ///< the caller went away of its own will
};

/// One try of a request. Resends are tries of their own.
struct CallAttempt {
  CallKind kind = CallKind::kPage;
  /// Unique per try; back ends see it.
  std::string attempt_id;
  /// Once-only key, shared by all tries of a booking; empty otherwise.
  std::string key;
  NodeId gateway;
  std::string prompt;
  uint32_t max_tokens = 0;
  /// Plain calls: the whole answer that is due to this request and no other.
  std::string expected_body;
  RunTime sent{0};
  std::optional<RunTime> first_byte;
  std::optional<RunTime> ended;
  CallEnd end = CallEnd::kUnanswered;
  int status = 0;
  ClaimedOutcome outcome = ClaimedOutcome::kNone;
  /// Completions: tokens received, and the versions claimed for them if any were.
  std::vector<std::string> tokens;
  std::vector<ClaimedSpan> spans;
  std::string body;
};

// --- back ends and engines ---------------------------------------------------------------------

/// A plain back end began to execute a request.
struct BackendExecution {
  EngineName backend;
  std::string attempt_id;
  std::string key;
  RunTime at{0};
};

/// An engine generated tokens of `prompt`, in truth under these weights.
struct GeneratedTokens {
  EngineName engine;
  Incarnation incarnation;
  std::string prompt;
  uint32_t first_token = 0;
  uint32_t token_count = 0;
  WeightVersion version;
  WeightDigest digest;
};

/// Work or a request arrived at a back end, whether it took it or not.
struct BackendArrival {
  EngineName backend;
  RunTime at{0};
  /// What arrived, for the report.
  std::string what;
};

enum class LeavingSource : uint8_t { kOperator, kPlatformList, kSelfReported };

/// A back end is leaving, and the system could know it since `known`.
struct BackendLeaving {
  EngineName backend;
  LeavingSource source = LeavingSource::kOperator;
  RunTime known{0};
  /// When it was taken back or replaced; none while it still holds.
  std::optional<RunTime> until;
};

// --- nodes and faults --------------------------------------------------------------------------

/// What a node showed of its configuration (its readiness and metrics pages), sampled regularly
/// and at each change.
struct ConfigurationSeen {
  NodeId node;
  Incarnation incarnation;
  RunTime at{0};
  Revision revision;
  /// The node gives out new work.
  bool ready = false;
  bool gateway = false;
};

/// A configuration change that the operator was told is accepted.
struct RevisionAccepted {
  Revision revision;
  RunTime at{0};
};

/// A fault or a planned stop, from its begin until it was healed.
struct FaultWindow {
  std::string kind;
  bool planned = false;
  NodeId node;
  RunTime begin{0};
  std::optional<RunTime> end;
};

/// A planned stop ended its process while this try was still open there.
struct CallCutByPlannedStop {
  NodeId node;
  std::string what;
  RunTime at{0};
};

/// Something that was asked for, for the liveness check.
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
