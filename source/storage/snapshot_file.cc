#include "storage/snapshot_file.h"

#include <xxhash.h>

#include <memory>

#include "absl/strings/str_cat.h"
#include "fmt/format.h"
#include "storage/byte_codec.h"
#include "storage/log_record.h"

namespace millstair {
namespace {

/// "MSSNAP01" read as a little-endian integer.
constexpr uint64_t kMagic = 0x313050414e53534dULL;

struct FreeHash {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

uint64_t Checksum(const LogPosition& position, const std::vector<std::string_view>& state) {
  const uint64_t seed = position.index.value() * 31 + position.term.value();
  const std::unique_ptr<XXH3_state_t, FreeHash> hash(XXH3_createState());
  XXH3_64bits_reset_withSeed(hash.get(), seed);
  for (const std::string_view part : state) {
    XXH3_64bits_update(hash.get(), part.data(), part.size());
  }
  return XXH3_64bits_digest(hash.get());
}

}  // namespace

std::string SnapshotFileName(const LogPosition& position) {
  return fmt::format("snapshot-{:020}-{:020}", position.index.value(), position.term.value());
}

std::string EncodeSnapshotFileHeader(const LogPosition& position,
                                     const std::vector<std::string_view>& state) {
  std::string bytes;
  AppendInteger(bytes, kMagic);
  bytes += EncodeLogPosition(position);
  AppendInteger(bytes, Checksum(position, state));
  return bytes;
}

absl::StatusOr<Snapshot> DecodeSnapshotFile(const std::string& path, std::string_view bytes) {
  ByteReader reader(bytes);
  const auto magic = reader.Read<uint64_t>();
  Snapshot snapshot;
  snapshot.position.index = LogIndex(reader.Read<uint64_t>());
  snapshot.position.term = Term(reader.Read<uint64_t>());
  const auto checksum = reader.Read<uint64_t>();
  if (!reader.ok() || magic != kMagic || checksum != Checksum(snapshot.position, {reader.rest()})) {
    return absl::DataLossError(absl::StrCat(path, ": damaged snapshot"));
  }
  snapshot.state = std::string(reader.rest());
  return snapshot;
}

}  // namespace millstair
