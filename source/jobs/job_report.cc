#include "jobs/job_report.h"

#include <map>
#include <set>

#include "common/event_log.h"
#include "jobs/job_scheduler.h"

namespace millstair {
namespace {

/// Bounds the lines about one job. Items that the client waited for come first.
constexpr size_t kMaxLoggedItems = 6;
constexpr int64_t kNever = -1;

/// For the log; -1 if `at` is the epoch, which stands for never.
int64_t MillisecondsBefore(TimePoint at, TimePoint now) {
  return at == TimePoint() ? kNever : ToMilliseconds(now - at);
}

}  // namespace

GroupCounts CountGroups(const JobRecord& record) {
  std::set<uint32_t> recorded;
  for (const JobResult& result : record.results) recorded.insert(result.item);
  GroupCounts counts;
  std::map<std::string, bool> complete_by_group;
  for (uint32_t index = 0; index < record.spec.items.size(); ++index) {
    const std::string& group = record.spec.items[index].group;
    const bool has_result = recorded.contains(index);
    if (group.empty()) {
      ++counts.groups;
      counts.complete += has_result ? 1 : 0;
      continue;
    }
    const auto [complete, first] = complete_by_group.try_emplace(group, true);
    complete->second = complete->second && has_result;
  }
  counts.groups += complete_by_group.size();
  for (const auto& [group, complete] : complete_by_group) counts.complete += complete ? 1 : 0;
  return counts;
}

std::string_view JobScheduler::PhaseName(Phase phase) {
  switch (phase) {
    case Phase::kWaiting:
      return "waiting";
    case Phase::kRunning:
      return "running";
    case Phase::kScoring:
      return "scoring";
    case Phase::kRecording:
      break;
  }
  return "recording";
}

void JobScheduler::LogJobEnd(const JobRecord& record, const JobWork& job) const {
  const JobSpec& spec = record.spec;
  const TimePoint now = environment_.Now();
  const GroupCounts groups = CountGroups(record);
  const uint64_t step = spec.step.value_or(0);
  LogEvent(EventId::kJobFinished,
           "job={} step={} model={} min_version={} named={} named_ms={} engines={} age_ms={} "
           "first_run_ms={} last_listed_ms={} items={} listed={} groups={} complete={} wanted={}",
           spec.id, step, spec.model, spec.min_version, loads_.NamedVersionOf(spec.model),
           MillisecondsBefore(loads_.NamedAt(spec.model), now),
           loads_.CountHolding(spec.model, spec.min_version),
           (environment_.WallNow() - record.submitted_at).count(),
           MillisecondsBefore(job.first_run_at, now), MillisecondsBefore(job.last_listed_at, now),
           spec.items.size(), record.results.size(), groups.groups, groups.complete,
           spec.wanted_groups);
  if (groups.complete < spec.wanted_groups) LogMissingItems(record, job);
}

void JobScheduler::LogMissingItems(const JobRecord& record, const JobWork& job) const {
  size_t logged = 0;
  for (const bool spare : {false, true}) {
    for (const auto& work : job.items) {
      if (work == nullptr || work->spare != spare) continue;
      if (state_.IsRecorded(work->job, work->index)) continue;
      if (++logged > kMaxLoggedItems) return;
      LogMissingItem(record, *work);
    }
  }
}

void JobScheduler::LogMissingItem(const JobRecord& record, const Work& work) const {
  const JobItem& item = record.spec.items[work.index];
  const ItemHistory& history = work.history;
  LogEvent(EventId::kItemMissing,
           "job={} item={} group={} phase={} spare={} carried={} events={} runs={} failed_runs={} "
           "last_failure={} withheld={} scoring_errors={} instance={}",
           work.job, item.id, item.group, PhaseName(work.phase), work.spare,
           lengths_.Contains(item.id), work.progress.events, history.runs, history.failed_runs,
           history.last_failure ? ItemRunEndName(*history.last_failure) : "", history.withheld,
           work.scoring_errors, work.run != nullptr ? work.run->instance() : InstanceId());
}

}  // namespace millstair
