#include "jobs/job_state_machine.h"

#include <algorithm>
#include <utility>

namespace millstair {
namespace {

/// More than the engines that get orders within a lease.
constexpr size_t kMaxAnnouncements = 4096;

std::vector<bool> RecordedItems(const JobRecord& record) {
  std::vector<bool> recorded(record.spec.items.size(), false);
  for (const JobResult& result : record.results) recorded.at(result.item) = true;
  return recorded;
}

bool IsValid(const JobRecord& record) {
  const size_t items = record.spec.items.size();
  const bool results =
      std::all_of(record.results.begin(), record.results.end(),
                  [items](const JobResult& result) { return result.item < items; });
  const bool progress = record.progress.empty() || record.progress.rbegin()->first < items;
  return results && progress;
}

/// Whether text that the leader of `term` made after `after` events continues `saved`. Two leaders
/// may have run an item from its start, so equal event counts are not sufficient.
bool Continues(const SavedProgress& saved, uint64_t after, Term term) {
  return saved.events == after && saved.term == term;
}

/// Frees the content that is no longer needed; the identifier stays for reads of the result.
void ClearContent(JobItem& item) {
  item.body = std::string();
  item.headers = HttpHeaders();
  item.scoring.reset();
}

}  // namespace

size_t MemoryOf(const JobSpec& job) {
  size_t bytes = 0;
  for (const JobItem& item : job.items) {
    bytes += sizeof(JobItem) + item.path.size() + item.body.size();
    for (const HttpHeader& header : item.headers) {
      bytes += sizeof(HttpHeader) + header.name.size() + header.value.size();
    }
    if (item.scoring) bytes += item.scoring->path.size() + item.scoring->body.size();
  }
  return bytes;
}

size_t JobStateMachine::item_bytes() const {
  size_t bytes = 0;
  for (const auto& [id, job] : jobs_) bytes += MemoryOf(job.spec);
  return bytes;
}

std::string JobStateMachine::Apply(LogIndex, std::string_view bytes) {
  const auto command = DecodeJobCommand(bytes);
  if (!command.ok()) return EncodeJobResultCode(JobResultCode::kInvalid);
  // A build that does not decode this command skips it. As it changes neither the clock nor any
  // job, such a replica still holds the same jobs.
  if (const auto* record = std::get_if<RecordEnginePaces>(&command->operation)) {
    return EncodeJobResultCode(Run(*record));
  }
  AdvanceClock(command->proposed_at);
  const JobResultCode code =
      std::visit([this](const auto& operation) { return Run(operation); }, command->operation);
  RemoveExpired();
  return EncodeJobResultCode(code);
}

void JobStateMachine::AdvanceClock(WallTime proposed_at) {
  if (clock_ == WallTime()) {
    clock_ = proposed_at;
    return;
  }
  clock_ = std::min(std::max(clock_, proposed_at), clock_ + limits_.max_clock_step);
}

JobResultCode JobStateMachine::Run(const SubmitJob& submit) {
  const JobId& id = submit.job.id;
  if (const auto known = jobs_.find(id); known != jobs_.end()) {
    if (!MayAccessJob(known->second, submit.job.tenant)) return JobResultCode::kOtherOwner;
    if (IsPlaceholder(known->second)) ReplacePlaceholder(known->second, submit.job);
    return JobResultCode::kOk;
  }
  jobs_[id] = {submit.job, clock_, false, {}};
  recorded_[id].assign(submit.job.items.size(), false);
  Notify(JobChange::kSubmitted, id);
  return JobResultCode::kOk;
}

void JobStateMachine::ReplacePlaceholder(JobRecord& placeholder, const JobSpec& job) {
  // The leader that proposed the placeholder may have been lost before it proposed the end.
  placeholder.ended = true;
  placeholder.submitted_at = clock_;
  placeholder.spec = job;
  for (JobItem& item : placeholder.spec.items) ClearContent(item);
  recorded_[job.id].assign(job.items.size(), false);
  ended_encoded_[job.id] = std::make_shared<std::string>(EncodeSnapshotJob(placeholder));
  Notify(JobChange::kEnded, job.id);
}

JobResultCode JobStateMachine::Run(const RecordResult& record) {
  const auto found = jobs_.find(record.job);
  if (found == jobs_.end()) return JobResultCode::kNotFound;
  std::vector<bool>& recorded = recorded_[record.job];
  if (record.result.item >= recorded.size()) return JobResultCode::kInvalid;
  if (recorded[record.result.item]) return JobResultCode::kOk;
  // Nobody waits for the result, and the client may have submitted the item again in another job.
  if (found->second.ended) return JobResultCode::kOk;
  JobResult result = record.result;
  if (record.after > 0) {
    const auto saved = found->second.progress.find(record.result.item);
    const bool exists = saved != found->second.progress.end();
    if (!exists || !Continues(saved->second, record.after, record.term))
      return JobResultCode::kNotSaved;
    result.text = saved->second.text + record.result.text;
  }
  recorded[record.result.item] = true;
  found->second.results.push_back(std::move(result));
  ClearContent(found->second.spec.items[record.result.item]);
  found->second.progress.erase(record.result.item);
  Notify(JobChange::kRecorded, record.job);
  return JobResultCode::kOk;
}

JobResultCode JobStateMachine::Run(const EndJob& end) {
  const auto found = jobs_.find(end.job);
  if (found == jobs_.end()) return JobResultCode::kNotFound;
  if (!MayAccessJob(found->second, end.tenant)) return JobResultCode::kNotFound;
  if (found->second.ended) return JobResultCode::kOk;
  found->second.ended = true;
  for (JobItem& item : found->second.spec.items) ClearContent(item);
  ended_encoded_[end.job] = std::make_shared<std::string>(EncodeSnapshotJob(found->second));
  Notify(JobChange::kEnded, end.job);
  return JobResultCode::kOk;
}

JobResultCode JobStateMachine::Run(const AnnounceOrder& announce) {
  std::erase_if(announcements_, [&announce](const AnnounceOrder& earlier) {
    return earlier.instance == announce.instance;
  });
  announcements_.push_back(announce);
  if (announcements_.size() > kMaxAnnouncements) announcements_.erase(announcements_.begin());
  Notify(JobChange::kAnnounced, JobId());
  return JobResultCode::kOk;
}

JobResultCode JobStateMachine::Run(const SaveProgress& save) {
  for (const ProgressPart& part : save.parts) {
    const auto found = jobs_.find(part.job);
    if (found == jobs_.end() || found->second.ended) continue;
    if (part.item >= found->second.spec.items.size() || IsRecorded(part.job, part.item)) continue;
    auto& progress = found->second.progress;
    if (part.after == 0) {
      progress[part.item] = part.added;
      continue;
    }
    // Skips a part that does not continue the saved text.
    const auto held = progress.find(part.item);
    if (held == progress.end()) continue;
    if (!Continues(held->second, part.after, part.added.term)) continue;
    std::string text = std::move(held->second.text) + part.added.text;
    held->second = part.added;
    held->second.text = std::move(text);
  }
  return JobResultCode::kOk;
}

JobResultCode JobStateMachine::Run(const RecordEnginePaces& record) {
  engine_paces_ = record.paces;
  return JobResultCode::kOk;
}

void JobStateMachine::RemoveExpired() {
  for (auto it = jobs_.begin(); it != jobs_.end();) {
    const bool old = clock_ - it->second.submitted_at > limits_.retention;
    if (!it->second.ended || !old) {
      ++it;
      continue;
    }
    const JobId id = it->first;
    recorded_.erase(id);
    ended_encoded_.erase(id);
    it = jobs_.erase(it);
    Notify(JobChange::kRemoved, id);
  }
}

std::string JobStateMachine::TakeSnapshot() const {
  std::string snapshot;
  for (const auto& part : TakeSnapshotParts()) snapshot += *part;
  return snapshot;
}

SnapshotParts JobStateMachine::TakeSnapshotParts() const {
  SnapshotParts parts;
  parts.push_back(
      std::make_shared<std::string>(EncodeSnapshotHead(clock_, announcements_, engine_paces_)));
  for (const auto& [id, record] : jobs_) {
    const auto ended = ended_encoded_.find(id);
    parts.push_back(ended != ended_encoded_.end()
                        ? ended->second
                        : std::make_shared<std::string>(EncodeSnapshotJob(record)));
  }
  return parts;
}

absl::Status JobStateMachine::Restore(LogIndex, std::string_view bytes) {
  auto snapshot = DecodeJobSnapshot(bytes);
  if (!snapshot.ok()) return absl::DataLossError(snapshot.status().message());
  const bool valid = std::all_of(snapshot->jobs.begin(), snapshot->jobs.end(),
                                 [](const SnapshotJob& job) { return IsValid(job.record); });
  if (!valid) {
    return absl::DataLossError("job snapshot holds a result or progress of an unknown item");
  }
  clock_ = snapshot->clock;
  announcements_ = std::move(snapshot->announcements);
  engine_paces_ = std::move(snapshot->engine_paces);
  jobs_.clear();
  recorded_.clear();
  ended_encoded_.clear();
  for (SnapshotJob& job : snapshot->jobs) {
    const JobId id = job.record.spec.id;
    recorded_[id] = RecordedItems(job.record);
    if (job.record.ended) {
      ended_encoded_[id] = std::make_shared<std::string>(std::move(job.encoded));
    }
    jobs_[id] = std::move(job.record);
  }
  Notify(JobChange::kRestored, JobId());
  return absl::OkStatus();
}

const JobRecord* JobStateMachine::Find(const JobId& job) const {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? nullptr : &found->second;
}

bool JobStateMachine::IsRecorded(const JobId& job, uint32_t item) const {
  const auto found = recorded_.find(job);
  return found != recorded_.end() && item < found->second.size() && found->second[item];
}

void JobStateMachine::Notify(JobChange change, const JobId& job) {
  if (listener_) listener_(change, job);
}

}  // namespace millstair
