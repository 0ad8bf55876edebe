#include "jobs/missing_slots.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace millstair {
namespace {

/// Jobs that are due sooner count as due then: work that has to be done at once would ask for any
/// number of slots.
constexpr double kShortestHorizonSeconds = 2;

/// Slot seconds that running items use within `seconds`.
double BusyWithin(const std::vector<double>& running, double seconds) {
  double busy = 0;
  for (const double left : running) busy += std::min(left, seconds);
  return busy;
}

size_t CountWanted(const ForecastJob& job, const JobForecast& forecast) {
  size_t waiting = 0;
  for (const ForecastItem& item : job.items) {
    waiting += item.IsWaiting() && forecast.tiers[item.group] != GroupTier::kSpare ? 1 : 0;
  }
  return waiting;
}

}  // namespace

double MissingSlots(const ForecastPool& pool, const std::vector<const ForecastJob*>& jobs,
                    const std::vector<const JobForecast*>& forecasts) {
  double slots = 0;
  for (const ForecastEngine& engine : pool.engines) slots += engine.slots;
  std::vector<double> running;
  std::vector<std::pair<double, double>> work_by_due;
  size_t waiting = 0;
  for (size_t i = 0; i < jobs.size(); ++i) {
    for (const ForecastItem& item : jobs[i]->items) {
      if (item.remaining_events <= 0 || item.IsWaiting()) continue;
      running.push_back(item.remaining_events * item.running_seconds_per_event);
    }
    if (std::isinf(jobs[i]->due_in_seconds)) continue;
    waiting += CountWanted(*jobs[i], *forecasts[i]);
    const double due = std::max(kShortestHorizonSeconds, jobs[i]->due_in_seconds);
    work_by_due.emplace_back(due, forecasts[i]->needed_slot_seconds);
  }
  std::sort(work_by_due.begin(), work_by_due.end());
  double missing = 0;
  double work = 0;
  for (const auto& [due, needed] : work_by_due) {
    work += needed;
    if (work <= 0) continue;
    const double free = std::max(0.0, slots * due - BusyWithin(running, due));
    missing = std::max(missing, (work / kPlannedShare - free) / due);
  }
  return std::min(missing, static_cast<double>(waiting));
}

}  // namespace millstair
