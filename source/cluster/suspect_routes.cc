#include "cluster/suspect_routes.h"

#include <boost/json.hpp>
#include <limits>

namespace millstair {

void SuspectRoutes::List(const SharedWriter& writer) const {
  boost::json::array suspects;
  for (const auto& [request, suspect] : cluster_.configuration().suspects) {
    const std::string standing(SuspectStandingName(suspect.standing()));
    suspects.push_back(boost::json::object{
        {"request", request.value()},
        {"place", suspect.place},
        {"standing", standing},
        {"crashes", suspect.crashed.size()},
        {"trials", suspect.trials},
        {"changed_milliseconds", suspect.changed_time.time_since_epoch().count()}});
  }
  const boost::json::object body{{"suspects", std::move(suspects)}};
  RespondJson(*writer, boost::json::serialize(body));
}

void SuspectRoutes::Clear(const RequestFingerprint& request, const SharedWriter& writer) {
  if (!cluster_.configuration().suspects.contains(request)) {
    return RespondRefused(*writer, 404, "not found", "no such suspect request");
  }
  constexpr uint32_t kAnyCrashCount = std::numeric_limits<uint32_t>::max();
  submitter_.ChangeRepeatable(ClearSuspect{request, kAnyCrashCount},
                              [writer](const absl::StatusOr<ClusterResult>& result) {
                                if (result.ok()) return RespondResult(*writer, *result);
                                RespondUnavailable(*writer, result.status(), Outcome::kUnknown);
                              });
}

}  // namespace millstair
