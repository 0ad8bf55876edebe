#include "bench/scale/hollow_engines.h"

#include <algorithm>
#include <utility>

namespace millstair {
namespace {

/// Versions that a hollow engine holds ready.
constexpr size_t kMaxStaged = 2;

class NoCall : public CallHandle {};

}  // namespace

std::unique_ptr<CallHandle> HollowEngines::Generate(const std::string& address,
                                                    GenerateRequest request,
                                                    GenerateObserver& observer) {
  (void)address;
  (void)request;
  environment_.Schedule(options_.answer_delay, alive_.Guard([&observer] {
    observer.OnFailed(CallFailure::kRefused, false, "hollow engines generate nothing");
  }));
  return std::make_unique<NoCall>();
}

EngineReport& HollowEngines::ReportOf(const std::string& address) {
  EngineReport& report = reports_by_address_[address];
  if (report.incarnation == Incarnation(0)) {
    report.incarnation = Incarnation(1);
    report.max_sequences = options_.max_sequences;
    report.total_kv_blocks = options_.total_kv_blocks;
    report.free_kv_blocks = options_.total_kv_blocks;
    report.step_time = std::chrono::milliseconds(20);
  }
  return report;
}

Duration HollowEngines::OrderTime(OrderKind kind) const {
  switch (kind) {
    case OrderKind::kStage:
      return options_.stage_time;
    case OrderKind::kActivate:
      return options_.activate_time;
    default:
      return options_.answer_delay;
  }
}

void HollowEngines::Stage(EngineReport& report, const EngineOrder& order) {
  auto& staged = report.staged_versions;
  if (std::find(staged.begin(), staged.end(), order.version) != staged.end()) return;
  staged.push_back(order.version);
  if (staged.size() > kMaxStaged) staged.erase(staged.begin());
}

void HollowEngines::Activate(const std::string& address, EngineReport& report,
                             const EngineOrder& order) {
  if (report.active_version == order.version) return;
  std::erase(report.staged_versions, order.version);
  report.model = order.model;
  report.active_version = order.version;
  report.active_digest = order.digest;
  activations_.push_back({address, order.version, environment_.Now()});
}

absl::Status HollowEngines::Execute(const std::string& address, const EngineOrder& order) {
  EngineReport& report = ReportOf(address);
  if (order.fence < report.last_fence) {
    return absl::FailedPreconditionError("the fence is smaller than one seen before");
  }
  report.last_fence = order.fence;
  if (order.kind == OrderKind::kStage) Stage(report, order);
  if (order.kind == OrderKind::kActivate) Activate(address, report, order);
  if (order.kind == OrderKind::kUnload) std::erase(report.staged_versions, order.version);
  if (order.kind == OrderKind::kChangeRole) report.role = order.role;
  return absl::OkStatus();
}

void HollowEngines::SendOrder(const std::string& address, const EngineOrder& order,
                              std::function<void(absl::Status)> done) {
  environment_.Schedule(OrderTime(order.kind),
                        alive_.Guard([this, address, order, done = std::move(done)] {
                          done(Execute(address, order));
                        }));
}

void HollowEngines::FetchReport(const std::string& address,
                                std::function<void(absl::StatusOr<EngineReport>)> done) {
  ++reports_;
  environment_.Schedule(
      options_.answer_delay,
      alive_.Guard([this, address, done = std::move(done)] { done(ReportOf(address)); }));
}

void HollowEngines::FetchCacheEvents(const std::string& address, uint64_t after, bool resync,
                                     std::function<void(absl::StatusOr<CacheEvents>)> done) {
  (void)after;
  (void)resync;
  environment_.Schedule(options_.answer_delay,
                        alive_.Guard([this, address, done = std::move(done)] {
                          CacheEvents events;
                          events.incarnation = ReportOf(address).incarnation;
                          done(events);
                        }));
}

}  // namespace millstair
