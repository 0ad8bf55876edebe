#include "cluster/cluster_state_machine.h"

#include <algorithm>

#include "cluster/configuration_editor.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace millstair {
namespace {

/// Digest of the operation, without session and proposal time.
uint64_t OperationDigest(const ClusterCommand& command) {
  ClusterCommand bare;
  bare.operation = command.operation;
  const std::string bytes = EncodeCommand(bare);
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace

ClusterStateMachine::ClusterStateMachine(ClusterLimits limits, ClusterFaults faults)
    : limits_(limits),
      faults_(faults),
      sessions_(limits.sessions),
      claims_(limits.claims),
      history_(limits.max_history) {}

std::string ClusterStateMachine::Apply(LogIndex index, std::string_view command) {
  const auto decoded = DecodeCommand(command);
  if (!decoded.ok()) {
    ClusterResult result;
    result.code = ClusterResultCode::kInvalid;
    result.revision = configuration_.revision;
    result.message = std::string(decoded.status().message());
    return EncodeResult(result);
  }
  const Revision before = configuration_.revision;
  const size_t groups_before = bootstrapped_groups_.size();
  AdvanceClock(decoded->proposed_at);
  std::string answer = EncodeResult(Answer(index, *decoded));
  const bool changed =
      configuration_.revision != before || bootstrapped_groups_.size() != groups_before;
  if (changed && on_change_) on_change_();
  return answer;
}

void ClusterStateMachine::AdvanceClock(WallTime proposed_at) {
  if (clock_ == WallTime()) {
    clock_ = proposed_at;
  } else {
    clock_ = std::min(std::max(clock_, proposed_at), clock_ + limits_.max_clock_step);
  }
  sessions_.Expire(clock_);
  claims_.Prune(clock_);
}

ClusterResult ClusterStateMachine::Answer(LogIndex index, const ClusterCommand& command) {
  if (!command.session) return Run(index, command);
  return RunOnce(index, command);
}

ClusterResult ClusterStateMachine::RunOnce(LogIndex index, const ClusterCommand& command) {
  const uint64_t digest = OperationDigest(command);
  std::string first_answer;
  const SessionTable::Lookup lookup = sessions_.Find(*command.session, digest, &first_answer);
  ClusterResult refusal;
  refusal.revision = configuration_.revision;
  switch (lookup) {
    case SessionTable::Lookup::kAnswered: {
      auto result = DecodeResult(first_answer);
      if (result.ok()) return *std::move(result);
      break;
    }
    case SessionTable::Lookup::kReused:
      refusal.code = ClusterResultCode::kInvalid;
      refusal.message = "the session used this sequence for another change";
      return refusal;
    case SessionTable::Lookup::kExpired:
      if (faults_.sessions_not_in_snapshot) break;
      refusal.code = ClusterResultCode::kSessionExpired;
      refusal.message = "the session has expired";
      return refusal;
    case SessionTable::Lookup::kNew:
      break;
  }
  ClusterResult result = Run(index, command);
  sessions_.Store(*command.session, {digest, EncodeResult(result)}, clock_);
  return result;
}

ClusterResult ClusterStateMachine::Run(LogIndex index, const ClusterCommand& command) {
  const Revision revision(index.value());
  ConfigurationEditor editor(configuration_, ended_instances_, revision, clock_,
                             limits_.max_published_versions, faults_);
  editor.ExpireSuspects();
  ClusterResult result = std::visit(
      [&](const auto& operation) -> ClusterResult {
        using Operation = std::decay_t<decltype(operation)>;
        if constexpr (std::is_same_v<Operation, OpenSession>) {
          ClusterResult opened;
          opened.session = ClientId("s" + std::to_string(index.value()));
          sessions_.Open(opened.session, clock_);
          return opened;
        } else if constexpr (std::is_same_v<Operation, ClaimKey>) {
          if (faults_.claim_skipped) return {};
          return claims_.Take(operation, index, clock_);
        } else if constexpr (std::is_same_v<Operation, SettleClaim>) {
          return claims_.Settle(operation);
        } else if constexpr (std::is_same_v<Operation, BootstrapStreamGroup>) {
          return Bootstrap(index, operation);
        } else if constexpr (std::is_same_v<Operation, AddUsage>) {
          usage_.Add(operation.report);
          return {};
        } else if constexpr (std::is_same_v<Operation, CloseUsage>) {
          usage_.Close(operation.through);
          return {};
        } else if constexpr (std::is_same_v<Operation, AcceptUsage>) {
          usage_.Accept(operation.window);
          return {};
        } else if constexpr (std::is_same_v<Operation, AnnounceTaskLease>) {
          return Announce(operation.announcement);
        } else if constexpr (std::is_same_v<Operation, SetPoolSize>) {
          return Set(operation.size);
        } else if constexpr (std::is_same_v<Operation, ReportPoolNeeds>) {
          return {};
        } else {
          return editor.Run(operation);
        }
      },
      command.operation);
  if (!editor.changes().empty()) {
    configuration_.revision = revision;
    if (!editor.changes().nodes.empty()) nodes_changed_at_ = revision;
    ForgetGroups(editor.changes());
    history_.Add(revision, editor.changes());
  }
  result.revision = configuration_.revision;
  return result;
}

ClusterResult ClusterStateMachine::Bootstrap(LogIndex index,
                                             const BootstrapStreamGroup& bootstrap) {
  ClusterResult result;
  if (!configuration_.resources.contains({ResourceKind::kStream, bootstrap.stream.value()})) {
    result.code = ClusterResultCode::kNotFound;
    return result;
  }
  const auto [group, added] = bootstrapped_groups_.try_emplace(bootstrap.stream, bootstrap);
  if (added) group->second.generation = Revision(index.value());
  return result;
}

ClusterResult ClusterStateMachine::Announce(const LeaseAnnouncement& announcement) {
  announcements_[announcement.subject] = announcement;
  if (on_lease_announced_) on_lease_announced_(announcement);
  return {};
}

ClusterResult ClusterStateMachine::Set(const PoolSize& size) {
  ClusterResult result;
  const auto [stored, added] = pool_sizes_.try_emplace({size.service, size.zone}, size);
  if (added) return result;
  // A proposal made before the order: its numbers are outdated.
  if (stored->second.ordered && !size.ordered) {
    result.code = ClusterResultCode::kInvalid;
    return result;
  }
  const uint32_t initial = std::max(stored->second.initial, size.initial);
  if (size.wanted < initial) {
    result.code = ClusterResultCode::kInvalid;
    return result;
  }
  stored->second = size;
  stored->second.initial = initial;
  return result;
}

void ClusterStateMachine::ForgetGroups(const ChangeSet& changes) {
  for (const ResourceKey& key : changes.resources) {
    if (key.kind != ResourceKind::kStream || configuration_.resources.contains(key)) continue;
    bootstrapped_groups_.erase(StreamName(key.name));
  }
}

ConfigurationDelta ClusterStateMachine::DeltaSince(Revision from) const {
  return history_.Since(from, configuration_);
}

}  // namespace millstair
