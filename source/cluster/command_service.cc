#include "cluster/command_service.h"

#include <utility>

namespace millstair {
namespace {

/// How long the minimum feature level is cached. Shorter than the restart of a node with an earlier
/// build.
constexpr Duration kLevelCacheLifetime = std::chrono::milliseconds(250);

}  // namespace

CommandService::CommandService(Environment& environment, PeerTransport& transport,
                               ClusterReplica& cluster, StreamHost& streams,
                               const MembershipManager& membership, NodeId self)
    : environment_(environment),
      transport_(transport),
      cluster_(cluster),
      streams_(streams),
      membership_(membership),
      reports_(environment, cluster, [this] { return CanGroupReports(); }),
      self_(std::move(self)) {}

void CommandService::ReceiveCommand(const NodeId& from, const PeerMessage& message) {
  auto command = DecodeGroupCommand(message.payload);
  if (!command.ok() || groups_ == nullptr) return;
  const RaftGroup* group = groups_->Find(streams_.Resolve(command->group));
  if (group == nullptr || !group->IsLeader()) return Forward(from, *std::move(command));
  const Running key{command->origin.value().empty() ? from : command->origin, command->id};
  // A resend of a running command gets no reply of its own: the reply to the first one serves both.
  if (!running_.insert(key).second) return;
  // The callback needs everything except the body.
  const std::string body = std::exchange(command->command, "");
  auto reply = alive_.Guard(
      [this, key, from, command = *command](const absl::StatusOr<std::string>& result) {
        running_.erase(key);
        Reply(from, command, result);
      });
  Run(command->group, command->mode, body, std::move(reply));
}

void CommandService::Forward(const NodeId& from, GroupCommand command) {
  const RaftGroup* group = groups_->Find(streams_.Resolve(command.group));
  auto leader = group == nullptr ? std::nullopt : group->Leader();
  if (command.group == kClusterGroup) leader = cluster_.Leader();
  const bool already_forwarded = !command.origin.value().empty();
  if (already_forwarded || !leader || *leader == self_) {
    return Reply(from, command, absl::UnavailableError("no leader of the group is known here"));
  }
  command.origin = from;
  transport_.Send(*leader, {MessageKind::kCommand, EncodeGroupCommand(command)});
}

bool CommandService::ForwardReply(const PeerMessage& message) {
  auto reply = DecodeGroupCommandReply(message.payload);
  if (!reply.ok() || reply->origin.value().empty()) return false;
  if (reply->origin == self_) return false;
  const NodeId origin = std::exchange(reply->origin, NodeId());
  transport_.Send(origin, {MessageKind::kCommandReply, EncodeGroupCommandReply(*reply)});
  return true;
}

void CommandService::Run(const GroupId& wanted, CommandMode mode, const std::string& command,
                         std::function<void(absl::StatusOr<std::string>)> done) {
  const GroupId group = streams_.Resolve(wanted);
  RaftGroup* replica = groups_ == nullptr ? nullptr : groups_->Find(group);
  if (replica == nullptr || !replica->IsLeader()) {
    return done(absl::UnavailableError("not the leader"));
  }
  if (group == kClusterGroup) {
    if (mode == CommandMode::kQuery) return QueryCluster(command, std::move(done));
    return ProposeToCluster(command, std::move(done));
  }
  if (mode == CommandMode::kPropose) return replica->Propose(command, std::move(done));
  StreamLeader* leader = streams_.FindLeading(group);
  if (leader == nullptr) return done(absl::UnavailableError("not the leader"));
  leader->Query(command, std::move(done));
}

void CommandService::ProposeToCluster(const std::string& command,
                                      std::function<void(absl::StatusOr<std::string>)> done) {
  auto decoded = DecodeCommand(command);
  if (!decoded.ok()) return done(decoded.status());
  if (const auto* needs = std::get_if<ReportPoolNeeds>(&decoded->operation)) {
    if (on_pool_report_) on_pool_report_(needs->report);
    return done(EncodeResult({}));
  }
  auto* report = std::get_if<UpdateInstance>(&decoded->operation);
  if (report == nullptr || decoded->session) {
    return cluster_.ProposeEncoded(command, std::move(done));
  }
  reports_.Add(std::move(report->instance), std::move(done));
}

bool CommandService::CanGroupReports() {
  const TimePoint now = environment_.Now();
  if (now >= level_queried_at_ + kLevelCacheLifetime) {
    level_queried_at_ = now;
    can_group_reports_ = membership_.MinLevel().level >= kGroupedReportsLevel;
  }
  return can_group_reports_;
}

void CommandService::QueryCluster(const std::string& query,
                                  std::function<void(absl::StatusOr<std::string>)> done) {
  const auto decoded = DecodeClusterQuery(query);
  if (!decoded.ok()) return done(decoded.status());
  if (decoded->kind == ClusterQueryKind::kTime) return done(AnswerTime(*decoded));
  cluster_.ConfirmRead(
      alive_.Guard([this, query = *decoded, done = std::move(done)](const absl::Status& status) {
        if (!status.ok()) return done(absl::UnavailableError(status.message()));
        done(AnswerQuery(query));
      }));
}

absl::StatusOr<std::string> CommandService::AnswerQuery(const ClusterQuery& query) const {
  if (query.kind == ClusterQueryKind::kLagging) {
    if (!cluster_.IsLeader()) return absl::UnavailableError("not the leader");
    return EncodeLagging(membership_.Lagging(query.revision));
  }
  if (query.kind == ClusterQueryKind::kFeatureLevel) {
    if (!cluster_.IsLeader()) return absl::UnavailableError("not the leader");
    return EncodeMinFeatureLevel(membership_.MinLevel());
  }
  return EncodeDelta(FullDelta(cluster_.configuration()));
}

absl::StatusOr<std::string> CommandService::AnswerTime(const ClusterQuery& query) {
  const TimePoint now = environment_.Now();
  clock_.AddSample(self_, environment_.WallNow(), now);
  clock_.AddSample(query.node, query.wall, now);
  const auto agreed = AgreedTime();
  if (!agreed) {
    // Not Unavailable, because a retry of this call would return an outdated time.
    return absl::FailedPreconditionError("samples of too few clocks");
  }
  return EncodeAgreedTime(*agreed);
}

std::optional<WallTime> CommandService::AgreedTime() const {
  if (!cluster_.IsLeader()) return std::nullopt;
  size_t gateways = 0;
  for (const auto& [node, record] : cluster_.configuration().nodes) {
    gateways += record.gateway && record.state == MemberState::kLive ? 1 : 0;
  }
  return clock_.Now(environment_.Now(), gateways + 1);
}

void CommandService::Reply(const NodeId& to, const GroupCommand& command,
                           const absl::StatusOr<std::string>& result) {
  GroupCommandReply reply;
  reply.id = command.id;
  reply.origin = command.origin;
  if (result.ok()) {
    reply.result = *result;
  } else {
    // The outcome of the proposal is unknown; the client retries it under its own deduplication.
    const bool try_again =
        absl::IsUnavailable(result.status()) || absl::IsDeadlineExceeded(result.status());
    reply.status = try_again ? absl::StatusCode::kUnavailable : result.status().code();
    reply.message = std::string(result.status().message());
  }
  transport_.Send(to, {MessageKind::kCommandReply, EncodeGroupCommandReply(reply)});
}

}  // namespace millstair
