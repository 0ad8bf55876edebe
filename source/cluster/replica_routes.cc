#include "cluster/replica_routes.h"

#include <boost/json.hpp>

#include "fmt/format.h"
#include "http/json_body.h"
#include "http/problem.h"

namespace millstair {
namespace {

constexpr Duration kRetryAfter = std::chrono::seconds(1);

absl::StatusOr<GroupMember> ParseMember(const std::string& body) {
  boost::json::error_code error;
  const boost::json::value document = ParseJsonBody(body, error);
  const auto invalid = absl::InvalidArgumentError(
      "the body is not {\"node\":NAME,\"address\":\"ip:port\",\"replica\":NUMBER}");
  if (error || !document.is_object()) return invalid;
  const auto& object = document.as_object();
  const auto* node = object.if_contains("node");
  const auto* address = object.if_contains("address");
  const auto* replica = object.if_contains("replica");
  if (node == nullptr || !node->is_string() || address == nullptr || !address->is_string() ||
      replica == nullptr) {
    return invalid;
  }
  const auto number = replica->to_number<uint64_t>(error);
  if (error || number == 0) return invalid;
  return GroupMember{ReplicaId(number), NodeId(std::string(node->as_string())),
                     std::string(address->as_string()), false};
}

std::function<void(absl::Status)> AnswerChange(const ClusterReplica& cluster,
                                               const SharedWriter& writer) {
  const Revision revision = cluster.configuration().revision;
  return [revision, writer](const absl::Status& status) {
    if (status.ok()) return RespondJson(*writer, fmt::format("{{\"revision\":{}}}", revision));
    if (absl::IsFailedPrecondition(status)) {
      return RespondProblem(*writer, {409, "not possible now", std::string(status.message()),
                                      Outcome::kNotRun, kRetryAfter});
    }
    RespondUnavailable(*writer, status, Outcome::kUnknown);
  };
}

}  // namespace

bool ReplicaRoutes::Leads(const SharedWriter& writer) const {
  if (cluster_.IsLeader()) return true;
  const auto leader = cluster_.Leader();
  const std::string name = leader ? leader->value() : "not known";
  RespondProblem(*writer, {503, "not the leader", fmt::format("the leader is {}", name),
                           Outcome::kNotRun, kRetryAfter});
  return false;
}

void ReplicaRoutes::Add(const HttpRequest& request, const SharedWriter& writer) {
  auto member = ParseMember(request.body.str());
  if (!member.ok()) {
    return RespondRefused(*writer, 400, "bad replica", std::string(member.status().message()));
  }
  if (!Leads(writer)) return;
  cluster_.group()->AddLearner(*std::move(member), AnswerChange(cluster_, writer));
}

void ReplicaRoutes::Remove(const NodeId& node, const SharedWriter& writer) {
  if (!Leads(writer)) return;
  for (const GroupMember& member : cluster_.group()->Members()) {
    if (member.node != node) continue;
    return cluster_.group()->RemoveMember(member.replica, AnswerChange(cluster_, writer));
  }
  RespondRefused(*writer, 404, "not found", "no replica on that node");
}

}  // namespace millstair
