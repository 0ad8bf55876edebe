#include "jobs/pool_need_reporter.h"

#include <algorithm>
#include <utility>

namespace millstair {

PoolNeedReporter::PoolNeedReporter(Environment& environment, Collect collect, Send send)
    : environment_(environment),
      collect_(std::move(collect)),
      send_(std::move(send)),
      timer_(environment) {}

void PoolNeedReporter::SetLeading(RaftGroup* group) {
  group_ = group;
  sequence_ = 0;
  next_calm_report_at_ = environment_.Now();
  if (group_ == nullptr) return timer_.Cancel();
  // The forecast of a new leader lacks the runs that it has yet to resume.
  timer_.Arm(kCalmReportInterval, [this] { Tick(); });
}

void PoolNeedReporter::Tick() {
  timer_.Arm(kLateReportInterval, [this] { Tick(); });
  if (group_ == nullptr || !group_->IsLeader() || busy_) return;
  std::vector<PoolNeed> needs = collect_();
  if (needs.empty()) return;
  const TimePoint now = environment_.Now();
  const bool late = std::any_of(needs.begin(), needs.end(), [](const PoolNeed& need) {
    return need.lateness_seconds.value_or(0) > 0;
  });
  if (!late && now < next_calm_report_at_) return;
  next_calm_report_at_ = now + kCalmReportInterval;
  busy_ = true;
  // A lost report is not repeated: the next one replaces it.
  send_({{group_->CurrentTerm(), ++sequence_, std::move(needs)}},
        alive_.Guard([this](const absl::Status&) { busy_ = false; }));
}

}  // namespace millstair
