/// Batch jobs: sets of generations that a client hands in together and collects later.
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

/// A request that judges an item's whole text; its answer's signature is the item's score.
struct JobScoring {
  /// Identifier of the request.
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
  /// Prompt tokens and the most that come out, summed.
  uint64_t tokens = 0;
  /// The client's guess of the tokens that come out; 0 is none.
  uint64_t expected_tokens = 0;
  /// Items of one group share their prompt and count only together; empty is none.
  std::string group;
  std::optional<JobScoring> scoring;
  friend bool operator==(const JobItem&, const JobItem&) = default;
};

struct JobSpec {
  JobId id;
  /// Who handed it in, and who alone may read or end it; empty where the configuration holds no
  /// tenants.
  TenantName tenant;
  /// Host and path under which it came; they choose its route.
  std::string host;
  std::string path;
  /// Training step that it is for; none if it is for no trainer.
  std::optional<uint64_t> step;
  ModelName model;
  /// Oldest weights that may make its tokens; 0 is any.
  WeightVersion min_version;
  /// Whole groups that the client waits for; 0 is all.
  uint64_t wanted_groups = 0;
  std::vector<JobItem> items;
  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

enum class ItemState : uint8_t {
  kDone = 1,
  kFailed = 2,  ///< given up: it can't be done, or not in time
};

/// Texts that one answer holds at most, in bytes.
inline constexpr uint64_t kMaxResultBytes = 900'000;

/// What became of an item. Its position among the results of its job never changes.
struct JobResult {
  /// Index of the item in its job.
  uint32_t item = 0;
  ItemState state = ItemState::kDone;
  std::string text;
  /// Every version that made a part of the text.
  std::vector<WeightVersion> versions;
  /// Signature of the scoring answer; empty without scoring.
  std::string score;
  friend bool operator==(const JobResult&, const JobResult&) = default;
};

/// Text that the group's log keeps of an item that is not listed.
struct SavedProgress : ItemProgress {
  /// Of the leader that kept it: no other leader's text goes on after it.
  Term term;
  friend bool operator==(const SavedProgress&, const SavedProgress&) = default;
};

struct JobRecord {
  JobSpec spec;
  /// Wall time of the leader that took it.
  WallTime submitted_at;
  bool ended = false;
  /// In listed order.
  std::vector<JobResult> results;
  /// Text that was kept of items that are not listed, by index.
  std::map<uint32_t, SavedProgress> progress;
};

/// Whether `caller` may read and end the job. One that nobody owns was handed in when the
/// configuration held no tenants, and stays open to all.
inline bool MayAccessJob(const JobRecord& record, const TenantName& caller) {
  return record.spec.tenant.value().empty() || record.spec.tenant == caller;
}

/// An item and the tenant whose job carries it: two tenants may use one identifier.
struct OwnedItem {
  TenantName tenant;
  ItemId item;
  friend auto operator<=>(const OwnedItem&, const OwnedItem&) = default;  // NOLINT
  friend bool operator==(const OwnedItem&, const OwnedItem&) = default;
};

/// Takes a job. A job that is known already stays as it is.
struct SubmitJob {
  JobSpec job;
};

/// Lists the result of an item; the first one stays.
struct RecordResult {
  JobId job;
  JobResult result;
  /// Events whose text the group's log keeps already; the result's text holds what follows them.
  uint64_t after = 0;
  /// Of the leader that lists it and kept the text before.
  Term term;
};

/// The client wants no more of a job.
struct EndJob {
  JobId job;
  TenantName tenant;
};

/// The holder is about to give an order to an engine, within a bounded time. Other holders give
/// none to that engine until its lease is over.
struct AnnounceOrder {
  NodeId holder;
  InstanceId instance;
  /// Under which the holder leads the group.
  Term term;
  /// Steady time of the holder; comparable with its other announcements of the same term only.
  Duration announced_at{0};
  friend bool operator==(const AnnounceOrder&, const AnnounceOrder&) = default;
};

/// What an item's text grew by since the last time it was kept.
struct ProgressPart {
  JobId job;
  /// Index of the item in its job.
  uint32_t item = 0;
  /// Events that were kept before; 0 replaces what was.
  uint64_t after = 0;
  /// `text` holds the new part alone, the rest counts all events. Its term is the proposer's.
  SavedProgress added;
  friend bool operator==(const ProgressPart&, const ProgressPart&) = default;
};

/// Keeps what was made of long texts, so that another leader goes on after it.
struct SaveProgress {
  std::vector<ProgressPart> parts;
};

enum class JobResultCode : uint8_t {
  kOk = 1,
  kNotFound = 2,    ///< no such job
  kInvalid = 3,     ///< malformed command
  kNotSaved = 4,    ///< the result goes on after a text that is not kept: it has to be listed whole
  kOtherOwner = 5,  ///< another tenant's job has the identifier
};

enum class JobQueryKind : uint8_t {
  kResults = 1,  ///< results from a position on; held until there are some, if asked to
  kBody = 2,     ///< body of an item that is not listed, of a job that was not ended
};

struct JobQuery {
  JobQueryKind kind = JobQueryKind::kResults;
  JobId job;
  /// Who asks; a job of another tenant is not found.
  TenantName tenant;
  ItemId item;
  uint64_t after = 0;
  Duration wait{0};
  /// Bound on the texts of one answer; at least one result is given if there is one.
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
