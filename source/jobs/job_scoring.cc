/// The part of JobScheduler that has complete texts scored, within the capacity of the scorers.
#include <algorithm>
#include <utility>

#include "common/event_log.h"
#include "jobs/job_scheduler.h"

namespace millstair {
namespace {

constexpr Duration kFailedRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(1);
/// Concurrent scorings without a matching route. They fail and are retried in case a route appears.
constexpr uint32_t kMaxUnroutedScorings = 8;
constexpr int kInternalServerError = 500;

}  // namespace

void JobScheduler::Score(Work& work, const JobRecord& record) {
  const auto& scoring = record.spec.items[work.index].scoring;
  if (!scoring) return RecordOutcome(work, ItemState::kDone, "");
  const RouteTable* routes = ingress_.routes();
  const Route* route = routes == nullptr ? nullptr : routes->Find(scoring->host, scoring->path);
  work.phase = Phase::kScoring;
  work.scoring_route = route == nullptr ? "" : route->name;
  scoring_waiting_[work.scoring_route].insert(RankOf(work));
  StartScoring();
}

uint32_t JobScheduler::MaxScorings(const std::string& route_name) const {
  const RouteTable* routes = ingress_.routes();
  const Route* route = routes == nullptr ? nullptr : routes->FindByName(route_name);
  if (route == nullptr) return kMaxUnroutedScorings;
  uint32_t slots = 0;
  for (const ServiceShare& share : route->services) {
    for (const BackendInstance* scorer : ingress_.directory().Live(share.service)) {
      slots += std::max(1U, scorer->slots);
    }
  }
  return std::max(1U, slots);
}

void JobScheduler::StartScoring() {
  // The route to the scorer may have changed: texts wait until the configuration is confirmed
  // current, and until the group commits: an end that can't commit calls nothing back. Pump calls
  // this again.
  if (!may_start_work_() || !CommitsInTime()) return;
  for (auto& [route, waiting] : scoring_waiting_) {
    const uint32_t max_scorings = waiting.empty() ? 0 : MaxScorings(route);
    while (!waiting.empty() && scorings_[route] < max_scorings) {
      const Rank next = waiting.extract(waiting.begin()).value();
      Work* work = FindWork(next.job, next.index);
      const JobRecord* record = state_.Find(next.job);
      if (work != nullptr && record != nullptr && !record->ended) SendScoring(*work, *record);
    }
  }
  std::erase_if(scoring_waiting_, [](const auto& entry) { return entry.second.empty(); });
}

void JobScheduler::SendScoring(Work& work, const JobRecord& record) {
  const JobScoring& scoring = *record.spec.items[work.index].scoring;
  ++scorings_[work.scoring_route];
  ForwardRequest request{
      {"POST", scoring.path, {}, scoring.body}, scoring.host, scoring.id, std::nullopt};
  request.trusted = true;
  work.scoring = ingress_.Forward(
      std::move(request),
      alive_.Guard([this, job = work.job, index = work.index](const ForwardResult& result) {
        OnScored(job, index, result);
      }));
}

void JobScheduler::EndScoring(Work& work) {
  work.scoring.reset();
  const auto running = scorings_.find(work.scoring_route);
  if (running != scorings_.end() && --running->second == 0) scorings_.erase(running);
}

void JobScheduler::CancelScoring(Work& work) {
  const auto waiting = scoring_waiting_.find(work.scoring_route);
  if (waiting != scoring_waiting_.end()) waiting->second.erase(RankOf(work));
  if (!work.scoring) return;
  ingress_.Cancel(*work.scoring);
  EndScoring(work);
}

void JobScheduler::OnScored(const JobId& job, uint32_t index, const ForwardResult& result) {
  Work* work = FindWork(job, index);
  const JobRecord* record = state_.Find(job);
  if (work == nullptr || work->phase != Phase::kScoring || record == nullptr) return;
  EndScoring(*work);
  StartScoring();
  const bool answered = result.outcome == ForwardOutcome::kAnswered;
  if (answered && IsSuccess(result.head.status) && !result.signature.empty()) {
    return RecordOutcome(*work, ItemState::kDone, result.signature);
  }
  work->scoring_errors += result.server_errors;
  if (answered && result.head.status == kInternalServerError) {
    const JobScoring& scoring = *record->spec.items[index].scoring;
    const Route* own = RouteOf(*record);
    const Route* scorer = ingress_.routes() == nullptr
                              ? nullptr
                              : ingress_.routes()->Find(scoring.host, scoring.path);
    const uint32_t attempts =
        std::max(own == nullptr ? 1 : own->attempts, scorer == nullptr ? 1 : scorer->attempts);
    if (work->scoring_errors >= attempts) return RecordOutcome(*work, ItemState::kFailed, "");
  }
  // A held request states when to retry.
  const Duration pause = std::clamp(result.retry_after, kFailedRetryDelay, kMaxRetryDelay);
  environment_.Schedule(pause, alive_.Guard([this, job, index] {
    Work* again = FindWork(job, index);
    const JobRecord* known = state_.Find(job);
    if (again == nullptr || known == nullptr || again->phase != Phase::kScoring) return;
    if (!again->scoring && !known->ended) Score(*again, *known);
  }));
}

}  // namespace millstair
