#include "storage/log_record.h"

#include <xxhash.h>

#include <algorithm>
#include <optional>

#include "absl/strings/str_cat.h"
#include "storage/byte_codec.h"

namespace millstair {
namespace {

constexpr size_t kCheckedHeaderBytes = 12;
constexpr size_t kSectorBytes = 512;

struct RecordHeader {
  uint32_t length = 0;
  uint32_t durable_bytes = 0;
  RecordType type = RecordType::kEntry;
  uint64_t body_checksum = 0;
};

uint64_t Seed(uint64_t segment, uint64_t offset) {
  return segment * 0x9e3779b97f4a7c15ULL + offset;
}

uint32_t HeaderChecksum(std::string_view header, uint64_t seed) {
  return static_cast<uint32_t>(XXH3_64bits_withSeed(header.data(), kCheckedHeaderBytes, seed));
}

uint64_t BodyChecksum(std::string_view body, uint64_t seed) {
  return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

std::optional<RecordHeader> ParseHeader(std::string_view raw, uint64_t seed) {
  ByteReader reader(raw);
  RecordHeader header;
  header.length = reader.Read<uint32_t>();
  header.durable_bytes = reader.Read<uint32_t>();
  header.type = static_cast<RecordType>(reader.Read<uint32_t>());
  if (reader.Read<uint32_t>() != HeaderChecksum(raw, seed)) return std::nullopt;
  header.body_checksum = reader.Read<uint64_t>();
  return header;
}

/// Returns the header at `offset` if it is complete and its checksum matches.
std::optional<RecordHeader> ReadHeader(std::string_view bytes, uint64_t segment, uint64_t offset) {
  if (bytes.size() - offset < kRecordHeaderBytes) return std::nullopt;
  return ParseHeader(bytes.substr(offset, kRecordHeaderBytes), Seed(segment, offset));
}

bool AllZero(std::string_view bytes) {
  return std::all_of(bytes.begin(), bytes.end(), [](char byte) { return byte == 0; });
}

/// Whether [begin, end) contains a sector, or a part of one at its ends, that was never written.
bool HasUnwrittenSector(std::string_view bytes, uint64_t begin, uint64_t end) {
  for (uint64_t at = begin; at < end;) {
    const uint64_t sector_end = std::min<uint64_t>((at / kSectorBytes + 1) * kSectorBytes, end);
    const bool complete = sector_end - at >= kRecordHeaderBytes;
    if (complete && AllZero(bytes.substr(at, sector_end - at))) return true;
    at = sector_end;
  }
  return false;
}

/// Whether a later valid header shows that the bytes at `offset` were durable when it was written.
bool KnownDurable(std::string_view bytes, uint64_t segment, uint64_t offset) {
  for (uint64_t at = offset + 1; at + kRecordHeaderBytes <= bytes.size(); ++at) {
    const auto header = ReadHeader(bytes, segment, at);
    if (header.has_value() && header->durable_bytes > offset) return true;
  }
  return false;
}

/// Whether the invalid frame at `offset` is consistent with a write interrupted by a crash.
bool IsTorn(std::string_view bytes, uint64_t segment, uint64_t offset) {
  const uint64_t left = bytes.size() - offset;
  if (left < kRecordHeaderBytes) return true;
  const auto header = ReadHeader(bytes, segment, offset);
  uint64_t end = bytes.size();
  if (header.has_value()) {
    if (header->length > left - kRecordHeaderBytes) return true;
    end = offset + kRecordHeaderBytes + header->length;
  } else {
    end = std::min<uint64_t>(end, offset + kSectorBytes);
  }
  return HasUnwrittenSector(bytes, offset, end) && !KnownDurable(bytes, segment, offset);
}

}  // namespace

void AppendRecord(std::string& batch, uint64_t base, uint64_t segment, uint64_t durable_bytes,
                  RecordType type, std::string_view body_prefix, std::string_view body_rest) {
  const size_t start = batch.size();
  const uint64_t seed = Seed(segment, base + start);
  AppendInteger(batch, static_cast<uint32_t>(body_prefix.size() + body_rest.size()));
  AppendInteger(batch, static_cast<uint32_t>(durable_bytes));
  AppendInteger(batch, static_cast<uint32_t>(type));
  AppendInteger(batch, HeaderChecksum(std::string_view(batch).substr(start), seed));
  AppendInteger(batch, uint64_t{0});
  batch.append(body_prefix);
  batch.append(body_rest);
  const uint64_t checksum =
      BodyChecksum(std::string_view(batch).substr(start + kRecordHeaderBytes), seed);
  for (size_t i = 0; i < sizeof(checksum); ++i) {
    batch[start + 16 + i] = static_cast<char>((checksum >> (8 * i)) & 0xff);
  }
}

absl::StatusOr<SegmentScan> ScanSegment(const std::string& path, std::string_view bytes,
                                        uint64_t segment, bool last) {
  SegmentScan scan;
  uint64_t offset = 0;
  while (offset < bytes.size()) {
    const auto header = ReadHeader(bytes, segment, offset);
    const uint64_t body_at = offset + kRecordHeaderBytes;
    const bool complete = header.has_value() && header->length <= bytes.size() - body_at;
    std::string_view body;
    if (complete) body = bytes.substr(body_at, header->length);
    if (!complete || BodyChecksum(body, Seed(segment, offset)) != header->body_checksum) {
      if (last && IsTorn(bytes, segment, offset)) break;
      return absl::DataLossError(absl::StrCat(path, ": damaged at offset ", offset));
    }
    scan.records.push_back({header->type, offset, body});
    offset = body_at + header->length;
  }
  scan.valid_bytes = offset;
  return scan;
}

std::optional<std::string_view> RecordBody(std::string_view bytes, uint64_t segment,
                                           uint64_t offset) {
  if (bytes.size() < kRecordHeaderBytes) return std::nullopt;
  const uint64_t seed = Seed(segment, offset);
  const auto header = ParseHeader(bytes.substr(0, kRecordHeaderBytes), seed);
  const std::string_view body = bytes.substr(kRecordHeaderBytes);
  if (!header.has_value() || header->length != body.size()) return std::nullopt;
  if (BodyChecksum(body, seed) != header->body_checksum) return std::nullopt;
  return body;
}

std::string EncodeEntryPrefix(const LogEntry& entry) {
  std::string bytes;
  bytes.reserve(kEntryPrefixBytes);
  AppendInteger(bytes, entry.index.value());
  AppendInteger(bytes, entry.term.value());
  AppendInteger(bytes, static_cast<uint8_t>(entry.type));
  return bytes;
}

std::string EncodeHardState(const HardState& state) {
  std::string bytes;
  AppendInteger(bytes, state.term.value());
  AppendInteger(bytes, state.vote.value());
  return bytes;
}

std::string EncodeLogPosition(const LogPosition& position) {
  std::string bytes;
  AppendInteger(bytes, position.index.value());
  AppendInteger(bytes, position.term.value());
  return bytes;
}

absl::StatusOr<LogEntry> DecodeEntryPrefix(std::string_view body) {
  ByteReader reader(body);
  LogEntry entry;
  entry.index = LogIndex(reader.Read<uint64_t>());
  entry.term = Term(reader.Read<uint64_t>());
  const auto type = reader.Read<uint8_t>();
  if (!reader.ok() || type > static_cast<uint8_t>(EntryType::kConfiguration)) {
    return absl::InvalidArgumentError("malformed log entry");
  }
  entry.type = static_cast<EntryType>(type);
  return entry;
}

absl::StatusOr<HardState> DecodeHardState(std::string_view body) {
  ByteReader reader(body);
  HardState state;
  state.term = Term(reader.Read<uint64_t>());
  state.vote = ReplicaId(reader.Read<uint64_t>());
  if (!reader.ok()) return absl::InvalidArgumentError("malformed hard state");
  return state;
}

absl::StatusOr<LogPosition> DecodeLogPosition(std::string_view body) {
  ByteReader reader(body);
  LogPosition position;
  position.index = LogIndex(reader.Read<uint64_t>());
  position.term = Term(reader.Read<uint64_t>());
  if (!reader.ok()) return absl::InvalidArgumentError("malformed log position");
  return position;
}

}  // namespace millstair
