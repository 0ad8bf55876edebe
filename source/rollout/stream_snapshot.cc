#include <cstring>

#include "rollout/rollout_wire.h"
#include "rollout/stream_data.h"

namespace millstair {
namespace {

constexpr uint32_t kSnapshotFormat = 1;
constexpr size_t kLengthBytes = 4;

class SnapshotWriter {
 public:
  void Write(const millstair_StreamSnapshotRecord& record) {
    const std::string bytes = EncodeNanopb(millstair_StreamSnapshotRecord_fields, &record);
    for (size_t i = 0; i < kLengthBytes; ++i) {
      bytes_ += static_cast<char>((bytes.size() >> (8 * i)) & 0xff);
    }
    bytes_ += bytes;
  }
  std::string Take() { return std::move(bytes_); }

 private:
  std::string bytes_;
};

millstair_StreamSnapshotRecord EmptyRecord() {
  return millstair_StreamSnapshotRecord millstair_StreamSnapshotRecord_init_zero;
}

uint64_t CountRecords(const StreamData& data) {
  uint64_t count = 1 + data.published.size() + data.finished_steps.size() + data.entries.size() +
                   data.issued_cursors.size();
  for (const auto& [sequence, step] : data.steps) count += 1 + step.remaining;
  return count;
}

void WriteHeader(const StreamData& data, SnapshotWriter& writer) {
  auto record = EmptyRecord();
  record.has_header = true;
  record.header.format = kSnapshotFormat;
  record.header.staleness_bound = data.staleness_bound;
  record.header.newest = data.newest.value();
  record.header.newest_at_hand_on = data.newest_at_delivery.value();
  record.header.acknowledged = data.acknowledged.value();
  record.header.last_offset = data.last_offset.value();
  record.header.handed_on_through = data.delivered_through.value();
  record.header.next_step = data.next_step;
  record.header.record_count = CountRecords(data);
  writer.Write(record);
}

void WriteSteps(const StreamData& data, SnapshotWriter& writer) {
  for (const auto& [sequence, step_id] : data.finished_order) {
    WireArena arena;
    const FinishedStep& step = data.finished_steps.at(step_id);
    auto record = EmptyRecord();
    record.has_step = true;
    record.step = {sequence, arena.NewString(step_id.value()), step.digest, step.sample_count,
                   true};
    writer.Write(record);
  }
  for (const auto& [sequence, step] : data.steps) {
    WireArena arena;
    auto record = EmptyRecord();
    record.has_step = true;
    record.step = {sequence, arena.NewString(step.step.value()), step.digest,
                   static_cast<uint32_t>(step.samples.size()), false};
    writer.Write(record);
    for (uint32_t i = 0; i < step.samples.size(); ++i) {
      const SampleRecord& sample = step.samples[i];
      if (sample.state == SampleState::kDone) continue;
      auto sample_record = EmptyRecord();
      sample_record.has_sample = true;
      sample_record.sample.step_sequence = sequence;
      sample_record.sample.index = i;
      sample_record.sample.state = static_cast<uint32_t>(sample.state);
      sample_record.sample.max_tokens = sample.max_tokens;
      sample_record.sample.text =
          arena.NewChunkedBytes(sample.text, &sample_record.sample.text_count);
      writer.Write(sample_record);
    }
  }
}

void WriteEntries(const StreamData& data, SnapshotWriter& writer) {
  for (const auto& [offset, entry] : data.entries) {
    WireArena arena;
    auto record = EmptyRecord();
    record.has_entry = true;
    record.entry.offset = offset.value();
    record.entry.step_sequence = entry.key.step_sequence;
    record.entry.index = entry.key.index;
    record.entry.state = static_cast<uint32_t>(entry.state);
    record.entry.seen_withdrawn_from = entry.seen_withdrawn_from.value();
    record.entry.has_sample = true;
    FillSample(arena, entry.sample, &record.entry.sample);
    writer.Write(record);
  }
  for (const StreamOffset cursor : data.issued_cursors) {
    auto record = EmptyRecord();
    record.issued_cursor = cursor.value();
    writer.Write(record);
  }
}

/// Assembles the records of a snapshot. The methods return false for an invalid record.
class SnapshotReader {
 public:
  bool Read(const millstair_StreamSnapshotRecord& record) {
    if (record.has_header != (records_ == 0)) return false;
    ++records_;
    if (record.has_header) return ReadHeader(record.header);
    if (record.has_published) return ReadPublished(record.published);
    if (record.has_step) return ReadStep(record.step);
    if (record.has_sample) return ReadSampleRecord(record.sample);
    if (record.has_entry) return ReadEntry(record.entry);
    data_.issued_cursors.insert(StreamOffset(record.issued_cursor));
    return record.issued_cursor != 0;
  }

  bool Complete() const { return records_ > 0 && records_ == expected_records_; }
  StreamData Take() { return std::move(data_); }

