/// Batch jobs: sets of generations that a client submits together and collects later.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/time.h"
#include "http/exchange.h"
#include "jobs/item_progress.h"

namespace millstair {

/// A request that scores an item's complete text; the signature of its response is the score.
struct JobScoring {
  std::string id;
  std::string host;
  std::string path;
  std::string body;
  friend bool operator==(const JobScoring&, const JobScoring&) = default;
};

struct JobItem {
  ItemId id;
  std::string path;
  HttpHeaders headers;
  std::string body;
  /// Prompt tokens plus the maximum of output tokens.
  uint64_t tokens = 0;
  /// The client's estimate of the output tokens; 0 if none.
  uint64_t expected_tokens = 0;
  /// Items of one group share their prompt and are useful only together; empty if none.
  std::string group;
  std::optional<JobScoring> scoring;
  friend bool operator==(const JobItem&, const JobItem&) = default;
};

struct JobSpec {
  JobId id;
  /// The tenant that submitted it and that alone may read or end it; empty where the configuration
  /// has no tenants.
  TenantName tenant;
  /// Host and path of the submission, which select the route.
  std::string host;
  std::string path;
  /// Training step that it belongs to; none if it is not from a trainer.
  std::optional<uint64_t> step;
  ModelName model;
  /// Oldest version that may make its tokens; 0 allows any.
  WeightVersion min_version;
  /// Number of complete groups that the client waits for; 0 is all.
  uint64_t wanted_groups = 0;
  std::vector<JobItem> items;
  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

enum class ItemState : uint8_t {
  kDone = 1,
  kFailed = 2,  ///< impossible, or not done in time
};

/// Limit on the texts in one reply, in bytes.
inline constexpr uint64_t kMaxResultBytes = 900'000;

/// Outcome of an item. Its position among the results of its job never changes.
struct JobResult {
  /// Index of the item in its job.
  uint32_t item = 0;
  ItemState state = ItemState::kDone;
  std::string text;
  /// All versions that made parts of the text.
  std::vector<WeightVersion> versions;
  /// Signature of the scoring response; empty without scoring.
  std::string score;
  friend bool operator==(const JobResult&, const JobResult&) = default;
};

/// Text of an unfinished item as saved in the group's log.
struct SavedProgress : ItemProgress {
  /// Term of the leader that saved it; only that leader may append to it.
  Term term;
  friend bool operator==(const SavedProgress&, const SavedProgress&) = default;
};

struct JobRecord {
  JobSpec spec;
  /// The group's clock when the job was submitted; see JobStateMachine.
  WallTime submitted_at;
  bool ended = false;
  /// In the order in which they were recorded.
  std::vector<JobResult> results;
  /// Saved text of unfinished items, by index.
  std::map<uint32_t, SavedProgress> progress;
};

/// Whether `caller` may read and end the job. A job without a tenant was submitted when the
/// configuration had no tenants, and stays open to all.
inline bool MayAccessJob(const JobRecord& record, const TenantName& caller) {
  return record.spec.tenant.value().empty() || record.spec.tenant == caller;
}

/// Whether the record only keeps the end of a job that was unknown then. A submission that is
/// committed later replaces it and does not run. Submitted jobs have a path.
inline bool IsPlaceholder(const JobRecord& record) {
  return record.spec.path.empty() && record.spec.items.empty();
}

/// An item and the tenant of its job: two tenants may use the same identifier.
struct OwnedItem {
  TenantName tenant;
  ItemId item;
  friend auto operator<=>(const OwnedItem&, const OwnedItem&) = default;  // NOLINT
  friend bool operator==(const OwnedItem&, const OwnedItem&) = default;
};

/// Adds a job. A known job stays unchanged.
struct SubmitJob {
  JobSpec job;
};

/// Records the result of an item; the first one wins.
struct RecordResult {
  JobId job;
  JobResult result;
  /// Events whose text is saved in the group's log; the result's text holds only what follows them.
  uint64_t after = 0;
  /// Term of the leader that records it and saved the preceding text.
  Term term;
};

/// Ends a job: its client needs no more results.
struct EndJob {
  JobId job;
  TenantName tenant;
  friend auto operator<=>(const EndJob&, const EndJob&) = default;  // NOLINT
  friend bool operator==(const EndJob&, const EndJob&) = default;
};

/// Whether the end is kept beyond the call that asked for it. Bounds the memory of those that are.
inline bool MayKeep(const EndJob& end) {
  constexpr size_t kMaxKeptBytes = 256;
  return end.job.value().size() + end.tenant.value().size() <= kMaxKeptBytes;
}

/// The lease holder is about to send an order to an engine, within a bounded time. Other nodes send
/// none to that engine until the lease has expired.
struct AnnounceOrder {
  NodeId holder;
  InstanceId instance;
  /// Term in which the lease holder leads the group.
  Term term;
  /// Steady time of the lease holder; comparable only with its announcements of the same term.
  Duration announced_at{0};
  friend bool operator==(const AnnounceOrder&, const AnnounceOrder&) = default;
};

/// The part of an item's text that was added since the last save.
struct ProgressPart {
  JobId job;
  /// Index of the item in its job.
  uint32_t item = 0;
  /// Events that were saved before; 0 replaces the saved text.
  uint64_t after = 0;
  /// `text` holds only the new part; the other members cover all events. The term is the
  /// proposer's.
  SavedProgress added;
  friend bool operator==(const ProgressPart&, const ProgressPart&) = default;
};

/// Saves the progress of long texts, so that another leader can resume them.
struct SaveProgress {
  std::vector<ProgressPart> parts;
};

/// How fast an engine makes events.
struct EnginePace {
  InstanceId engine;
  /// Time between two events of a text, in microseconds.
  Duration per_event{0};
  friend bool operator==(const EnginePace&, const EnginePace&) = default;
};

/// Replaces the paces of all engines, so that another leader starts with them.
struct RecordEnginePaces {
  /// Ordered by engine.
  std::vector<EnginePace> paces;
};

enum class JobResultCode : uint8_t {
  kOk = 1,
  kNotFound = 2,    ///< no such job
  kInvalid = 3,     ///< malformed command
  kNotSaved = 4,    ///< the text that the result continues is not saved: send it complete
  kOtherOwner = 5,  ///< another tenant's job has the identifier
};

enum class JobQueryKind : uint8_t {
  kResults = 1,  ///< results from a position; may wait until there are some
  kBody = 2,     ///< body of an unfinished item of a job that has not ended
};

struct JobQuery {
  JobQueryKind kind = JobQueryKind::kResults;
  JobId job;
  /// The calling tenant; jobs of other tenants are not found.
  TenantName tenant;
  ItemId item;
  uint64_t after = 0;
  Duration wait{0};
  /// Limit on the texts in one reply; at least one result is returned if there is one.
  uint64_t max_bytes = kMaxResultBytes;
};

/// A result with its item's identifier.
struct RecordedResult {
  ItemId item;
  JobResult result;
};

struct JobQueryAnswer {
  bool found = false;
  /// Items of the job.
  uint64_t total = 0;
  std::vector<RecordedResult> results;
  std::string body;
};

}  // namespace millstair
