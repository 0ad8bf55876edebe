/// The part of JobScheduler that collects the inputs of the admission of a new job.
#include <algorithm>
#include <limits>
#include <set>

#include "jobs/job_scheduler.h"

namespace millstair {
namespace {

/// Engines whose events arrive together count with this pace, so that no pool is infinitely fast.
constexpr double kMinSecondsPerEvent = 0.0001;

}  // namespace

std::optional<JobRejection> JobScheduler::RejectionOf(const JobSpec& spec) const {
  if (!options_.shares_steps || !leading_) return std::nullopt;
  const Route* route = RouteOf(spec);
  if (route == nullptr || route->item_lifetime <= Duration(0)) return std::nullopt;
  ForecastPool pool;
  std::set<InstanceId> engines;
  const EngineUse use{route, spec.model, spec.min_version == WeightVersion()};
  for (const BackendInstance* engine : EnginesFor(use)) {
    const double pace = std::max(kMinSecondsPerEvent, speeds_.SecondsPerEvent(engine->id));
    pool.engines.push_back({std::max(1U, engine->slots), pace});
    engines.insert(engine->id);
  }
  return DecideAdmission(pool, OpenJobsAt(engines), NewJobOf(spec, *route));
}

std::vector<AdmissionJob> JobScheduler::OpenJobsAt(const std::set<InstanceId>& engines) const {
  std::vector<AdmissionJob> open;
  for (const auto& [id, job] : jobs_) {
    const JobRecord* record = state_.Find(id);
    const Route* route = record == nullptr ? nullptr : RouteOf(*record);
    if (route == nullptr || record->ended) continue;
    const EngineUse use{route, record->spec.model, record->spec.min_version == WeightVersion()};
    const std::vector<const BackendInstance*> its = EnginesFor(use);
    // Jobs that also have other engines may not need these.
    const bool only_here = std::all_of(
        its.begin(), its.end(),
        [&engines](const BackendInstance* engine) { return engines.contains(engine->id); });
    if (!only_here) continue;
    AdmissionJob& added = open.emplace_back();
    added.job = ForecastJobOf(*record, job);
    added.job.priority = ingress_.routes()->PriorityOf(*route, record->spec.tenant);
    added.given_up_in_seconds = std::numeric_limits<double>::infinity();
    if (route->item_lifetime > Duration(0)) {
      const Duration age = environment_.WallNow() - record->submitted_at;
      added.given_up_in_seconds = std::max(0.0, ToSeconds(route->item_lifetime - age));
    }
  }
  return open;
}

AdmissionJob JobScheduler::NewJobOf(const JobSpec& spec, const Route& route) const {
  AdmissionJob added;
  added.given_up_in_seconds = ToSeconds(route.item_lifetime);
  ForecastJob& job = added.job;
  job.priority = ingress_.routes()->PriorityOf(route, spec.tenant);
  job.due_in_seconds = route.job_deadline > Duration(0) ? ToSeconds(route.job_deadline)
                                                        : std::numeric_limits<double>::infinity();
  const uint64_t tokens_per_event = TokensPerEvent(&route);
  const ItemOrder order =
      OrderItems(spec, [this, tokens_per_event](const JobItem& item) -> ItemEstimate {
        return {lengths_.ExpectedEvents(item, 0, tokens_per_event), lengths_.Contains(item.id)};
      });
  for (const bool carried : order.carried_groups) job.groups.push_back({false, carried, false});
  job.wanted_groups = spec.wanted_groups == 0 ? job.groups.size() : spec.wanted_groups;
  for (size_t index = 0; index < spec.items.size(); ++index) {
    const JobItem& item = spec.items[index];
    const uint64_t made = partial_texts_.EventsOf({spec.tenant, item.id});
    const double expected = lengths_.ExpectedEvents(item, made, tokens_per_event);
    // A recorded text may be reused without a run.
    const bool recorded = lengths_.RecordedTextOf(item.id).has_value();
    const double remaining = recorded ? 0 : std::max(1.0, expected - static_cast<double>(made));
    job.groups[order.groups[index]].spare = order.spare[index];
    job.items.push_back({order.groups[index], remaining, 0});
  }
  return added;
}

}  // namespace millstair
