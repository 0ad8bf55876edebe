/// Replica identity file: a checksum followed by a nanopb message.
#include <xxhash.h>

#include "absl/strings/str_cat.h"
#include "api/generated/raft.pb.h"
#include "consensus/group_host.h"
#include "storage/byte_codec.h"
#include "wire/nanopb_message.h"

namespace millstair {
namespace {

constexpr char kIdentityPath[] = "identity";

std::string EncodeIdentity(const ReplicaIdentity& identity) {
  WireArena arena;
  millstair_ReplicaIdentityFile file = millstair_ReplicaIdentityFile_init_zero;
  file.replica = identity.replica.value();
  file.node = arena.NewString(identity.node.value());
  file.address = arena.NewString(identity.address);
  file.cluster_id = arena.NewString(identity.cluster_id);
  const std::string body = EncodeNanopb(millstair_ReplicaIdentityFile_fields, &file);
  std::string bytes;
  AppendInteger(bytes, XXH3_64bits(body.data(), body.size()));
  return bytes + body;
}

absl::StatusOr<ReplicaIdentity> DecodeIdentity(std::string_view bytes) {
  ByteReader reader(bytes);
  const auto checksum = reader.Read<uint64_t>();
  const std::string_view body = reader.rest();
  const auto damaged = absl::DataLossError("identity: file is corrupted");
  if (!reader.ok() || checksum != XXH3_64bits(body.data(), body.size())) return damaged;
  auto file = DecodedMessage<millstair_ReplicaIdentityFile>::Decode(
      millstair_ReplicaIdentityFile_fields, body);
  if (!file.ok()) return damaged;
  return ReplicaIdentity{ReplicaId((*file)->replica), NodeId(ToString((*file)->node)),
                         ToString((*file)->address), ToString((*file)->cluster_id)};
}

}  // namespace

ReplicaId InitialMemberReplicaId(const std::string& cluster_id, const NodeId& node) {
  const std::string name = absl::StrCat(cluster_id, "\n", node.value());
  // 0 is reserved for "none".
  return ReplicaId(XXH3_64bits(name.data(), name.size()) | 1);
}

absl::Status InitializeInitialMember(FileSystem& files, const std::string& cluster_id,
                                     const NodeId& node, const std::string& address) {
  const auto existing = files.Read(kIdentityPath);
  if (existing.ok()) {
    return absl::FailedPreconditionError("the data folder already has an identity");
  }
  if (!absl::IsNotFound(existing.status())) return existing.status();
  const ReplicaIdentity identity{InitialMemberReplicaId(cluster_id, node), node, address,
                                 cluster_id};
  return files.WriteAtomically(kIdentityPath, EncodeIdentity(identity));
}

absl::StatusOr<ReplicaIdentity> LoadOrCreateIdentity(FileSystem& files, RandomEngine& random,
                                                     const std::string& cluster_id,
                                                     const NodeId& node,
                                                     const std::string& address) {
  const auto bytes = files.Read(kIdentityPath);
  if (absl::IsNotFound(bytes.status())) {
    const ReplicaIdentity identity{ReplicaId(random() | 1), node, address, cluster_id};
    absl::Status status = files.WriteAtomically(kIdentityPath, EncodeIdentity(identity));
    if (!status.ok()) return status;
    return identity;
  }
  if (!bytes.ok()) return bytes.status();
  auto identity = DecodeIdentity(*bytes);
  if (!identity.ok()) return identity.status();
  if (identity->cluster_id != cluster_id || identity->node != node) {
    return absl::FailedPreconditionError(absl::StrCat("the data folder belongs to node ",
                                                      identity->node.value(), " of cluster ",
                                                      identity->cluster_id));
  }
  identity->address = address;
  return identity;
}

}  // namespace millstair
