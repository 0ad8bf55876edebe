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
    SubmitIfRead(order, answer, done);
  }));
}

void ZoneEvacuation::SubmitIfRead(const EvacuateZone& order,
                                  const absl::StatusOr<std::string>& answer, Done done) {
  const auto least = answer.ok() ? DecodeMinFeatureLevel(*answer) : answer.status();
  if (!least.ok()) return done(absl::UnavailableError(least.status().message()));
  if (least->level < kEvacuationLevel) {
    LogEvent(EventId::kFeatureNotRead, "node={} level={} needed={}", least->node, least->level,
             kEvacuationLevel);
    return done(absl::UnavailableError(
        fmt::format("the build of {} does not obey evacuations", least->node)));
  }
  submitter_.ChangeRepeatable(order, std::move(done));
}

}  // namespace millstair
