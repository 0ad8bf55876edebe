#include "simulator/checks/fleet_checks.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "fmt/format.h"

namespace millstair::checks {
namespace {

constexpr RunTime kNever = RunTime::max();

int64_t Milliseconds(RunTime time) { return time.count() / 1000; }

/// Whether an unplanned fault was active at any time in [begin, end].
bool UnplannedFaultActive(const History& history, RunTime begin, RunTime end) {
  return std::any_of(history.faults.begin(), history.faults.end(), [&](const FaultWindow& fault) {
    return !fault.planned && fault.begin <= end && fault.end.value_or(kNever) >= begin;
  });
}

bool OverlapsPlannedStop(const History& history, const CallAttempt& call) {
  return std::any_of(history.faults.begin(), history.faults.end(), [&](const FaultWindow& fault) {
    return fault.planned && fault.begin <= call.ended.value_or(kNever) &&
           fault.end.value_or(kNever) >= call.sent;
  });
}

void CheckCallOverPlannedStop(const History& history, const CallAttempt& call,
                              CheckResult& result) {
  // Timeouts, elections and broken connections outlast the fault that caused them.
  constexpr Duration kAftermath = std::chrono::seconds(10);
  const RunTime ended = call.ended.value_or(history.end);
  if (!OverlapsPlannedStop(history, call)) return;
  if (UnplannedFaultActive(history, call.sent - kAftermath, ended)) return;
  ++result.tried;
  if (call.end != CallEnd::kCut && call.end != CallEnd::kUnanswered) return;
  result.Break(fmt::format("attempt {} at {} sent {} ms ended without a complete response at {} ms",
                           call.attempt_id, call.gateway.value(), Milliseconds(call.sent),
                           Milliseconds(ended)));
}

/// Finds the newest revision accepted at or before a given time.
class AcceptedRevisions {
 public:
  explicit AcceptedRevisions(const std::vector<RevisionAccepted>& accepted) {
    for (const RevisionAccepted& one : accepted) {
      Revision& newest = by_time_[one.at];
      newest = std::max(newest, one.revision);
    }
    Revision largest;
    for (auto& [at, revision] : by_time_) {
      largest = std::max(largest, revision);
      revision = largest;
    }
  }

  Revision At(RunTime time) const {
    auto after = by_time_.upper_bound(time);
    return after == by_time_.begin() ? Revision() : std::prev(after)->second;
  }

