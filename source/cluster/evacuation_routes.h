/// Operators' routes for zone evacuations: PUT /v1/evacuations/{zone} starts one, DELETE ends it,
/// GET /v1/evacuations lists those in force.
#pragma once

#include <boost/json.hpp>

#include "cluster/operators_answer.h"
#include "cluster/zone_evacuation.h"

namespace millstair {

/// The evacuations of `configuration` in the JSON form of the operators' API.
boost::json::array EvacuationsToJson(const Configuration& configuration);

class EvacuationRoutes {
 public:
  EvacuationRoutes(const ClusterReplica& cluster, ZoneEvacuation& evacuation)
      : cluster_(cluster), evacuation_(evacuation) {}

  /// From this control node's copy, which may lag behind.
  void List(const SharedWriter& writer) const;
  /// Idempotent.
  void Change(const EvacuateZone& order, const SharedWriter& writer);

 private:
  const ClusterReplica& cluster_;
  ZoneEvacuation& evacuation_;
};

}  // namespace millstair
