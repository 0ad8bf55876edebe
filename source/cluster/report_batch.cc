#include "cluster/report_batch.h"

namespace millstair {
namespace {

/// Minimum time between two entries, well below the second that a server waits for its
/// acknowledgement.
constexpr Duration kBatchInterval = std::chrono::milliseconds(20);
/// Bounds the size of one log entry.
constexpr size_t kMaxReports = 256;

}  // namespace

void ReportBatch::Add(BackendInstance report, Done done) {
  reports_.push_back(std::move(report));
  done_.push_back(std::move(done));
  const Duration delay = next_at_ - environment_.Now();
  if (delay <= Duration(0) || reports_.size() >= kMaxReports) return Flush();
  if (!timer_.armed()) timer_.Arm(delay, [this] { Flush(); });
}

void ReportBatch::Flush() {
  timer_.Cancel();
  next_at_ = environment_.Now() + kBatchInterval;
  auto reports = std::exchange(reports_, {});
  auto done = std::exchange(done_, {});
  if (reports.size() > 1 && can_group_()) {
    return Propose(UpdateInstances{std::move(reports)}, std::move(done));
  }
  for (size_t i = 0; i < reports.size(); ++i) {
    Propose(UpdateInstance{std::move(reports[i])}, {std::move(done[i])});
  }
}

void ReportBatch::Propose(ClusterOperation operation, std::vector<Done> done) {
  const std::string command = EncodeCommand({std::move(operation), std::nullopt, {}});
  cluster_.ProposeEncoded(command,
                          [done = std::move(done)](const absl::StatusOr<std::string>& result) {
                            for (const Done& each : done) each(result);
                          });
}

}  // namespace millstair
