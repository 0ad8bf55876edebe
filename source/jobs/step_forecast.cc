#include "jobs/step_forecast.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <queue>
#include <tuple>

namespace millstair {
namespace {

/// Jobs with more time to spare than this are equally urgent.
constexpr double kUrgentBeforeSeconds = 2;
/// Jobs whose lateness differs by less than about this are equally urgent.
constexpr double kPositionSeconds = 0.1;
/// Where the longest text of a group is assumed to run, from the fastest engine (0) to the mean
/// pace (1): fast engines are few, and not every long text gets one.
constexpr double kAssumedPaceOfLongTexts = 0.5;
constexpr double kNever = std::numeric_limits<double>::infinity();
/// Bound on the lateness, which is infinite if no engine answers.
constexpr double kMaxLatenessSeconds = 3600;

/// Slots of a pool and the time until those of running items are free.
class PoolCapacity {
 public:
  PoolCapacity(const ForecastPool& pool, const std::vector<const ForecastJob*>& jobs) {
    double events_per_second = 0;
    for (const ForecastEngine& engine : pool.engines) {
      slots_ += engine.slots;
      events_per_second += engine.slots / engine.seconds_per_event;
      if (fastest_seconds_ <= 0 || engine.seconds_per_event < fastest_seconds_) {
        fastest_seconds_ = engine.seconds_per_event;
      }
    }
    if (events_per_second > 0) {
      mean_seconds_ = slots_ / events_per_second;
    }
    for (const ForecastJob* job : jobs) {
      for (const ForecastItem& item : job->items) {
        if (item.remaining_events <= 0 || item.IsWaiting()) continue;
        running_.push_back(item.remaining_events * item.running_seconds_per_event);
      }
    }
    std::sort(running_.begin(), running_.end());
    busy_before_.push_back(0);
    for (const double seconds : running_) busy_before_.push_back(busy_before_.back() + seconds);
  }

  double slots() const { return slots_; }
  /// Mean over the events that the pool makes.
  double mean_seconds() const { return mean_seconds_; }
  /// Seconds per event that a waiting text may hope for.
  double likely_seconds() const {
    return fastest_seconds_ + kAssumedPaceOfLongTexts * (mean_seconds_ - fastest_seconds_);
  }

  /// Slot seconds within `seconds` from now that running items leave free.
  double FreeWithin(double seconds) const {
    if (seconds <= 0) return 0;
    const auto later = std::upper_bound(running_.begin(), running_.end(), seconds);
    const auto ended = static_cast<size_t>(later - running_.begin());
    const auto unfinished = static_cast<double>(running_.size() - ended);
    return std::max(0.0, slots_ * seconds - busy_before_[ended] - unfinished * seconds);
  }

  /// Seconds until `work` slot seconds have been free; infinite without slots.
  double SecondsUntil(double work) const {
    if (work <= 0) return 0;
    if (slots_ <= 0) return kNever;
    // FreeWithin is linear between the ends of two runs.
    const auto enough = std::partition_point(running_.begin(), running_.end(),
                                             [&](double end) { return FreeWithin(end) < work; });
    const double from = enough == running_.begin() ? 0 : *std::prev(enough);
    const double free_slots = slots_ - static_cast<double>(running_.end() - enough);
    return free_slots <= 0 ? *enough : from + (work - FreeWithin(from)) / free_slots;
  }

 private:
  double slots_ = 0;
  /// Infinite without engines.
  double mean_seconds_ = kNever;
  double fastest_seconds_ = 0;
  /// Remaining seconds of the running items, ascending, and the sums of the first of them.
  std::vector<double> running_;
  std::vector<double> busy_before_;
};

/// A group that the client waits for.
struct Candidate {
  size_t group = 0;
  bool carried = false;
  /// Slot seconds that its waiting items need.
  double waiting_work = 0;
  /// Seconds until its last item is complete if the waiting ones start now, at the mean pace and at
  /// the pace that they may hope for.
  double expected_seconds = 0;
  double likely_seconds = 0;
};

struct JobPlan {
  const ForecastJob* job = nullptr;
  JobForecast* forecast = nullptr;
  /// Those that need the least to be complete first.
  std::vector<Candidate> candidates;
  /// Groups missing to the wanted number.
  size_t needed = 0;
  /// Next candidate to be planned.
  size_t next = 0;
  double planned_work = 0;
  /// Sum for the needed groups.
  double needed_work = 0;
  double needed_seconds = 0;