 private:
  bool ReadHeader(const millstair_StreamSnapshotHeader& header) {
    data_.staleness_bound = header.staleness_bound;
    data_.newest = WeightVersion(header.newest);
    data_.newest_at_delivery = WeightVersion(header.newest_at_hand_on);
    data_.acknowledged = StreamOffset(header.acknowledged);
    data_.last_offset = StreamOffset(header.last_offset);
    data_.delivered_through = StreamOffset(header.handed_on_through);
    data_.next_step = header.next_step;
    expected_records_ = header.record_count;
    return header.format == kSnapshotFormat;
  }

  bool ReadPublished(const millstair_StreamSnapshotPublished& published) {
    data_.published[WeightVersion(published.version)] = WeightDigest(ToString(published.digest));
    return published.version != 0;
  }

  bool ReadStep(const millstair_StreamSnapshotStep& message) {
    const StepId step(ToString(message.step));
    if (message.finished) {
      data_.finished_steps[step] = {message.sequence, message.digest, message.sample_count};
      data_.finished_order[message.sequence] = step;
      return true;
    }
    if (message.sample_count > kMaxStepSamples) return false;
    StepRecord& record = data_.steps[message.sequence];
    record.step = step;
    record.digest = message.digest;
    record.samples.resize(message.sample_count);
    for (SampleRecord& sample : record.samples) sample.state = SampleState::kDone;
    data_.step_sequences[step] = message.sequence;
    return true;
  }

  bool ReadSampleRecord(const millstair_StreamSnapshotSample& message) {
    SampleRecord* sample = Find(message.step_sequence, message.index);
    if (sample == nullptr || message.state < static_cast<uint32_t>(SampleState::kOpen) ||
        message.state >= static_cast<uint32_t>(SampleState::kDone)) {
      return false;
    }
    sample->state = static_cast<SampleState>(message.state);
    sample->max_tokens = message.max_tokens;
    sample->text = JoinBytes(message.text, message.text_count);
    ++data_.steps.at(message.step_sequence).remaining;
    data_.prompt_bytes += sample->text.size();
    if (sample->state == SampleState::kOpen) {
      data_.open.insert({message.step_sequence, message.index});
    }
    return true;
  }

  bool ReadEntry(const millstair_StreamSnapshotEntry& message) {
    if (message.state < static_cast<uint32_t>(EntryState::kHeld) ||
        message.state > static_cast<uint32_t>(EntryState::kMarker)) {
      return false;
    }
    StreamEntry& entry = data_.entries[StreamOffset(message.offset)];
    entry.key = {message.step_sequence, message.index};
    entry.state = static_cast<EntryState>(message.state);
    entry.seen_withdrawn_from = StreamOffset(message.seen_withdrawn_from);
    entry.sample = ReadSample(message.sample);
    data_.payload_bytes += entry.sample.text.size();
    return true;
  }

  SampleRecord* Find(uint64_t sequence, uint32_t index) {
    const auto step = data_.steps.find(sequence);
    if (step == data_.steps.end() || index >= step->second.samples.size()) return nullptr;
    return &step->second.samples[index];
  }

  StreamData data_;
  uint64_t records_ = 0;
  uint64_t expected_records_ = 0;
};

/// Splits the next record off `bytes`; false if it is truncated.
bool NextRecord(std::string_view& bytes, std::string_view& record) {
  if (bytes.size() < kLengthBytes) return false;
  size_t length = 0;
  for (size_t i = 0; i < kLengthBytes; ++i) {
    length |= static_cast<size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  }
  bytes.remove_prefix(kLengthBytes);
  if (bytes.size() < length) return false;
  record = bytes.substr(0, length);
  bytes.remove_prefix(length);
  return true;
}

}  // namespace

std::string EncodeStreamSnapshot(const StreamData& data) {
  SnapshotWriter writer;
  WriteHeader(data, writer);
  for (const auto& [version, digest] : data.published) {
    WireArena arena;
    auto record = EmptyRecord();
    record.has_published = true;
    record.published = {version.value(), arena.NewString(digest.value())};
    writer.Write(record);
  }
  WriteSteps(data, writer);
  WriteEntries(data, writer);
  return writer.Take();
}

absl::StatusOr<StreamData> DecodeStreamSnapshot(std::string_view bytes) {
  SnapshotReader reader;
  while (!bytes.empty()) {
    std::string_view record;
    if (!NextRecord(bytes, record)) {
      return absl::DataLossError("a record of the stream snapshot is truncated");
    }
    auto decoded = DecodedMessage<millstair_StreamSnapshotRecord>::Decode(
        millstair_StreamSnapshotRecord_fields, record);
    if (!decoded.ok() || !reader.Read(**decoded)) {
      return absl::DataLossError("a record of the stream snapshot is damaged");
    }
  }
  if (!reader.Complete()) return absl::DataLossError("records of the stream snapshot are missing");
  return reader.Take();
}

}  // namespace millstair
