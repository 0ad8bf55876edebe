#include "cluster/suspect_client.h"

#include <utility>

namespace millstair {
namespace {

/// A change that may not be committed by then is reported again or is harmless to lose.
constexpr Duration kTimeout = std::chrono::seconds(5);

}  // namespace

void SuspectClient::Submit(ClusterOperation operation, Duration timeout, Reported done) {
  SubmitOperation(cluster_, std::move(operation), timeout,
                  [done = std::move(done)](const absl::StatusOr<ClusterResult>& result) {
                    const bool committed = result.ok() && result->code == ClusterResultCode::kOk;
                    done(committed ? std::optional(result->revision) : std::nullopt);
                  });
}

void SuspectClient::Report(std::vector<CrashReport> reports, Reported done) {
  Submit(ReportCrashes{std::move(reports)}, kTimeout, std::move(done));
}

void SuspectClient::BeginTrial(const RequestFingerprint& request, Revision seen, Done done) {
  Submit(millstair::BeginTrial{request, seen}, kTimeout,
         [done = std::move(done)](std::optional<Revision> at) { done(at.has_value()); });
}

void SuspectClient::Clear(const RequestFingerprint& request, size_t crashes, Done done) {
  Submit(ClearSuspect{request, static_cast<uint32_t>(crashes)}, kTimeout,
         [done = std::move(done)](std::optional<Revision> at) { done(at.has_value()); });
}

}  // namespace millstair
