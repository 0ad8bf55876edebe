#include "cluster/status_routes.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>
#include <vector>

#include "cluster/control_messages.h"
#include "cluster/evacuation_routes.h"
#include "fmt/format.h"

namespace millstair {
namespace {

constexpr Duration kMaxWatch = std::chrono::seconds(60);

const char* NameOf(MemberState state) {
  switch (state) {
    case MemberState::kLive:
      return "live";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kGone:
      break;
  }
  return "gone";
}

boost::json::array NodesToJson(const Configuration& configuration) {
  boost::json::array nodes;
  for (const auto& [id, node] : configuration.nodes) {
    nodes.push_back(boost::json::object{{"node", id.value()},
                                        {"state", NameOf(node.state)},
                                        {"zone", node.zone.value()},
                                        {"address", node.address},
                                        {"incarnation", node.incarnation.value()},
                                        {"control", node.control},
                                        {"gateway", node.gateway}});
  }
  return nodes;
}

boost::json::array EnginesToJson(const Configuration& configuration) {
  boost::json::array engines;
  for (const auto& [key, resource] : configuration.resources) {
    const auto* spec = std::get_if<EngineSpec>(&resource.spec);
    if (spec == nullptr) continue;
    const MemberState state = EffectiveState(configuration, EngineName(key.name));
    engines.push_back(boost::json::object{{"engine", key.name},
                                          {"state", NameOf(state)},
                                          {"machine", spec->machine},
                                          {"address", spec->address}});
  }
  return engines;
}

boost::json::array ModelsToJson(const Configuration& configuration) {
  boost::json::array models;
  for (const auto& [name, model] : configuration.models) {
    const uint64_t newest = model.published.empty() ? 0 : model.published.back().version.value();
    models.push_back(boost::json::object{{"model", name.value()},
                                         {"published", newest},
                                         {"staged", model.staged.value()},
                                         {"active", model.active.value()}});
  }
  return models;
}

boost::json::object GroupToJson(const RaftGroup& group) {
  boost::json::array members;
  for (const GroupMember& member : group.Members()) {
    members.push_back(boost::json::object{{"node", member.node.value()},
                                          {"address", member.address},
                                          {"replica", member.replica.value()},
                                          {"voter", member.voter}});
  }
  const auto leader = group.Leader();
  return {{"group", group.id().value()},
          {"leader", leader ? leader->value() : ""},
          {"term", group.CurrentTerm().value()},
          {"applied", group.AppliedIndex().value()},
          {"members", std::move(members)}};
}

}  // namespace

void StatusRoutes::Status(const SharedWriter& writer) {
  cluster_.ConfirmRead(alive_.Guard([this, writer](const absl::Status& status) {
    // The status matters most without a quorum, so it is returned even then, with "confirmed"
    // false.
    const Configuration& configuration = cluster_.configuration();
    boost::json::array groups;
    for (const RaftGroup* group : groups_->Groups()) groups.push_back(GroupToJson(*group));
    const boost::json::object body{{"revision", configuration.revision.value()},
                                   {"confirmed", status.ok()},
                                   {"nodes", NodesToJson(configuration)},
                                   {"engines", EnginesToJson(configuration)},
                                   {"models", ModelsToJson(configuration)},
                                   {"groups", std::move(groups)},
                                   {"evacuations", EvacuationsToJson(configuration)}};
    RespondJson(*writer, boost::json::serialize(body));
  }));
}

void StatusRoutes::Lagging(Revision revision, const SharedWriter& writer) {
  const std::string query = EncodeClusterQuery({ClusterQueryKind::kLagging, revision});
  submitter_.Query(query, [writer](const absl::StatusOr<std::string>& result) {
    if (!result.ok()) return RespondUnavailable(*writer, result.status(), Outcome::kNotRun);
    const auto nodes = DecodeLagging(*result);
    if (!nodes.ok()) return RespondUnavailable(*writer, nodes.status(), Outcome::kNotRun);
    boost::json::array lagging;
    for (const NodeProgress& node : *nodes) {
      lagging.push_back(boost::json::object{{"node", node.node.value()},
                                            {"revision", node.revision.value()},
                                            {"reason", node.reason}});
    }
    RespondJson(*writer,
                boost::json::serialize(boost::json::object{{"lagging", std::move(lagging)}}));
  });
}

void StatusRoutes::Watch(Revision after, Duration wait, const SharedWriter& writer) {
  const uint64_t id = next_watch_++;
  auto watch = std::make_unique<PendingWatch>(environment_);
  watch->after = after;
  watch->writer = writer;
  PendingWatch& stored = *watch;
  watches_[id] = std::move(watch);
  const bool due = ending_ || cluster_.configuration().revision > after;
  stored.timer.Arm(due ? Duration(0) : std::min(wait, kMaxWatch), [this, id] { EndWatch(id); });
  writer->OnCallerDisconnected(alive_.Guard([this, id] { watches_.erase(id); }));
}

void StatusRoutes::EndWatch(uint64_t id) {
  const auto found = watches_.find(id);
  if (found == watches_.end()) return;
  const auto watch = std::move(found->second);
  watches_.erase(found);
  RespondJson(*watch->writer,
              fmt::format("{{\"revision\":{}}}", cluster_.configuration().revision));
}

void StatusRoutes::ConfigurationChanged() {
  for (auto& [id, watch] : watches_) {
    if (cluster_.configuration().revision <= watch->after) continue;
    watch->timer.Arm(Duration(0), [this, id = id] { EndWatch(id); });
  }
}

void StatusRoutes::EndWatches() {
  ending_ = true;
  std::vector<uint64_t> ids;
  for (const auto& [id, watch] : watches_) ids.push_back(id);
  for (const uint64_t id : ids) EndWatch(id);
}

}  // namespace millstair
