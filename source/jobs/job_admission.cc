#include "jobs/job_admission.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace millstair {
namespace {

/// A text may have a fifth of its expected events: estimates are off by more than a factor of two
/// in about a third of the cases.
constexpr double kSmallestShare = 0.2;
/// The work of this many texts may be this share of what is expected: their errors average out.
constexpr size_t kAveragingTexts = 50;
constexpr double kSmallestShareOfMany = 0.8;
constexpr double kMinRetrySeconds = 1;

struct Engines {
  double slots = 0;
  /// Mean over the events that the engines make.
  double mean_seconds = 0;
  double fastest_seconds = std::numeric_limits<double>::infinity();
};

Engines SumUp(const ForecastPool& pool) {
  Engines engines;
  double events_per_second = 0;
  for (const ForecastEngine& engine : pool.engines) {
    engines.slots += engine.slots;
    events_per_second += engine.slots / engine.seconds_per_event;
    engines.fastest_seconds = std::min(engines.fastest_seconds, engine.seconds_per_event);
  }
  if (events_per_second > 0) engines.mean_seconds = engines.slots / events_per_second;
  return engines;
}

/// The share of its expected work that `texts` texts may take.
double SmallestShare(size_t texts) {
  return texts >= kAveragingTexts ? kSmallestShareOfMany : kSmallestShare;
}

/// What the items of a group without a result still need.
struct GroupNeed {
  size_t texts = 0;
  double events = 0;
  double longest_events = 0;
  /// Slot seconds of its running items.
  double running_seconds = 0;
  bool unfinished = false;
};

std::vector<GroupNeed> NeedsOf(const ForecastJob& job) {
  std::vector<GroupNeed> needs(job.groups.size());
  for (const ForecastItem& item : job.items) {
    GroupNeed& need = needs[item.group];
    need.unfinished = true;
    need.texts += item.remaining_events > 0 ? 1 : 0;
    if (!item.IsWaiting()) {
      need.running_seconds += item.remaining_events * item.running_seconds_per_event;
      continue;
    }
    need.events += item.remaining_events;
    need.longest_events = std::max(need.longest_events, item.remaining_events);
  }
  return needs;
}

/// Work that precedes a job.
struct Backlog {
  double slot_seconds = 0;
  size_t texts = 0;
};

/// Work until the wanted groups of an open job are complete, if the cheapest ones are.
Backlog BacklogOf(const ForecastJob& job, double seconds_per_event) {
  std::vector<Backlog> groups;
  size_t complete = 0;
  const std::vector<GroupNeed> needs = NeedsOf(job);
  for (size_t i = 0; i < needs.size(); ++i) {
    if (job.groups[i].failed) continue;
    if (!needs[i].unfinished) {
      ++complete;
    } else {
      groups.push_back(
          {needs[i].events * seconds_per_event + needs[i].running_seconds, needs[i].texts});
    }
  }
  std::sort(groups.begin(), groups.end(),
            [](const Backlog& a, const Backlog& b) { return a.slot_seconds < b.slot_seconds; });
  const size_t missing = job.wanted_groups - std::min(job.wanted_groups, complete);
  Backlog sum;
  for (size_t i = 0; i < std::min(missing, groups.size()); ++i) {
    sum.slot_seconds += groups[i].slot_seconds;
    sum.texts += groups[i].texts;
  }
  return sum;
}

/// Texts without a result, of all priorities and groups, since each may hold a slot.
size_t UnfinishedTexts(const std::vector<AdmissionJob>& open) {
  size_t texts = 0;
  for (const AdmissionJob& job : open) {
    texts += static_cast<size_t>(
        std::count_if(job.job.items.begin(), job.job.items.end(),
                      [](const ForecastItem& item) { return item.remaining_events > 0; }));
  }
  return texts;
}

/// Seconds until the engines have done the wanted groups of the jobs that precede `added`, or have
/// given them up.
double SecondsUntilFree(const Engines& engines, const std::vector<AdmissionJob>& open,
                        const AdmissionJob& added) {
  std::vector<const AdmissionJob*> preceding;
  const auto order_of = [](const AdmissionJob& job) {
    return std::tuple(job.job.priority, job.job.due_in_seconds);
  };
  for (const AdmissionJob& other : open) {
    if (order_of(other) <= order_of(added)) preceding.push_back(&other);
  }
  std::stable_sort(preceding.begin(), preceding.end(),
                   [&order_of](const AdmissionJob* a, const AdmissionJob* b) {
                     return order_of(*a) < order_of(*b);
                   });
  std::vector<Backlog> backlogs;
  size_t texts = 0;
  for (const AdmissionJob* other : preceding) {
    backlogs.push_back(BacklogOf(other->job, engines.mean_seconds));
    texts += backlogs.back().texts;
  }
  double free_at = 0;
  for (size_t i = 0; i < preceding.size(); ++i) {
    const double work = SmallestShare(texts) * backlogs[i].slot_seconds;
    const double end = std::min(free_at + work / engines.slots, preceding[i]->given_up_in_seconds);
    free_at = std::max(free_at, end);
  }
  return free_at;
}

/// When a forecast assumes that jobs are due.
enum class ForecastUntil : uint8_t { kDue, kGivenUp };

/// Whether the forecast with the new job plans a group of it.
bool IsPlanned(const ForecastPool& pool, const std::vector<AdmissionJob>& open,
               const AdmissionJob& added, ForecastUntil until) {
  std::vector<ForecastJob> jobs;
  const auto add = [&jobs, until](const AdmissionJob& job) {
    ForecastJob& forecast = jobs.emplace_back(job.job);
    forecast.pool = 0;
    if (until == ForecastUntil::kGivenUp) forecast.due_in_seconds = job.given_up_in_seconds;
  };
  for (const AdmissionJob& other : open) add(other);
  add(added);
  jobs.back().due_in_seconds = std::min(jobs.back().due_in_seconds, added.given_up_in_seconds);
  return ForecastSteps({pool}, jobs).back().planned_groups > 0;
}

}  // namespace

