#include "cluster/evacuation_routes.h"

namespace millstair {

boost::json::array EvacuationsToJson(const Configuration& configuration) {
  boost::json::array zones;
  for (const auto& [zone, evacuated] : configuration.evacuated_zones) {
    zones.push_back(
        boost::json::object{{"zone", zone.value()}, {"since", evacuated.since.value()}});
  }
  return zones;
}

void EvacuationRoutes::List(const SharedWriter& writer) const {
  const boost::json::object body{{"evacuations", EvacuationsToJson(cluster_.configuration())}};
  RespondJson(*writer, boost::json::serialize(body));
}

void EvacuationRoutes::Change(const EvacuateZone& order, const SharedWriter& writer) {
  evacuation_.Submit(order, [writer](const absl::StatusOr<ClusterResult>& result) {
    if (result.ok()) return RespondResult(*writer, *result);
    RespondUnavailable(*writer, result.status(), Outcome::kUnknown);
  });
}

}  // namespace millstair