 private:
  std::map<RunTime, Revision> by_time_;
};

/// State that one node has shown so far.
struct NodeView {
  Incarnation incarnation;
  Revision revision;
  Revision largest_ready;
};

void CheckRevisionsGrow(const ConfigurationSeen& seen, NodeView& view, CheckResult& result) {
  const std::string_view node = seen.node.value();
  if (seen.incarnation == view.incarnation && seen.revision < view.revision) {
    result.Break(fmt::format("{} went back from revision {} to {} at {} ms", node,
                             view.revision.value(), seen.revision.value(), Milliseconds(seen.at)));
  }
  if (seen.ready && seen.revision < view.largest_ready) {
    result.Break(fmt::format("{} is ready at revision {} after {} at {} ms", node,
                             seen.revision.value(), view.largest_ready.value(),
                             Milliseconds(seen.at)));
  }
  view.incarnation = seen.incarnation;
  view.revision = seen.revision;
  if (seen.ready) view.largest_ready = std::max(view.largest_ready, seen.revision);
}

void CheckInForce(const History& history, const AcceptedRevisions& accepted,
                  const ConfigurationSeen& seen, const AgreedBounds& bounds, CheckResult& result) {
  if (!seen.ready) return;
  const bool fault_active = UnplannedFaultActive(history, seen.at - bounds.in_force, seen.at);
  const Duration bound = fault_active ? bounds.in_force : bounds.in_force_undisturbed;
  const Revision due = accepted.At(seen.at - bound);
  if (seen.revision >= due) return;
  result.Break(
      fmt::format("{} assigns work at revision {} at {} ms; {} was accepted at least {} ms before",
                  seen.node.value(), seen.revision.value(), Milliseconds(seen.at), due.value(),
                  Milliseconds(bound)));
}

}  // namespace

CheckResult CheckNoNewWorkToLeaving(const History& history, const AgreedBounds& bounds) {
  CheckResult result{.name = "no-work-to-leaving"};
  std::map<EngineName, std::vector<const BackendArrival*>> arrivals;
  for (const BackendArrival& arrival : history.arrivals) {
    arrivals[arrival.backend].push_back(&arrival);
  }
  for (const BackendLeaving& leaving : history.leaving) {
    ++result.tried;
    const bool by_list = leaving.source == LeavingSource::kPlatformList;
    const RunTime limit = leaving.known + (by_list ? bounds.leaving_by_list : bounds.leaving);
    const RunTime until = leaving.until.value_or(kNever);
    for (const BackendArrival* arrival : arrivals[leaving.backend]) {
      if (arrival->at <= limit || arrival->at >= until) continue;
      result.Break(fmt::format("{} at {} ms to {}, which has been leaving since {} ms",
                               arrival->what, Milliseconds(arrival->at), leaving.backend.value(),
                               Milliseconds(leaving.known)));
    }
  }
  return result;
}

CheckResult CheckPlannedStops(const History& history) {
  CheckResult result{.name = "planned-stops-cut-nothing"};
  for (const FaultWindow& fault : history.faults) result.tried += fault.planned ? 1 : 0;
  for (const CallCutByPlannedStop& cut : history.planned_cuts) {
    result.Break(fmt::format("{} was open when {} ended at {} ms", cut.what, cut.node.value(),
                             Milliseconds(cut.at)));
  }
  for (const CallAttempt& call : history.calls) CheckCallOverPlannedStop(history, call, result);
  return result;
}

CheckResult CheckConfiguration(const History& history, const AgreedBounds& bounds) {
  CheckResult result{.name = "configuration-in-force"};
  const AcceptedRevisions accepted(history.accepted);
  std::vector<const ConfigurationSeen*> in_order;
  for (const ConfigurationSeen& seen : history.configurations) in_order.push_back(&seen);
  std::stable_sort(in_order.begin(), in_order.end(),
                   [](const auto* a, const auto* b) { return a->at < b->at; });
  std::map<NodeId, NodeView> views;
  for (const ConfigurationSeen* seen : in_order) {
    ++result.tried;
    CheckRevisionsGrow(*seen, views[seen->node], result);
    CheckInForce(history, accepted, *seen, bounds, result);
  }
  return result;
}

CheckResult CheckLiveness(const History& history, const AgreedBounds& bounds) {
  CheckResult result{.name = "liveness"};
  const RunTime recovered = history.healed + bounds.recovery;
  for (const Demand& demand : history.demands) {
    if (demand.requested > recovered) continue;
    ++result.tried;
    if (demand.done && *demand.done <= std::max(recovered, demand.requested + bounds.recovery))
      continue;
    result.Break(fmt::format(
        "{} requested at {} ms was not done within {} s after the request and the end of all "
        "faults",
        demand.what, Milliseconds(demand.requested), bounds.recovery.count() / 1'000'000));
  }
  for (const ConfigurationSeen& seen : history.configurations) {
    if (!seen.gateway || seen.at <= recovered) continue;
    ++result.tried;
    if (seen.ready) continue;
    result.Break(fmt::format("gateway {} is not ready at {} ms, at revision {}", seen.node.value(),
                             Milliseconds(seen.at), seen.revision.value()));
  }
  uint64_t sent = 0;
  uint64_t completed = 0;
  uint64_t completed_ever = 0;
  for (const CallAttempt& call : history.calls) {
    if (call.end == CallEnd::kComplete) ++completed_ever;
    if (call.end == CallEnd::kAbandoned || call.sent < recovered || !call.ended) continue;
    ++sent;
    if (call.end == CallEnd::kComplete) ++completed;
  }
  result.tried += 2;
  if (!history.calls.empty() && completed_ever == 0) {
    result.Break(fmt::format("none of {} calls completed", history.calls.size()));
  }
  if (static_cast<double>(completed) < bounds.recovered_share * static_cast<double>(sent)) {
    result.Break(fmt::format("{} of {} calls sent after recovery completed", completed, sent));
  }
  return result;
}

}  // namespace millstair::checks
