/// Snapshots of the cluster state machine.
#include "api/generated/cluster.pb.h"
#include "cluster/cluster_state_machine.h"
#include "cluster/configuration_wire.h"
#include "cluster/pool_wire.h"
#include "cluster/usage_wire.h"
#include "wire/nanopb_message.h"

namespace millstair {
namespace {

constexpr uint32_t kSnapshotFormat = 1;
constexpr size_t kClaimsInBatch = 10'000;

int64_t ToMilliseconds(WallTime time) { return time.time_since_epoch().count(); }
WallTime FromMilliseconds(int64_t count) { return WallTime(std::chrono::milliseconds(count)); }

millstair_SessionAnswer ToWire(WireArena& arena, ClientSequence sequence,
                               const SessionAnswer& answer) {
  millstair_SessionAnswer wire = millstair_SessionAnswer_init_zero;
  wire.sequence = sequence.value();
  wire.command_digest = answer.command_digest;
  wire.result = arena.NewChunkedBytes(answer.result, &wire.result_count);
  return wire;
}

millstair_ClientSession ToWire(WireArena& arena, const ClientId& client, const Session& session) {
  millstair_ClientSession wire = millstair_ClientSession_init_zero;
  wire.client = arena.NewString(client.value());
  wire.last_used_milliseconds = ToMilliseconds(session.last_used);
  wire.forgotten_through = session.forgotten_through.value();
  wire.answers = arena.NewArray<millstair_SessionAnswer>(session.answers.size());
  for (const auto& [sequence, answer] : session.answers) {
    wire.answers[wire.answers_count++] = ToWire(arena, sequence, answer);
  }
  return wire;
}

Session FromWire(const millstair_ClientSession& wire) {
  Session session;
  session.last_used = FromMilliseconds(wire.last_used_milliseconds);
  session.forgotten_through = ClientSequence(wire.forgotten_through);
  for (pb_size_t i = 0; i < wire.answers_count; ++i) {
    const millstair_SessionAnswer& answer = wire.answers[i];
    session.answers[ClientSequence(answer.sequence)] = {
        answer.command_digest, JoinBytes(answer.result, answer.result_count)};
  }
  return session;
}

millstair_KeyClaim ToWire(WireArena& arena, const std::string& key, const Claim& claim) {
  millstair_KeyClaim wire = millstair_KeyClaim_init_zero;
  wire.key = arena.NewBytes(key);
  wire.gateway = arena.NewString(claim.gateway.value());
  wire.incarnation = claim.incarnation.value();
  wire.attempt = claim.attempt;
  wire.request_digest = arena.NewBytes(claim.request_digest);
  wire.state = static_cast<uint32_t>(claim.state);
  wire.answer_status = claim.answer_status;
  wire.claimed_at_milliseconds = ToMilliseconds(claim.claimed_at);
  wire.order = claim.order.value();
  return wire;
}

bool FromWire(const millstair_KeyClaim& wire, Claim& claim) {
  if (wire.state < static_cast<uint32_t>(ClaimState::kHeld)) return false;
  if (wire.state > static_cast<uint32_t>(ClaimState::kReleased)) return false;
  claim.gateway = NodeId(ToString(wire.gateway));
  claim.incarnation = Incarnation(wire.incarnation);
  claim.attempt = wire.attempt;
  claim.request_digest = ToString(wire.request_digest);
  claim.state = static_cast<ClaimState>(wire.state);
  claim.answer_status = wire.answer_status;
  claim.claimed_at = FromMilliseconds(wire.claimed_at_milliseconds);
  claim.order = LogIndex(wire.order);
  return true;
}

void ClaimsToWire(WireArena& arena, const std::map<std::string, Claim>& claims,
                  millstair_ClusterSnapshot& wire) {
  const size_t batches = (claims.size() + kClaimsInBatch - 1) / kClaimsInBatch;
  wire.claim_batches = arena.NewArray<millstair_KeyClaimBatch>(batches);
  auto claim = claims.begin();
  for (size_t i = 0; i < batches; ++i) {
    millstair_KeyClaimBatch& batch = wire.claim_batches[wire.claim_batches_count++];
    batch.claims = arena.NewArray<millstair_KeyClaim>(
        std::min(kClaimsInBatch, claims.size() - i * kClaimsInBatch));
    for (; claim != claims.end() && batch.claims_count < kClaimsInBatch; ++claim) {
      batch.claims[batch.claims_count++] = ToWire(arena, claim->first, claim->second);
    }
  }
}

bool ClaimsFromWire(const millstair_ClusterSnapshot& wire, std::map<std::string, Claim>& claims) {
  for (pb_size_t i = 0; i < wire.claim_batches_count; ++i) {
    const millstair_KeyClaimBatch& batch = wire.claim_batches[i];
    for (pb_size_t j = 0; j < batch.claims_count; ++j) {
      if (!FromWire(batch.claims[j], claims[ToString(batch.claims[j].key)])) return false;
    }
  }
  return true;
}

}  // namespace

std::string ClusterStateMachine::TakeSnapshot() const {
  WireArena arena;
  millstair_ClusterSnapshot wire = millstair_ClusterSnapshot_init_zero;
  wire.format = kSnapshotFormat;
  wire.configuration =
      arena.NewChunkedBytes(EncodeDelta(FullDelta(configuration_)), &wire.configuration_count);
  wire.clock_milliseconds = ToMilliseconds(clock_);
  if (!faults_.sessions_not_in_snapshot) {
    wire.sessions = arena.NewArray<millstair_ClientSession>(sessions_.sessions().size());
    for (const auto& [client, session] : sessions_.sessions()) {
      wire.sessions[wire.sessions_count++] = ToWire(arena, client, session);
    }
  }
  ClaimsToWire(arena, claims_.claims(), wire);
  wire.founded_groups = arena.NewArray<millstair_FoundGroup>(bootstrapped_groups_.size());
  for (const auto& [stream, found] : bootstrapped_groups_) {
    wire.founded_groups[wire.founded_groups_count++] = ToWire(arena, found);
  }
  wire.has_usage = true;
  wire.usage = ToWire(arena, usage_.state());
  wire.duties = arena.NewArray<millstair_AnnounceDuty>(announcements_.size());
  for (const auto& [subject, announcement] : announcements_) {
    wire.duties[wire.duties_count++] = ToWire(arena, announcement);
  }
  wire.pool_sizes = arena.NewArray<millstair_PoolSize>(pool_sizes_.size());
  for (const auto& [subject, size] : pool_sizes_) {
    wire.pool_sizes[wire.pool_sizes_count++] = ToWire(arena, size);
  }
  return EncodeNanopb(millstair_ClusterSnapshot_fields, &wire);
}

absl::Status ClusterStateMachine::Restore(LogIndex, std::string_view snapshot) {
  auto decoded =
      DecodedMessage<millstair_ClusterSnapshot>::Decode(millstair_ClusterSnapshot_fields, snapshot);
  if (!decoded.ok()) return absl::DataLossError(decoded.status().message());
  const millstair_ClusterSnapshot& wire = **decoded;
  if (wire.format != kSnapshotFormat) return absl::DataLossError("unknown snapshot format");
  const auto delta = DecodeDelta(JoinBytes(wire.configuration, wire.configuration_count));
  if (!delta.ok() || !delta->full) return absl::DataLossError("bad configuration in snapshot");
  std::map<std::string, Claim> claims;
  if (!ClaimsFromWire(wire, claims)) return absl::DataLossError("bad claim in snapshot");
  std::map<ClientId, Session> sessions;
  for (pb_size_t i = 0; i < wire.sessions_count; ++i) {
    sessions[ClientId(ToString(wire.sessions[i].client))] = FromWire(wire.sessions[i]);
  }
  std::map<StreamName, BootstrapStreamGroup> bootstrapped_groups;
  for (pb_size_t i = 0; i < wire.founded_groups_count; ++i) {
    BootstrapStreamGroup found;
    if (!FromWire(wire.founded_groups[i], found)) return absl::DataLossError("bad group");
    bootstrapped_groups[found.stream] = std::move(found);
  }
  UsageLedger::State usage;
  if (wire.has_usage && !FromWire(wire.usage, usage)) return absl::DataLossError("bad usage");
  std::map<std::string, LeaseAnnouncement> announcements;
  for (pb_size_t i = 0; i < wire.duties_count; ++i) {
    LeaseAnnouncement announcement;
    if (!FromWire(wire.duties[i], announcement)) return absl::DataLossError("bad duty");
    announcements[announcement.subject] = std::move(announcement);
  }
  PoolSizes pool_sizes;
  for (pb_size_t i = 0; i < wire.pool_sizes_count; ++i) {
    PoolSize size;
    if (!FromWire(wire.pool_sizes[i], size)) return absl::DataLossError("bad pool size");
    pool_sizes[{size.service, size.zone}] = size;
  }
  configuration_ = Configuration();
  bootstrapped_groups_ = std::move(bootstrapped_groups);
  ApplyDelta(configuration_, *delta);
  ended_instances_.Rebuild(configuration_);
  nodes_changed_at_ = configuration_.revision;
  clock_ = FromMilliseconds(wire.clock_milliseconds);
  sessions_.Replace(std::move(sessions));
  claims_.Replace(std::move(claims));
  history_.Reset(configuration_.revision);
  usage_.Restore(std::move(usage));
  announcements_ = std::move(announcements);
  pool_sizes_ = std::move(pool_sizes);
  for (const auto& [subject, announcement] : announcements_) {
    if (on_lease_announced_) on_lease_announced_(announcement);
  }
  if (on_change_) on_change_();
  return absl::OkStatus();
}

}  // namespace millstair