  double Share() const {
    const auto planned = static_cast<double>(forecast->complete_groups + forecast->planned_groups);
    return planned / static_cast<double>(std::max<size_t>(1, job->wanted_groups));
  }
};

JobPlan PlanOf(const ForecastJob& job, const PoolCapacity& capacity, JobForecast& forecast) {
  JobPlan plan;
  plan.job = &job;
  plan.forecast = &forecast;
  std::vector<Candidate> groups(job.groups.size());
  for (size_t i = 0; i < groups.size(); ++i) groups[i] = {i, job.groups[i].carried, 0, 0, 0};
  std::vector<bool> unfinished(groups.size());
  for (const ForecastItem& item : job.items) {
    Candidate& group = groups[item.group];
    unfinished[item.group] = true;
    const bool waits = item.IsWaiting();
    const double pace = waits ? capacity.mean_seconds() : item.running_seconds_per_event;
    const double likely = waits ? capacity.likely_seconds() : item.running_seconds_per_event;
    if (waits) group.waiting_work += item.remaining_events * pace;
    group.expected_seconds = std::max(group.expected_seconds, item.remaining_events * pace);
    group.likely_seconds = std::max(group.likely_seconds, item.remaining_events * likely);
  }
  for (const Candidate& candidate : groups) {
    const ForecastGroup& group = job.groups[candidate.group];
    const bool spare = group.spare || group.failed;
    forecast.tiers.push_back(spare ? GroupTier::kSpare : GroupTier::kDeferred);
    if (!unfinished[candidate.group]) {
      forecast.complete_groups += group.failed ? 0 : 1;
    } else if (!spare) {
      plan.candidates.push_back(candidate);
    }
  }
  std::sort(plan.candidates.begin(), plan.candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tuple(!a.carried, a.waiting_work, a.expected_seconds, a.group) <
                     std::tuple(!b.carried, b.waiting_work, b.expected_seconds, b.group);
            });
  const size_t missing = job.wanted_groups - std::min(job.wanted_groups, forecast.complete_groups);
  plan.needed = std::min(missing, plan.candidates.size());
  for (size_t i = 0; i < plan.needed; ++i) {
    plan.needed_work += plan.candidates[i].waiting_work;
    plan.needed_seconds = std::max(plan.needed_seconds, plan.candidates[i].expected_seconds);
  }
  forecast.needed_slot_seconds = plan.needed_work;
  return plan;
}

/// Plans the groups of one pool; `plans` are in the order of their due times.
class PoolPlanner {
 public:
  PoolPlanner(const PoolCapacity& capacity, std::vector<JobPlan>& plans)
      : capacity_(capacity), plans_(plans) {
    for (const JobPlan& plan : plans_) {
      const double seconds = plan.job->due_in_seconds;
      allowed_.push_back(seconds == kNever ? kNever
                                           : kPlannedShare * capacity_.FreeWithin(seconds));
    }
  }

  /// Adds groups to the job with the lowest share until none fits.
  void PlanPriority(uint32_t priority) {
    using Entry = std::tuple<double, size_t>;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> lowest;
    for (size_t i = 0; i < plans_.size(); ++i) {
      if (plans_[i].job->priority == priority) lowest.emplace(plans_[i].Share(), i);
    }
    while (!lowest.empty()) {
      const size_t index = std::get<1>(lowest.top());
      lowest.pop();
      if (PlanNext(index)) lowest.emplace(plans_[index].Share(), index);
    }
  }

 private:
  /// False if no further group of the job is needed or fits.
  bool PlanNext(size_t index) {
    JobPlan& plan = plans_[index];
    while (plan.next < plan.candidates.size()) {
      if (plan.forecast->planned_groups >= plan.needed) return false;
      const Candidate& group = plan.candidates[plan.next++];
      if (group.likely_seconds > plan.job->due_in_seconds) continue;
      if (!Fits(index, group.waiting_work)) continue;
      plan.planned_work += group.waiting_work;
      plan.forecast->tiers[group.group] = GroupTier::kPlanned;
      ++plan.forecast->planned_groups;
      return true;
    }
    return false;
  }

  /// Whether everything planned can still be done by its due time if `work` is added to a job.
  bool Fits(size_t index, double work) const {
    if (work <= 0) return true;
    double planned = work;
    for (size_t i = 0; i < plans_.size(); ++i) {
      planned += plans_[i].planned_work;
      if (i >= index && planned > allowed_[i]) return false;
    }
    return true;
  }