std::string_view JobRejectionReasonName(JobRejectionReason reason) {
  switch (reason) {
    case JobRejectionReason::kTextsTooLong:
      return "texts_too_long";
    case JobRejectionReason::kBacklog:
      return "backlog";
    case JobRejectionReason::kMemory:
      return "memory";
  }
  return "unknown";
}

std::optional<JobRejection> DecideAdmission(const ForecastPool& pool,
                                            const std::vector<AdmissionJob>& open,
                                            const AdmissionJob& added) {
  const Engines engines = SumUp(pool);
  const double allowed = added.given_up_in_seconds;
  if (engines.slots <= 0 || std::isinf(allowed) || added.job.groups.empty()) return std::nullopt;
  if (IsPlanned(pool, open, added, ForecastUntil::kDue)) return std::nullopt;
  if (IsPlanned(pool, open, added, ForecastUntil::kGivenUp)) return std::nullopt;
  // Seconds that the group with the least work takes once the engines are free.
  double shortest_text = std::numeric_limits<double>::infinity();
  double shortest_group = std::numeric_limits<double>::infinity();
  for (const GroupNeed& need : NeedsOf(added.job)) {
    const double text = kSmallestShare * need.longest_events * engines.fastest_seconds;
    const double work =
        SmallestShare(need.texts) * need.events * engines.mean_seconds / engines.slots;
    shortest_text = std::min(shortest_text, text);
    shortest_group = std::min(shortest_group, std::max(text, work));
  }
  if (shortest_text > allowed) {
    return JobRejection{JobRejectionReason::kTextsTooLong, FromSeconds(allowed)};
  }
  // A slot is free at once.
  if (static_cast<double>(UnfinishedTexts(open)) < engines.slots) return std::nullopt;
  const double missing = SecondsUntilFree(engines, open, added) + shortest_group - allowed;
  if (missing <= 0) return std::nullopt;
  // By the end of `allowed`, all jobs that are open now are complete or given up.
  const double retry = std::clamp(missing, kMinRetrySeconds, std::max(kMinRetrySeconds, allowed));
  return JobRejection{JobRejectionReason::kBacklog, FromSeconds(retry)};
}

}  // namespace millstair
