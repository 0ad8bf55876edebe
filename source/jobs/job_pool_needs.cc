/// The part of JobScheduler that sums up what its jobs need of services whose servers can be
/// ordered.
#include <algorithm>
#include <cmath>
#include <set>

#include "jobs/job_scheduler.h"
#include "jobs/missing_slots.h"

namespace millstair {
namespace {

using Needs = std::map<ServiceName, PoolNeed>;

bool Runs(const Route& route, const ServiceName& service) {
  return std::any_of(route.services.begin(), route.services.end(),
                     [&](const ServiceShare& share) { return share.service == service; });
}

/// The missing slots of a pool are divided equally among the services that can provide them.
void AddMissingSlots(double slots, const std::set<ServiceName>& services, Needs& needs) {
  for (const ServiceName& service : services) {
    needs.at(service).missing_slots += slots / static_cast<double>(services.size());
  }
}

void AddLateness(const Route& route, const ForecastJob& job, const JobForecast& forecast,
                 PoolNeed& need) {
  if (std::isinf(forecast.lateness_seconds)) return;
  need.lateness_seconds = std::max(need.lateness_seconds.value_or(forecast.lateness_seconds),
                                   forecast.lateness_seconds);
  // The next step of the client is due this long after its submission.
  need.useful_within_seconds =
      std::max({need.useful_within_seconds, job.due_in_seconds, ToSeconds(route.job_deadline)});
}

}  // namespace

std::vector<PoolNeed> JobScheduler::PoolNeeds() const {
  Needs needs;
  const RouteTable* routes = ingress_.routes();
  if (!leading_ || routes == nullptr) return {};
  for (const Service& service : routes->services) {
    if (service.scaling) needs[service.name].service = service.name;
  }
  if (needs.empty()) return {};
  const ForecastInputs inputs = CollectForecastInputs();
  const std::vector<JobForecast> forecasts = ForecastSteps(inputs.pools, inputs.jobs);
  for (size_t pool = 0; pool < inputs.pools.size(); ++pool) {
    std::vector<const ForecastJob*> jobs;
    std::vector<const JobForecast*> forecasts_of_jobs;
    std::set<ServiceName> services;
    for (size_t i = 0; i < inputs.jobs.size(); ++i) {
      if (inputs.jobs[i].pool != pool) continue;
      jobs.push_back(&inputs.jobs[i]);
      forecasts_of_jobs.push_back(&forecasts[i]);
      const Route& route = *RouteOf(*inputs.records[i]);
      for (auto& [service, need] : needs) {
        if (!Runs(route, service)) continue;
        services.insert(service);
        AddLateness(route, inputs.jobs[i], forecasts[i], need);
      }
    }
    AddMissingSlots(MissingSlots(inputs.pools[pool], jobs, forecasts_of_jobs), services, needs);
  }
  std::vector<PoolNeed> found;
  for (auto& [service, need] : needs) {
    need.busy_slots = CountRunning(service);
    need.answering_slots = CountAnsweringSlots(service);
    found.push_back(need);
  }
  return found;
}

uint32_t JobScheduler::CountAnsweringSlots(const ServiceName& service) const {
  uint32_t slots = 0;
  for (const BackendInstance* engine : ingress_.directory().Live(service)) {
    if (loads_.IsLost(engine->id) || ingress_.directory().Ejected(engine->id)) continue;
    slots += engine->slots;
  }
  return slots;
}

uint32_t JobScheduler::CountRunning(const ServiceName& service) const {
  std::set<InstanceId> engines;
  for (const BackendInstance* engine : loads_.EnginesOf(service)) engines.insert(engine->id);
  uint32_t running = 0;
  for (const auto& [id, job] : jobs_) {
    for (const auto& work : job.items) {
      if (work == nullptr || work->run == nullptr) continue;
      running += engines.contains(work->run->instance()) ? 1 : 0;
    }
  }
  return running;
}

}  // namespace millstair
