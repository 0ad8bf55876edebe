/// Forecast of batch jobs: when the groups that their clients wait for are expected to be complete,
/// and which groups fit in a fair share of the engines before the jobs are due.
///
/// A job is a step of a trainer: a late group delays all of it. When capacity is short, all jobs of
/// a priority get the same share of their wanted groups in time (max-min), so that no trainer is
/// delayed far more than the others.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace millstair {

/// Engines whose events arrive together count with this pace, so that no pool is infinitely fast.
inline constexpr double kMinSecondsPerEvent = 0.0001;

/// An item without a result.
struct ForecastItem {
  /// Index of its group in the job.
  size_t group = 0;
  /// Expected events until its text is complete; 0 if it is complete and not recorded yet.
  double remaining_events = 0;
  /// Seconds per event at the engine that runs it; 0 while it waits.
  double running_seconds_per_event = 0;

  bool IsWaiting() const { return remaining_events > 0 && running_seconds_per_event <= 0; }
};

/// A group of items; complete if it did not fail and the job lists no item of it.
struct ForecastGroup {
  /// The client is not expected to wait for it.
  bool spare = false;
  /// An earlier job had it: the client waits for it in any case.
  bool carried = false;
  /// An item failed, so that the group is never complete.
  bool failed = false;
};

struct ForecastJob {
  /// Index of the engines that may run it.
  size_t pool = 0;
  /// 0 is the most urgent.
  uint32_t priority = 0;
  /// Seconds until it is due, negative once it is overdue; infinite without a deadline.
  double due_in_seconds = 0;
  /// Number of complete groups that the client waits for.
  size_t wanted_groups = 0;
  std::vector<ForecastGroup> groups;
  std::vector<ForecastItem> items;
};

/// An engine that answers.
struct ForecastEngine {
  uint32_t slots = 1;
  double seconds_per_event = 0;
};

/// Engines that run the same jobs.
struct ForecastPool {
  std::vector<ForecastEngine> engines;
};

/// Tier of a group within its priority; the order of the enumerators is that of the queue.
enum class GroupTier : uint8_t {
  kPlanned,   ///< expected to be complete in time within the job's share of the engines
  kDeferred,  ///< runs on capacity that no planned group wants
  kSpare,     ///< the client is not expected to wait for it, or it failed
};

/// Share of the capacity that is planned: slots idle between runs, and expected lengths are often
/// too low by half.
inline constexpr double kPlannedShare = 0.9;

struct JobForecast {
  /// By index of the group; not meaningful for complete groups.
  std::vector<GroupTier> tiers;
  /// Groups missing to the wanted number: planned, and all others.
  size_t planned_groups = 0;
  size_t deferred_groups = 0;
  size_t complete_groups = 0;
  /// Slot seconds, at the mean pace, that waiting items of the missing wanted groups need; infinite
  /// if no engine answers.
  double needed_slot_seconds = 0;
  /// Expected completion of the wanted groups relative to the due time, behind what is planned for
  /// other jobs; negative: time to spare.
  double lateness_seconds = 0;
  /// The same for the planned groups alone, as if no other job waited. The queue orders jobs by it:
  /// with the work of other jobs included, the job that is due last would come first.
  double own_lateness_seconds = 0;
  /// Position of the job among those of its priority and tier, the lowest first: 0 for all jobs
  /// with seconds to spare, less the later a job is.
  int64_t position = 0;
  /// By index of the group: its position within the job's tier, the lowest first: those that need
  /// the least to be complete. Groups run one after the other, since work on a group that is not
  /// complete in time is lost. 1 for spare groups and 0 for others that failed: items of spare
  /// groups may wait for newer weights, and must not hold up those that need not.
  std::vector<size_t> order;
};

/// One forecast for each of `jobs`, in their order. The cost is n log n in items, plus the product
/// of the numbers of groups and jobs of a pool.
std::vector<JobForecast> ForecastSteps(const std::vector<ForecastPool>& pools,
                                       const std::vector<ForecastJob>& jobs);

}  // namespace millstair
