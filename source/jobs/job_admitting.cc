/// The part of JobScheduler that collects the inputs of the admission of a new job.
#include <algorithm>
#include <limits>
#include <set>

#include "jobs/job_scheduler.h"

namespace millstair {
namespace {

/// Time after a late scheduling pass until paces and progress are current again.
constexpr Duration kResumePause = std::chrono::seconds(1);

}  // namespace

std::optional<JobRejection> JobScheduler::RejectionOf(const JobSpec& spec) const {
  if (!options_.shares_steps || !leading_) return std::nullopt;
  const TimePoint now = environment_.Now();
  if (PassIsLate(now) || (resumed_at_ && now < *resumed_at_ + kResumePause)) return std::nullopt;
  const Route* route = RouteOf(spec);
  if (route == nullptr || route->item_lifetime <= Duration(0)) return std::nullopt;
  const EngineUse use{route, spec.model, spec.min_version == WeightVersion()};
  const ForecastPool pool = AdmissionPoolOf(*route);
  if (pool.engines.empty()) return std::nullopt;
  return DecideAdmission(pool, OpenJobsAt(use), NewJobOf(spec, *route));
}

std::set<InstanceId> JobScheduler::LiveEnginesOf(const Route& route) const {
  std::set<InstanceId> engines;
  for (const ServiceShare& share : route.services) {
    for (const BackendInstance* engine : ingress_.directory().Live(share.service)) {
      engines.insert(engine->id);
    }
  }
  return engines;
}

ForecastPool JobScheduler::AdmissionPoolOf(const Route& route) const {
  const std::map<InstanceId, double> measured = speeds_.known_seconds();
  ForecastPool pool;
  std::vector<uint32_t> unmeasured_slots;
  double fastest = std::numeric_limits<double>::infinity();
  for (const InstanceId& id : LiveEnginesOf(route)) {
    const uint32_t slots = std::max(1U, ingress_.directory().FindLive(id)->slots);
    const auto known = measured.find(id);
    if (known == measured.end()) {
      unmeasured_slots.push_back(slots);
      continue;
    }
    const double pace = std::max(kMinSecondsPerEvent, known->second);
    pool.engines.push_back({slots, pace});
    fastest = std::min(fastest, pace);
  }
  if (pool.engines.empty()) return {};
  for (const uint32_t slots : unmeasured_slots) pool.engines.push_back({slots, fastest});
  return pool;
}

std::vector<AdmissionJob> JobScheduler::OpenJobsAt(const EngineUse& use) const {
  const std::set<InstanceId> engines = LiveEnginesOf(*use.route);
  std::vector<AdmissionJob> open;
  for (const auto& [id, job] : jobs_) {
    const JobRecord* record = state_.Find(id);
    const Route* route = record == nullptr ? nullptr : RouteOf(*record);
    if (route == nullptr || record->ended) continue;
    // A job of one model leaves the engines of other models free.
    const bool any_version = record->spec.min_version == WeightVersion();
    const bool same_model = !use.any_version && record->spec.model == use.model;
    if (!any_version && !same_model) continue;
    if (EnginesFor({route, record->spec.model, any_version}).empty()) continue;
    // Jobs that also have other engines may not need these.
    const std::set<InstanceId> its = LiveEnginesOf(*route);
    if (!std::includes(engines.begin(), engines.end(), its.begin(), its.end())) continue;
    AdmissionJob& added = open.emplace_back();
    added.job = ForecastJobOf(*record, job, PaceKind::kMeasured);
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
