#include "cluster/zone_evacuation.h"

#include <utility>

#include "cluster/control_messages.h"
#include "common/event_log.h"
#include "fmt/format.h"

namespace millstair {

void ZoneEvacuation::Submit(const EvacuateZone& order, Done done) {
  const std::string query = EncodeClusterQuery({ClusterQueryKind::kFeatureLevel});
  submitter_.Query(query, alive_.Guard([this, order, done = std::move(done)](
                                           const absl::StatusOr<std::string>& answer) {
    SubmitIfSupported(order, answer, done);
  }));
}

void ZoneEvacuation::SubmitIfSupported(const EvacuateZone& order,
                                       const absl::StatusOr<std::string>& answer, Done done) {
  const auto min_level = answer.ok() ? DecodeMinFeatureLevel(*answer) : answer.status();
  if (!min_level.ok()) return done(absl::UnavailableError(min_level.status().message()));
  if (min_level->level < kEvacuationLevel) {
    LogEvent(EventId::kFeatureNotRead, "node={} level={} needed={}", min_level->node,
             min_level->level, kEvacuationLevel);
    return done(absl::UnavailableError(
        fmt::format("the build of node {} does not support evacuations", min_level->node)));
  }
  submitter_.ChangeRepeatable(order, std::move(done));
}

}  // namespace millstair
