#include "jobs/job_placement_reporter.h"

#include <utility>

#include "common/event_log.h"

namespace millstair {
namespace {

/// Polling interval of the members, whose change takes a few commits of some ten milliseconds. A
/// gateway with an old list is redirected by the replicas.
constexpr Duration kTick = std::chrono::milliseconds(100);

}  // namespace

JobPlacementReporter::JobPlacementReporter(Environment& environment, NodeId self, Propose propose)
    : self_(std::move(self)), propose_(std::move(propose)), timer_(environment) {}

void JobPlacementReporter::SetLeading(RaftGroup* group) {
  group_ = group;
  reported_ = {};
  sequence_ = 0;
  if (group_ == nullptr) return timer_.Cancel();
  Tick();
}

void JobPlacementReporter::Tick() {
  timer_.Arm(kTick, [this] { Tick(); });
  if (group_ == nullptr || !group_->IsLeader() || busy_) return;
  JobGroupPlacement placement{group_->CurrentTerm(), reported_.sequence, self_, group_->Members()};
  if (placement == reported_) return;
  placement.sequence = ++sequence_;
  Report(std::move(placement));
}

void JobPlacementReporter::Report(JobGroupPlacement placement) {
  busy_ = true;
  auto done = alive_.Guard([this, placement](const absl::Status& status) {
    busy_ = false;
    if (!status.ok()) {
      // Retried at the next tick.
      LogEvent(EventId::kJobPlacementUnreported, "term={} reason=\"{}\"", placement.term,
               std::string(status.message()));
      return;
    }
    if (group_ != nullptr && group_->CurrentTerm() == placement.term) reported_ = placement;
  });
  propose_({group_->id(), std::move(placement)}, std::move(done));
}

}  // namespace millstair