  const PoolCapacity& capacity_;
  std::vector<JobPlan>& plans_;
  /// By plan: slot seconds that may be planned until its job is due.
  std::vector<double> allowed_;
};

double LatenessOf(double due_in_seconds, double done_in_seconds) {
  if (due_in_seconds == kNever) return -kNever;
  return std::min(kMaxLatenessSeconds, done_in_seconds - due_in_seconds);
}

/// Slot seconds of waiting items that run before the wanted groups of `plan` are complete. What is
/// deferred runs after everything that is planned.
double WorkUntilComplete(const JobPlan& plan, const std::vector<JobPlan>& plans) {
  const bool any_deferred = plan.forecast->planned_groups < plan.needed;
  double work = plan.needed_work;
  for (const JobPlan& other : plans) {
    if (&other == &plan || other.job->priority > plan.job->priority) continue;
    const bool precedes = other.job->priority < plan.job->priority ||
                          other.job->due_in_seconds <= plan.job->due_in_seconds;
    if (any_deferred || precedes) work += other.planned_work;
  }
  return work;
}

void ComputeLateness(const PoolCapacity& capacity, const JobPlan& plan,
                     const std::vector<JobPlan>& plans) {
  double planned_seconds = 0;
  for (const Candidate& group : plan.candidates) {
    if (plan.forecast->tiers[group.group] != GroupTier::kPlanned) continue;
    planned_seconds = std::max(planned_seconds, group.expected_seconds);
  }
  const double due = plan.job->due_in_seconds;
  const double all = capacity.SecondsUntil(WorkUntilComplete(plan, plans));
  const double own = capacity.SecondsUntil(plan.planned_work);
  JobForecast& forecast = *plan.forecast;
  forecast.lateness_seconds = LatenessOf(due, std::max(plan.needed_seconds, all));
  forecast.own_lateness_seconds = LatenessOf(due, std::max(planned_seconds, own));
  forecast.deferred_groups = plan.needed - forecast.planned_groups;
}

int64_t PositionOf(double lateness_seconds) {
  const double bounded = std::clamp(lateness_seconds, -kUrgentBeforeSeconds, kMaxLatenessSeconds);
  return -static_cast<int64_t>(std::ceil((bounded + kUrgentBeforeSeconds) / kPositionSeconds));
}

/// Sets the order within the tiers.
void OrderGroups(const JobPlan& plan) {
  JobForecast& forecast = *plan.forecast;
  forecast.position = PositionOf(forecast.own_lateness_seconds);
  forecast.order.resize(forecast.tiers.size());
  for (size_t i = 0; i < plan.candidates.size(); ++i) {
    forecast.order[plan.candidates[i].group] = i + 1;
  }
  for (size_t group = 0; group < forecast.order.size(); ++group) {
    if (plan.job->groups[group].spare) forecast.order[group] = 1;
  }
}

void ForecastPoolJobs(const ForecastPool& pool, const std::vector<const ForecastJob*>& jobs,
                      const std::vector<JobForecast*>& forecasts) {
  const PoolCapacity capacity(pool, jobs);
  std::vector<JobPlan> plans;
  for (size_t i = 0; i < jobs.size(); ++i) {
    plans.push_back(PlanOf(*jobs[i], capacity, *forecasts[i]));
  }
  std::stable_sort(plans.begin(), plans.end(), [](const JobPlan& a, const JobPlan& b) {
    return a.job->due_in_seconds < b.job->due_in_seconds;
  });
  std::vector<uint32_t> priorities;
  for (const JobPlan& plan : plans) priorities.push_back(plan.job->priority);
  std::sort(priorities.begin(), priorities.end());
  priorities.erase(std::unique(priorities.begin(), priorities.end()), priorities.end());
  PoolPlanner planner(capacity, plans);
  for (const uint32_t priority : priorities) planner.PlanPriority(priority);
  for (const JobPlan& plan : plans) {
    ComputeLateness(capacity, plan, plans);
    OrderGroups(plan);
  }
}

}  // namespace

std::vector<JobForecast> ForecastSteps(const std::vector<ForecastPool>& pools,
                                       const std::vector<ForecastJob>& jobs) {
  std::vector<JobForecast> forecasts(jobs.size());
  for (size_t pool = 0; pool < pools.size(); ++pool) {
    std::vector<const ForecastJob*> members;
    std::vector<JobForecast*> results;
    for (size_t i = 0; i < jobs.size(); ++i) {
      if (jobs[i].pool != pool) continue;
      members.push_back(&jobs[i]);
      results.push_back(&forecasts[i]);
    }
    if (!members.empty()) ForecastPoolJobs(pools[pool], members, results);
  }
  return forecasts;
}

}  // namespace millstair
