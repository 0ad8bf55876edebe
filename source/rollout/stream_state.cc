#include "rollout/stream_state.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

#include "engine/prefix_blocks.h"
#include "fmt/format.h"

namespace millstair {
namespace {

uint64_t DigestOf(const std::vector<Prompt>& prompts) {
  uint64_t digest = prompts.size();
  for (const Prompt& prompt : prompts) {
    digest = XXH64(prompt.text.data(), prompt.text.size(), digest);
    digest = XXH64(&prompt.max_tokens, sizeof(prompt.max_tokens), digest);
  }
  return digest;
}

SampleId SampleIdOf(const StepId& step, uint32_t index) {
  return SampleId(fmt::format("{}/{}", step.value(), index));
}

uint64_t PromptBytes(const std::vector<Prompt>& prompts) {
  uint64_t bytes = 0;
  for (const Prompt& prompt : prompts) bytes += prompt.text.size();
  return bytes;
}

/// Returns why a step is malformed; empty if it is valid.
std::string StepError(const PutStep& command) {
  if (command.step.value().empty() || command.step.value().find('/') != std::string::npos) {
    return "a step id must be non-empty and must not contain '/'";
  }
  if (command.prompts.empty()) return "a step must have at least one prompt";
  if (command.prompts.size() > kMaxStepSamples) return "the step has too many prompts";
  for (uint32_t i = 0; i < command.prompts.size(); ++i) {
    if (command.prompts[i].sample != SampleIdOf(command.step, i)) {
      return fmt::format("prompt {} has a wrong sample id", i);
    }
    if (command.prompts[i].max_tokens == 0) return fmt::format("prompt {} has no max_tokens", i);
  }
  return "";
}

/// Whether the spans cover the sample from the first token to the last without gap or overlap.
bool SpansCoverSample(const Sample& sample) {
  uint32_t next = 0;
  for (const VersionSpan& span : sample.spans) {
    if (span.first_token != next || span.token_count == 0) return false;
    next += span.token_count;
  }
  return next > 0 && next == sample.token_count && CountTokens(sample.text) == next;
}

WeightVersion OldestVersion(const std::vector<VersionSpan>& spans) {
  WeightVersion oldest = spans.front().version;
  for (const VersionSpan& span : spans) oldest = std::min(oldest, span.version);
  return oldest;
}

}  // namespace

std::string StreamState::Apply(LogIndex, std::string_view command) {
  const absl::StatusOr<StreamCommand> decoded = DecodeStreamCommand(command);
  if (!decoded.ok()) {
    return EncodeStreamResult(
        Result(StreamResultCode::kInvalid, std::string(decoded.status().message())));
  }
  return EncodeStreamResult(Execute(*decoded));
}

std::string StreamState::TakeSnapshot() const { return EncodeStreamSnapshot(data_); }

absl::Status StreamState::Restore(LogIndex, std::string_view snapshot) {
  absl::StatusOr<StreamData> data = DecodeStreamSnapshot(snapshot);
  if (!data.ok()) return data.status();
  data_ = *std::move(data);
  if (listener_ != nullptr) listener_->OnSnapshotRestored();
  return absl::OkStatus();
}

StreamResult StreamState::Execute(const StreamCommand& command) {
  StreamResult result = std::visit([this](const auto& typed) { return Handle(typed); }, command);
  if (listener_ != nullptr) listener_->OnProgress();
  return result;
}

StreamResult StreamState::Result(StreamResultCode code, std::string message) const {
  StreamResult result;
  result.code = code;
  result.newest = data_.newest;
  result.next = data_.acknowledged;
  result.message = std::move(message);
  return result;
}

std::optional<SampleKey> StreamState::FindSample(const SampleId& sample) const {
  const std::string& id = sample.value();
  const size_t slash = id.find('/');
  if (slash == std::string::npos) return std::nullopt;
  const auto sequence = data_.step_sequences.find(StepId(id.substr(0, slash)));
  if (sequence == data_.step_sequences.end()) return std::nullopt;
  SampleKey key{sequence->second, 0};
  const char* begin = id.data() + slash + 1;
  const char* end = id.data() + id.size();
  const auto parsed = std::from_chars(begin, end, key.index);
  const StepRecord& step = data_.steps.at(key.step_sequence);
  if (parsed.ec != std::errc() || parsed.ptr != end || key.index >= step.samples.size()) {
    return std::nullopt;
  }
  // Only the canonical spelling is valid: "07" is not 7.
  if (SampleIdOf(step.step, key.index) != sample) return std::nullopt;
  return key;
}

Prompt StreamState::PromptOf(const SampleKey& key) const {
  const StepRecord& step = data_.steps.at(key.step_sequence);
  const SampleRecord& sample = step.samples.at(key.index);
  return {SampleIdOf(step.step, key.index), sample.text, sample.max_tokens};
}

// --- steps -------------------------------------------------------------------------------------

StreamResult StreamState::Handle(const PutStep& command) {
  std::string error = StepError(command);
  if (!error.empty()) return Result(StreamResultCode::kInvalid, std::move(error));
  const uint64_t digest = DigestOf(command.prompts);
  if (const auto known = data_.step_sequences.find(command.step);
      known != data_.step_sequences.end()) {
    return PutKnownStep(command, data_.steps.at(known->second).digest);
  }
  if (const auto finished = data_.finished_steps.find(command.step);
      finished != data_.finished_steps.end() && !faults_.step_not_idempotent) {
    return PutKnownStep(command, finished->second.digest);
  }
  if (data_.open.size() + command.prompts.size() > kMaxOpenSamples ||
      data_.prompt_bytes + PromptBytes(command.prompts) > kMaxPromptBytes ||
      data_.payload_bytes > kMaxPayloadBytes) {
    return Result(StreamResultCode::kFull, "the stream holds too many unread samples");
  }
  CreateStep(command, digest);
  return Result(StreamResultCode::kOk);
}

StreamResult StreamState::PutKnownStep(const PutStep& command, uint64_t known_digest) {
  if (known_digest != DigestOf(command.prompts)) {
    return Result(StreamResultCode::kConflict, "the step exists with other prompts");
  }
  if (faults_.step_not_idempotent) {
    const uint64_t sequence = data_.step_sequences.at(command.step);
    ReopenStep(data_.steps.at(sequence), sequence, command);
  }
  return Result(StreamResultCode::kDuplicate);
}

void StreamState::CreateStep(const PutStep& command, uint64_t digest) {
  const uint64_t sequence = data_.next_step++;
  StepRecord& step = data_.steps[sequence];
  step.step = command.step;
  step.digest = digest;
  step.remaining = static_cast<uint32_t>(command.prompts.size());
  for (const Prompt& prompt : command.prompts) {
    step.samples.push_back({prompt.text, prompt.max_tokens, SampleState::kWithdrawn});
    data_.prompt_bytes += prompt.text.size();
  }
  data_.step_sequences[command.step] = sequence;
  for (uint32_t i = 0; i < step.samples.size(); ++i) {
    SetSampleState({sequence, i}, SampleState::kOpen);
  }
}

/// Used only with the fault switch step_not_idempotent.
void StreamState::ReopenStep(StepRecord& step, uint64_t sequence, const PutStep& command) {
  for (uint32_t i = 0; i < step.samples.size(); ++i) {
    SampleRecord& sample = step.samples[i];
    if (sample.state == SampleState::kDone) {
      sample.text = command.prompts[i].text;
      data_.prompt_bytes += sample.text.size();
      ++step.remaining;
    }
    if (sample.state != SampleState::kOpen) SetSampleState({sequence, i}, SampleState::kOpen);
  }
}

void StreamState::SetSampleState(const SampleKey& key, SampleState state) {
  const auto found = data_.steps.find(key.step_sequence);
  if (found == data_.steps.end()) return;  // finished; only with a fault switch
  StepRecord& step = found->second;
  SampleRecord& sample = step.samples.at(key.index);
  const bool was_open = sample.state == SampleState::kOpen;
  if (sample.state == state) return;
  sample.state = state;
  if (was_open) {
    data_.open.erase(key);
    if (listener_ != nullptr) listener_->OnSampleClosed(key);
  }
  if (state == SampleState::kOpen) {
    data_.open.insert(key);
    if (listener_ != nullptr) listener_->OnSampleOpened(key);
  }
  if (state != SampleState::kDone) return;
  data_.prompt_bytes -= sample.text.size();
  sample.text = std::string();
  if (--step.remaining == 0) FinishStep(key.step_sequence);
}

void StreamState::FinishStep(uint64_t sequence) {
  const auto step = data_.steps.find(sequence);
  const StepId id = step->second.step;
  // A finished step that was created again (fault switch) must not leave a second entry.
  if (const auto before = data_.finished_steps.find(id); before != data_.finished_steps.end()) {
    data_.finished_order.erase(before->second.sequence);
  }
  data_.finished_steps[id] = {sequence, step->second.digest,
                              static_cast<uint32_t>(step->second.samples.size())};
  data_.finished_order[sequence] = id;
  data_.step_sequences.erase(id);
  data_.steps.erase(step);
  while (data_.finished_order.size() > kMaxFinishedSteps) {
    data_.finished_steps.erase(data_.finished_order.begin()->second);
    data_.finished_order.erase(data_.finished_order.begin());
  }
}

// --- samples -----------------------------------------------------------------------------------

StreamResult StreamState::Handle(const AppendSample& command) {
  const Sample& sample = command.sample;
  const std::optional<SampleKey> key = FindSample(sample.sample);
  if (!key) {
    const bool finished = data_.finished_steps.contains(sample.step);
    return Result(finished ? StreamResultCode::kDuplicate : StreamResultCode::kNotFound);
  }
  if (std::optional<StreamResult> refusal = CheckAppend(sample, *key)) return *std::move(refusal);
  data_.last_offset = Next(data_.last_offset);
  StreamEntry& entry = data_.entries[data_.last_offset];
  entry.key = *key;
  entry.sample = sample;
  data_.payload_bytes += sample.text.size();
  if (listener_ != nullptr) listener_->OnSampleAccepted(*key, sample);
  SetSampleState(*key, SampleState::kAccepted);
  data_.newest_at_delivery = data_.newest;
  StreamResult result = Result(StreamResultCode::kOk);
  result.next = data_.last_offset;
  return result;
}

std::optional<StreamResult> StreamState::CheckAppend(const Sample& sample,
                                                     const SampleKey& key) const {
  const SampleRecord& record = data_.steps.at(key.step_sequence).samples.at(key.index);
  const bool fenced = !faults_.first_completion_not_fenced || record.state == SampleState::kDone;
  if (fenced && record.state != SampleState::kOpen) return Result(StreamResultCode::kDuplicate);
  if (sample.step != data_.steps.at(key.step_sequence).step) {
    return Result(StreamResultCode::kInvalid, "the sample does not belong to the step");
  }
  if (!SpansCoverSample(sample)) {
    return Result(StreamResultCode::kVoid, "the spans do not cover the sample");
  }
  if (IsStale(sample, data_.newest)) return Result(StreamResultCode::kStale);
  for (const VersionSpan& span : sample.spans) {
    const auto published = data_.published.find(span.version);
    if (published == data_.published.end()) {
      return Result(StreamResultCode::kVoid,
                    fmt::format("version {} is not known to be published", span.version.value()));
    }
    if (published->second != span.digest) {
      return Result(StreamResultCode::kVoid, fmt::format("version {} was published with another "
                                                         "digest",
                                                         span.version.value()));
    }
  }
  return std::nullopt;
}

bool StreamState::IsStale(const Sample& sample, WeightVersion newest) const {
  const WeightVersion oldest = OldestVersion(sample.spans);
  return newest > oldest && newest.value() - oldest.value() > data_.staleness_bound;
}

StreamResult StreamState::Handle(const RecordPublishedVersion& command) {
  if (command.version.value() == 0 || command.digest.value().empty()) {
    return Result(StreamResultCode::kInvalid, "a version must be at least 1 and have a digest");
  }
  const auto [known, added] = data_.published.emplace(command.version, command.digest);
  if (!added) {
    return Result(known->second == command.digest ? StreamResultCode::kDuplicate
                                                  : StreamResultCode::kConflict);
  }
  if (command.version > data_.newest) {
    data_.newest = command.version;
    if (!faults_.publish_not_ordered) {
      data_.newest_at_delivery = data_.newest;
      WithdrawUnread();
    }
  }
  PruneVersions();
  return Result(StreamResultCode::kOk);
}

void StreamState::PruneVersions() {
  const uint64_t retained = std::max(data_.staleness_bound, kMinRetainedVersions);
  while (!data_.published.empty() &&
         data_.published.begin()->first.value() + retained < data_.newest.value()) {
    data_.published.erase(data_.published.begin());
  }
}

StreamResult StreamState::Handle(const SetStalenessBound& command) {
  if (command.bound == data_.staleness_bound) return Result(StreamResultCode::kDuplicate);
  data_.staleness_bound = command.bound;
  WithdrawUnread();
  PruneVersions();
  return Result(StreamResultCode::kOk);
}

// --- hand-on -----------------------------------------------------------------------------------

StreamResult StreamState::Handle(const DeliverSamples& command) {
  if (command.after < data_.acknowledged) {
    return Result(StreamResultCode::kInvalid, "a later cursor was already acknowledged");
  }
  if (command.after != data_.acknowledged && !data_.issued_cursors.contains(command.after)) {
    return Result(StreamResultCode::kInvalid, "this cursor was never issued");
  }
  Acknowledge(command.after);
  WithdrawUnread();
  if (!faults_.staleness_untested_at_reread) WithdrawRead();
  StreamResult result = Result(StreamResultCode::kOk);
  result.newest = data_.newest_at_delivery;
  FillDelivery(command, result);
  return result;
}

void StreamState::FillDelivery(const DeliverSamples& command, StreamResult& result) {
  const uint32_t limit = std::clamp(command.max_samples, 1U, kMaxDeliverySamples);
  StreamOffset through = command.after;
  StreamOffset needed;
  uint64_t bytes = 0;
  for (const auto& [offset, entry] : data_.entries) {
    const bool full = result.delivered.size() >= limit || bytes > kMaxDeliveryBytes;
    if (full && through >= needed) break;
    const bool withdrawn = entry.state != EntryState::kHeld;
    result.delivered.push_back({offset, withdrawn, entry.sample});
    bytes += entry.sample.text.size();
    needed = std::max(needed, entry.seen_withdrawn_from);
    through = offset;
  }
  result.next = through;
  if (through > data_.acknowledged) data_.issued_cursors.insert(through);
  data_.delivered_through = std::max(data_.delivered_through, through);
}

void StreamState::Acknowledge(StreamOffset through) {
  while (!data_.entries.empty() && data_.entries.begin()->first <= through) {
    const StreamEntry entry = std::move(data_.entries.begin()->second);
    data_.entries.erase(data_.entries.begin());
    data_.payload_bytes -= entry.sample.text.size();
    Settle(entry, through);
  }
  data_.issued_cursors.erase(data_.issued_cursors.begin(),
                             data_.issued_cursors.upper_bound(through));
  data_.acknowledged = through;
}

void StreamState::Settle(const StreamEntry& entry, StreamOffset through) {
  if (entry.state == EntryState::kMarker) return;
  const auto step = data_.steps.find(entry.key.step_sequence);
  if (step == data_.steps.end()) return;  // the step has finished since
  const SampleState state = step->second.samples.at(entry.key.index).state;
  if (entry.state == EntryState::kHeld) {
    if (state != SampleState::kDone) SetSampleState(entry.key, SampleState::kDone);
    return;
  }
  if (entry.seen_withdrawn_from.value() == 0) return;  // reopened at its withdrawal
  const bool trainer_saw_withdrawal = through >= entry.seen_withdrawn_from;
  SetSampleState(entry.key, trainer_saw_withdrawal ? SampleState::kOpen : SampleState::kDone);
}

void StreamState::Withdraw(StreamEntry& entry) {
  entry.state = EntryState::kWithdrawn;
  data_.payload_bytes -= entry.sample.text.size();
  entry.sample.text = std::string();
  entry.sample.spans.clear();
  entry.sample.token_count = 0;
  entry.sample.score = 0;
}

void StreamState::WithdrawUnread() {
  for (auto at = data_.entries.upper_bound(data_.delivered_through); at != data_.entries.end();
       ++at) {
    StreamEntry& entry = at->second;
    if (entry.state != EntryState::kHeld) continue;
    if (!IsStale(entry.sample, data_.newest_at_delivery)) continue;
    Withdraw(entry);
    SetSampleState(entry.key, SampleState::kOpen);
  }
}

void StreamState::WithdrawRead() {
  const StreamOffset next_cursor = Next(data_.delivered_through);
  StreamEntry* last_withdrawn = nullptr;
  for (auto& [offset, entry] : data_.entries) {
    if (offset > data_.delivered_through) break;
    if (entry.state != EntryState::kHeld) continue;
    if (!IsStale(entry.sample, data_.newest_at_delivery)) continue;
    Withdraw(entry);
    entry.seen_withdrawn_from = next_cursor;
    SetSampleState(entry.key, SampleState::kWithdrawn);
    last_withdrawn = &entry;
  }
  if (last_withdrawn != nullptr && data_.last_offset < next_cursor) AppendMarker(*last_withdrawn);
}

void StreamState::AppendMarker(const StreamEntry& entry) {
  data_.last_offset = Next(data_.last_offset);
  StreamEntry marker;
  marker.key = entry.key;
  marker.state = EntryState::kMarker;
  marker.sample = entry.sample;
  data_.entries[data_.last_offset] = std::move(marker);
}

}  // namespace millstair
