/// The part of JobScheduler that forecasts when jobs are complete and orders the queue by it.
#include <algorithm>
#include <cmath>
#include <utility>

#include "common/event_log.h"
#include "jobs/job_scheduler.h"

namespace millstair {
namespace {

/// Minimum time between forecasts: each one iterates over all open items.
constexpr Duration kForecastInterval = std::chrono::milliseconds(250);
/// Allowance for running texts that grow by a third beyond their expected length, as those do that
/// exceed it.
constexpr double kGrowthAllowanceSeconds = 2;
/// Bound on the interval after which runs are considered again.
constexpr double kMaxForecastPauseSeconds = 60;

/// A job of `groups` groups that states no number wants all of them.
size_t WantedGroups(const JobSpec& spec, size_t groups) {
  return spec.wanted_groups == 0 ? groups : spec.wanted_groups;
}

}  // namespace

void JobScheduler::UpdateForecast() {
  if (!options_.shares_steps) return;
  const TimePoint now = environment_.Now();
  if (jobs_.empty()) return SetForecastMetrics({}, 0);
  if (now < next_forecast_at_ || (waiting_.empty() && now < no_lateness_before_)) return;
  next_forecast_at_ = now + kForecastInterval;
  const ForecastInputs inputs = CollectForecastInputs();
  const std::vector<JobForecast> forecasts = ForecastSteps(inputs.pools, inputs.jobs);
  ApplyForecasts(inputs, forecasts);
  ReportForecasts(inputs, forecasts);
  double latest = -kMaxForecastPauseSeconds;
  for (const JobForecast& forecast : forecasts) {
    latest = std::max(latest, forecast.lateness_seconds);
  }
  no_lateness_before_ = now + FromSeconds(std::max(0.0, -latest - kGrowthAllowanceSeconds));
}

JobScheduler::ForecastInputs JobScheduler::CollectForecastInputs() const {
  ForecastInputs inputs;
  std::map<EngineUse, size_t> pool_of_use;
  std::map<InstanceId, size_t> pool_of_engine;
  for (const auto& [id, job] : jobs_) {
    const JobRecord* record = state_.Find(id);
    const Route* route = record == nullptr ? nullptr : RouteOf(*record);
    if (route == nullptr || record->ended) continue;
    inputs.jobs.push_back(ForecastJobOf(*record, job));
    inputs.jobs.back().priority = ingress_.routes()->PriorityOf(*route, record->spec.tenant);
    inputs.records.push_back(record);
    const EngineUse use{route, record->spec.model, record->spec.min_version == WeightVersion()};
    const auto [pool, is_new] = pool_of_use.try_emplace(use, inputs.pools.size());
    if (is_new) {
      inputs.pools.emplace_back();
      for (const BackendInstance* engine : EnginesFor(use)) {
        const auto [owner, unowned] = pool_of_engine.try_emplace(engine->id, pool->second);
        if (!unowned) {
          MergePools(inputs, owner->second, pool->second, pool_of_use, pool_of_engine);
          continue;
        }
        const double pace = std::max(kMinSecondsPerEvent, speeds_.SecondsPerEvent(engine->id));
        inputs.pools[pool->second].engines.push_back({std::max(1U, engine->slots), pace});
      }
    }
    inputs.jobs.back().pool = pool->second;
  }
  return inputs;
}

void JobScheduler::MergePools(ForecastInputs& inputs, size_t from, size_t to,
                              std::map<EngineUse, size_t>& pool_of_use,
                              std::map<InstanceId, size_t>& pool_of_engine) {
  if (from == to) return;
  auto& engines = inputs.pools[from].engines;
  inputs.pools[to].engines.insert(inputs.pools[to].engines.end(), engines.begin(), engines.end());
  engines.clear();
  for (ForecastJob& job : inputs.jobs) {
    if (job.pool == from) job.pool = to;
  }
  for (auto& [use, pool] : pool_of_use) {
    if (pool == from) pool = to;
  }
  for (auto& [engine, pool] : pool_of_engine) {
    if (pool == from) pool = to;
  }
}

std::vector<const BackendInstance*> JobScheduler::EnginesFor(const EngineUse& use) const {
  std::vector<const BackendInstance*> engines;
  for (const ServiceShare& share : use.route->services) {
    for (const BackendInstance* engine : loads_.EnginesOf(share.service)) {
      const EngineLoadState* load = loads_.StateOf(engine->id);
      // An engine that loads weights of its model counts, since it takes runs again within a
      // second.
      const bool assigned = load != nullptr && load->assigned == use.model;
      if (!assigned && !use.any_version) continue;
      if (!ingress_.directory().Ejected(engine->id)) engines.push_back(engine);
    }
  }
  return engines;
}

ForecastJob JobScheduler::ForecastJobOf(const JobRecord& record, const JobWork& job,
                                        PaceKind kind) const {
  ForecastJob forecast;
  forecast.due_in_seconds = SecondsLeft(record);
  forecast.groups = job.groups;
  forecast.wanted_groups = WantedGroups(record.spec, job.groups.size());
  for (const JobResult& result : record.results) {
    if (result.state != ItemState::kDone) {
      forecast.groups[job.group_of_item[result.item]].failed = true;
    }
  }
  const uint64_t tokens_per_event = TokensPerEvent(record);
  for (const auto& work : job.items) {
    if (work == nullptr || state_.IsRecorded(work->job, work->index)) continue;
    ForecastItem item;
    item.group = work->group;
    const bool running = work->phase == Phase::kRunning && work->run != nullptr;
    if (running || work->phase == Phase::kWaiting) {
      item.remaining_events = RemainingEvents(*work, record, tokens_per_event);
    }
    if (running) {
      const InstanceId& engine = work->run->instance();
      const double pace = kind == PaceKind::kMeasured ? speeds_.MeasuredSecondsPerEvent(engine)
                                                      : speeds_.SecondsPerEvent(engine);
      item.running_seconds_per_event = std::max(kMinSecondsPerEvent, pace);
    }
    forecast.items.push_back(item);
  }
  return forecast;
}

void JobScheduler::ApplyForecasts(const ForecastInputs& inputs,
                                  const std::vector<JobForecast>& forecasts) {
  const TimePoint now = environment_.Now();
  ReorderQueues([&] {
    for (size_t i = 0; i < forecasts.size(); ++i) {
      JobWork& job = jobs_.at(inputs.records[i]->spec.id);
      job.priority = inputs.jobs[i].priority;
      job.position = forecasts[i].position;
      for (const auto& work : job.items) {
        if (work == nullptr) continue;
        work->tier = forecasts[i].tiers[work->group];
        const bool must_start = work->tier == GroupTier::kPlanned && work->latest_start <= now;
        work->group_order = must_start ? 0 : forecasts[i].order[work->group];
      }
    }
  });
}

void JobScheduler::ReorderQueues(const std::function<void()>& change) {
  std::set<Rank> waiting = std::exchange(waiting_, {});
  auto scoring = std::exchange(scoring_waiting_, {});
  change();
  const auto insert = [this](std::set<Rank>& queue, const Rank& rank) {
    const auto job = jobs_.find(rank.job);
    if (job == jobs_.end() || job->second.items.at(rank.index) == nullptr) return;
    queue.insert(RankOf(*job->second.items[rank.index]));
  };
  for (const Rank& rank : waiting) insert(waiting_, rank);
  for (const auto& [route, ranks] : scoring) {
    for (const Rank& rank : ranks) insert(scoring_waiting_[route], rank);
  }
}

void JobScheduler::ReportForecasts(const ForecastInputs& inputs,
                                   const std::vector<JobForecast>& forecasts) {
  std::map<std::string, double> lateness_by_route;
  size_t deferred = 0;
  for (size_t i = 0; i < forecasts.size(); ++i) {
    const JobRecord& record = *inputs.records[i];
    deferred += forecasts[i].deferred_groups;
    if (std::isinf(forecasts[i].lateness_seconds)) continue;
    const auto [known, first] =
        lateness_by_route.try_emplace(RouteOf(record)->name, forecasts[i].lateness_seconds);
    if (!first) known->second = std::max(known->second, forecasts[i].lateness_seconds);
    ReportLateJob(record, forecasts[i]);
  }
  SetForecastMetrics(lateness_by_route, deferred);
}

void JobScheduler::ReportLateJob(const JobRecord& record, const JobForecast& forecast) {
  JobWork& job = jobs_.at(record.spec.id);
  const bool late = forecast.lateness_seconds > 0;
  if (!late || forecast.planned_groups + forecast.deferred_groups == 0) return;
  if (std::exchange(job.reported_late, true)) return;
  LogEvent(EventId::kStepLate,
           "job={} step={} route={} late_ms={} complete={} planned={} wanted={}", record.spec.id,
           record.spec.step.value_or(0), RouteOf(record)->name,
           ToMilliseconds(FromSeconds(forecast.lateness_seconds)), forecast.complete_groups,
           forecast.planned_groups, WantedGroups(record.spec, job.groups.size()));
}

void JobScheduler::SetForecastMetrics(const std::map<std::string, double>& lateness_by_route,
                                      size_t deferred) {
  if (!options_.shares_steps || stats_ == nullptr) return;
  const auto lateness = [this](const std::string& route) -> Gauge& {
    return stats_->NewGauge({"millstair_step_lateness_seconds",
                             "Expected lateness of the latest open job; negative: time to spare.",
                             "route", route});
  };
  for (const std::string& route : routes_with_lateness_) {
    if (!lateness_by_route.contains(route)) lateness(route).Set(0);
  }
  for (const auto& [route, seconds] : lateness_by_route) {
    lateness(route).Set(seconds);
    routes_with_lateness_.insert(route);
  }
  stats_
      ->NewGauge({"millstair_groups_deferred",
                  "Wanted groups of open jobs that do not fit in their share of the engines.", "",
                  ""})
      .Set(static_cast<double>(deferred));
}

}  // namespace millstair
