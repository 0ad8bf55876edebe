#include "jobs/job_codec.h"

#include "api/generated/jobs.pb.h"
#include "cluster/resource_wire.h"
#include "wire/nanopb_message.h"

namespace millstair {

constexpr uint32_t kSnapshotFormat = 1;

static int64_t ToMilliseconds(WallTime time) { return time.time_since_epoch().count(); }
static WallTime FromMilliseconds(int64_t count) {
  return WallTime(std::chrono::milliseconds(count));
}

static millstair_JobHeader ToWire(WireArena& arena, const HttpHeader& header) {
  millstair_JobHeader wire = millstair_JobHeader_init_zero;
  wire.name = arena.NewString(header.name);
  wire.value = arena.NewString(header.value);
  return wire;
}

static bool FromWire(const millstair_JobHeader& wire, HttpHeader& header) {
  header = {ToString(wire.name), ToString(wire.value)};
  return true;
}

static millstair_JobScoring ToWire(WireArena& arena, const JobScoring& scoring) {
  millstair_JobScoring wire = millstair_JobScoring_init_zero;
  wire.id = arena.NewString(scoring.id);
  wire.host = arena.NewString(scoring.host);
  wire.path = arena.NewString(scoring.path);
  wire.body = arena.NewChunkedBytes(scoring.body, &wire.body_count);
  return wire;
}

static millstair_JobItem ToWire(WireArena& arena, const JobItem& item) {
  millstair_JobItem wire = millstair_JobItem_init_zero;
  wire.id = arena.NewString(item.id.value());
  wire.path = arena.NewString(item.path);
  wire.headers = NewWireArray<millstair_JobHeader>(arena, item.headers, &wire.headers_count);
  wire.body = arena.NewChunkedBytes(item.body, &wire.body_count);
  wire.tokens = item.tokens;
  wire.expected_tokens = item.expected_tokens;
  wire.group = arena.NewString(item.group);
  wire.has_scoring = item.scoring.has_value();
  if (item.scoring) wire.scoring = ToWire(arena, *item.scoring);
  return wire;
}

static bool FromWire(const millstair_JobItem& wire, JobItem& item) {
  item.id = ItemId(ToString(wire.id));
  item.path = ToString(wire.path);
  item.body = JoinBytes(wire.body, wire.body_count);
  item.tokens = wire.tokens;
  item.expected_tokens = wire.expected_tokens;
  item.group = ToString(wire.group);
  if (wire.has_scoring) {
    item.scoring = JobScoring{ToString(wire.scoring.id), ToString(wire.scoring.host),
                              ToString(wire.scoring.path),
                              JoinBytes(wire.scoring.body, wire.scoring.body_count)};
  }
  return FromWireArray(wire.headers, wire.headers_count, item.headers);
}

static millstair_JobSpec ToWire(WireArena& arena, const JobSpec& spec) {
  millstair_JobSpec wire = millstair_JobSpec_init_zero;
  wire.id = arena.NewString(spec.id.value());
  wire.host = arena.NewString(spec.host);
  wire.path = arena.NewString(spec.path);
  wire.has_step = spec.step.has_value();
  wire.step = spec.step.value_or(0);
  wire.model = arena.NewString(spec.model.value());
  wire.min_version = spec.min_version.value();
  wire.wanted_groups = spec.wanted_groups;
  wire.items = NewWireArray<millstair_JobItem>(arena, spec.items, &wire.items_count);
  wire.tenant = arena.NewString(spec.tenant.value());
  return wire;
}

static bool FromWire(const millstair_JobSpec& wire, JobSpec& spec) {
  spec.id = JobId(ToString(wire.id));
  spec.host = ToString(wire.host);
  spec.path = ToString(wire.path);
  if (wire.has_step) spec.step = wire.step;
  spec.model = ModelName(ToString(wire.model));
  spec.min_version = WeightVersion(wire.min_version);
  spec.wanted_groups = wire.wanted_groups;
  spec.tenant = TenantName(ToString(wire.tenant));
  return FromWireArray(wire.items, wire.items_count, spec.items) && !spec.id.value().empty();
}

static millstair_JobResult ToWire(WireArena& arena, const JobResult& result) {
  millstair_JobResult wire = millstair_JobResult_init_zero;
  wire.item = result.item;
  wire.state = static_cast<uint32_t>(result.state);
  wire.text = arena.NewChunkedBytes(result.text, &wire.text_count);
  wire.versions = arena.NewArray<uint64_t>(result.versions.size());
  for (const WeightVersion version : result.versions) {
    wire.versions[wire.versions_count++] = version.value();
  }
  wire.score = arena.NewString(result.score);
  return wire;
}

static bool FromWire(const millstair_JobResult& wire, JobResult& result) {
  result.item = wire.item;
  result.text = JoinBytes(wire.text, wire.text_count);
  for (pb_size_t i = 0; i < wire.versions_count; ++i) {
    result.versions.emplace_back(wire.versions[i]);
  }
  result.score = ToString(wire.score);
  const bool known = wire.state == static_cast<uint32_t>(ItemState::kDone) ||
                     wire.state == static_cast<uint32_t>(ItemState::kFailed);
  result.state = static_cast<ItemState>(wire.state);
  return known;
}

static millstair_ListedResult ToWire(WireArena& arena, const RecordedResult& recorded) {
  millstair_ListedResult wire = millstair_ListedResult_init_zero;
  wire.item = arena.NewString(recorded.item.value());
  wire.has_result = true;
  wire.result = ToWire(arena, recorded.result);
  return wire;
}

static bool FromWire(const millstair_ListedResult& wire, RecordedResult& recorded) {
  recorded.item = ItemId(ToString(wire.item));
  return wire.has_result && FromWire(wire.result, recorded.result);
}

static millstair_ProgressPart ToWire(WireArena& arena, const ProgressPart& part) {
  millstair_ProgressPart wire = millstair_ProgressPart_init_zero;
  wire.job = arena.NewString(part.job.value());
  wire.item = part.item;
  wire.after = part.after;
  wire.events = part.added.events;
  wire.text = arena.NewChunkedBytes(part.added.text, &wire.text_count);
  wire.versions = arena.NewArray<uint64_t>(part.added.versions.size());
  for (const WeightVersion version : part.added.versions) {
    wire.versions[wire.versions_count++] = version.value();
  }
  wire.version = part.added.version.value();
  wire.term = part.added.term.value();
  return wire;
}

static bool FromWire(const millstair_ProgressPart& wire, ProgressPart& part) {
  part.job = JobId(ToString(wire.job));
  part.item = wire.item;
  part.after = wire.after;
  part.added.events = wire.events;
  part.added.text = JoinBytes(wire.text, wire.text_count);
  for (pb_size_t i = 0; i < wire.versions_count; ++i) {
    part.added.versions.emplace_back(wire.versions[i]);
  }
  part.added.version = WeightVersion(wire.version);
  part.added.term = Term(wire.term);
  return part.added.events > part.after;
}

static millstair_JobRecord ToWire(WireArena& arena, const JobRecord& record) {
  millstair_JobRecord wire = millstair_JobRecord_init_zero;
  wire.has_spec = true;
  wire.spec = ToWire(arena, record.spec);
  wire.submitted_at_milliseconds = ToMilliseconds(record.submitted_at);
  wire.ended = record.ended;
  wire.results = NewWireArray<millstair_JobResult>(arena, record.results, &wire.results_count);
  wire.progress = arena.NewArray<millstair_ProgressPart>(record.progress.size());
  for (const auto& [item, progress] : record.progress) {
    wire.progress[wire.progress_count++] = ToWire(arena, ProgressPart{JobId(), item, 0, progress});
  }
  return wire;
}

static bool FromWire(const millstair_JobRecord& wire, JobRecord& record) {
  record.submitted_at = FromMilliseconds(wire.submitted_at_milliseconds);
  record.ended = wire.ended;
  std::vector<ProgressPart> progress;
  if (!FromWireArray(wire.progress, wire.progress_count, progress)) return false;
  for (ProgressPart& part : progress) record.progress[part.item] = std::move(part.added);
  return wire.has_spec && FromWire(wire.spec, record.spec) &&
         FromWireArray(wire.results, wire.results_count, record.results);
}

static millstair_AnnounceOrder ToWire(WireArena& arena, const AnnounceOrder& announce) {
  millstair_AnnounceOrder wire = millstair_AnnounceOrder_init_zero;
  wire.holder = arena.NewString(announce.holder.value());
  wire.instance = arena.NewString(announce.instance.value());
  wire.term = announce.term.value();
  wire.announced_at_microseconds = announce.announced_at.count();
  return wire;
}

static bool FromWire(const millstair_AnnounceOrder& wire, AnnounceOrder& announce) {
  announce.holder = NodeId(ToString(wire.holder));
  announce.instance = InstanceId(ToString(wire.instance));
  announce.term = Term(wire.term);
  announce.announced_at = Duration(wire.announced_at_microseconds);
  return true;
}

static millstair_EnginePace ToWire(WireArena& arena, const EnginePace& pace) {
  millstair_EnginePace wire = millstair_EnginePace_init_zero;
  wire.engine = arena.NewString(pace.engine.value());
  wire.microseconds_per_event = static_cast<uint64_t>(pace.per_event.count());
  return wire;
}

static bool FromWire(const millstair_EnginePace& wire, EnginePace& pace) {
  pace.engine = InstanceId(ToString(wire.engine));
  pace.per_event = Duration(wire.microseconds_per_event);
  return pace.per_event > Duration(0);
}

namespace {

/// Fills the operation of a wire command, with one overload for each operation.
struct JobOperationWriter {
  WireArena& arena;
  millstair_JobCommand& wire;

  void operator()(const SubmitJob& submit) const {
    wire.which_operation = millstair_JobCommand_submit_tag;
    wire.operation.submit = millstair_SubmitJob_init_zero;
    wire.operation.submit.has_job = true;
    wire.operation.submit.job = ToWire(arena, submit.job);
  }

  void operator()(const RecordResult& record) const {
    wire.which_operation = millstair_JobCommand_list_tag;
    wire.operation.list = millstair_ListResult_init_zero;
    wire.operation.list.job = arena.NewString(record.job.value());
    wire.operation.list.has_result = true;
    wire.operation.list.result = ToWire(arena, record.result);
    wire.operation.list.after = record.after;
    wire.operation.list.term = record.term.value();
  }

  void operator()(const EndJob& end) const {
    wire.which_operation = millstair_JobCommand_end_tag;
    wire.operation.end = millstair_EndJob_init_zero;
    wire.operation.end.job = arena.NewString(end.job.value());
    wire.operation.end.tenant = arena.NewString(end.tenant.value());
  }

  void operator()(const AnnounceOrder& announce) const {
    wire.which_operation = millstair_JobCommand_announce_tag;
    wire.operation.announce = ToWire(arena, announce);
  }

  void operator()(const SaveProgress& save) const {
    wire.which_operation = millstair_JobCommand_keep_tag;
    wire.operation.keep = millstair_KeepProgress_init_zero;
    wire.operation.keep.parts =
        NewWireArray<millstair_ProgressPart>(arena, save.parts, &wire.operation.keep.parts_count);
  }

  void operator()(const RecordEnginePaces& record) const {
    wire.which_operation = millstair_JobCommand_paces_tag;
    wire.operation.paces = millstair_RecordEnginePaces_init_zero;
    wire.operation.paces.paces =
        NewWireArray<millstair_EnginePace>(arena, record.paces, &wire.operation.paces.paces_count);
  }
};

bool OperationFromWire(const millstair_JobCommand& wire, JobOperation& operation) {
  switch (wire.which_operation) {
    case millstair_JobCommand_submit_tag:
      return wire.operation.submit.has_job &&
             FromWire(wire.operation.submit.job, operation.emplace<SubmitJob>().job);
    case millstair_JobCommand_list_tag: {
      auto& record = operation.emplace<RecordResult>();
      record.job = JobId(ToString(wire.operation.list.job));
      record.after = wire.operation.list.after;
      record.term = Term(wire.operation.list.term);
      return wire.operation.list.has_result && FromWire(wire.operation.list.result, record.result);
    }
    case millstair_JobCommand_end_tag:
      operation = EndJob{JobId(ToString(wire.operation.end.job)),
                         TenantName(ToString(wire.operation.end.tenant))};
      return true;
    case millstair_JobCommand_announce_tag:
      return FromWire(wire.operation.announce, operation.emplace<AnnounceOrder>());
    case millstair_JobCommand_keep_tag:
      return FromWireArray(wire.operation.keep.parts, wire.operation.keep.parts_count,
                           operation.emplace<SaveProgress>().parts);
    case millstair_JobCommand_paces_tag:
      return FromWireArray(wire.operation.paces.paces, wire.operation.paces.paces_count,
                           operation.emplace<RecordEnginePaces>().paces);
    default:
      return false;
  }
}

}  // namespace

std::string EncodeJobCommand(const JobCommand& command) {
  WireArena arena;
  millstair_JobCommand wire = millstair_JobCommand_init_zero;
  wire.proposed_at_milliseconds = ToMilliseconds(command.proposed_at);
  std::visit(JobOperationWriter{arena, wire}, command.operation);
  return EncodeNanopb(millstair_JobCommand_fields, &wire);
}

absl::StatusOr<JobCommand> DecodeJobCommand(std::string_view bytes) {
  auto decoded = DecodedMessage<millstair_JobCommand>::Decode(millstair_JobCommand_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  JobCommand command;
  command.proposed_at = FromMilliseconds((*decoded)->proposed_at_milliseconds);
  if (!OperationFromWire(**decoded, command.operation)) {
    return absl::InvalidArgumentError("job command has no valid operation");
  }
  return command;
}

std::string EncodeJobResultCode(JobResultCode code) {
  millstair_JobCommandResult wire = millstair_JobCommandResult_init_zero;
  wire.code = static_cast<uint32_t>(code);
  return EncodeNanopb(millstair_JobCommandResult_fields, &wire);
}

absl::StatusOr<JobResultCode> DecodeJobResultCode(std::string_view bytes) {
  auto decoded =
      DecodedMessage<millstair_JobCommandResult>::Decode(millstair_JobCommandResult_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  const uint32_t code = (*decoded)->code;
  if (code < static_cast<uint32_t>(JobResultCode::kOk) ||
      code > static_cast<uint32_t>(JobResultCode::kOtherOwner)) {
    return absl::InvalidArgumentError("job command result has an unknown code");
  }
  return static_cast<JobResultCode>(code);
}

std::string EncodeJobQuery(const JobQuery& query) {
  WireArena arena;
  millstair_JobQuery wire = millstair_JobQuery_init_zero;
  wire.kind = static_cast<uint32_t>(query.kind);
  wire.job = arena.NewString(query.job.value());
  wire.item = arena.NewString(query.item.value());
  wire.after = query.after;
  wire.wait_milliseconds = static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(query.wait).count());
  wire.max_bytes = query.max_bytes;
  wire.tenant = arena.NewString(query.tenant.value());
  return EncodeNanopb(millstair_JobQuery_fields, &wire);
}

absl::StatusOr<JobQuery> DecodeJobQuery(std::string_view bytes) {
  auto decoded = DecodedMessage<millstair_JobQuery>::Decode(millstair_JobQuery_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  const millstair_JobQuery& wire = **decoded;
  if (wire.kind != static_cast<uint32_t>(JobQueryKind::kResults) &&
      wire.kind != static_cast<uint32_t>(JobQueryKind::kBody)) {
    return absl::InvalidArgumentError("job query has an unknown kind");
  }
  JobQuery query;
  query.kind = static_cast<JobQueryKind>(wire.kind);
  query.tenant = TenantName(ToString(wire.tenant));
  query.job = JobId(ToString(wire.job));
  query.item = ItemId(ToString(wire.item));
  query.after = wire.after;
  query.wait = std::chrono::milliseconds(wire.wait_milliseconds);
  query.max_bytes = wire.max_bytes;
  return query;
}

std::string EncodeJobQueryAnswer(const JobQueryAnswer& answer) {
  WireArena arena;
  millstair_JobQueryAnswer wire = millstair_JobQueryAnswer_init_zero;
  wire.found = answer.found;
  wire.total = answer.total;
  wire.results = NewWireArray<millstair_ListedResult>(arena, answer.results, &wire.results_count);
  wire.body = arena.NewChunkedBytes(answer.body, &wire.body_count);
  return EncodeNanopb(millstair_JobQueryAnswer_fields, &wire);
}

absl::StatusOr<JobQueryAnswer> DecodeJobQueryAnswer(std::string_view bytes) {
  auto decoded =
      DecodedMessage<millstair_JobQueryAnswer>::Decode(millstair_JobQueryAnswer_fields, bytes);
  if (!decoded.ok()) return decoded.status();
  const millstair_JobQueryAnswer& wire = **decoded;
  JobQueryAnswer answer;
  answer.found = wire.found;
  answer.total = wire.total;
  answer.body = JoinBytes(wire.body, wire.body_count);
  if (!FromWireArray(wire.results, wire.results_count, answer.results)) {
    return absl::InvalidArgumentError("job query reply has an invalid result");
  }
  return answer;
}

std::string EncodeSnapshotHead(WallTime clock, const std::vector<AnnounceOrder>& announcements,
                               const std::vector<EnginePace>& engine_paces) {
  WireArena arena;
  millstair_JobSnapshot wire = millstair_JobSnapshot_init_zero;
  wire.format = kSnapshotFormat;
  wire.clock_milliseconds = ToMilliseconds(clock);
  wire.announcements =
      NewWireArray<millstair_AnnounceOrder>(arena, announcements, &wire.announcements_count);
  wire.engine_paces =
      NewWireArray<millstair_EnginePace>(arena, engine_paces, &wire.engine_paces_count);
  return EncodeNanopb(millstair_JobSnapshot_fields, &wire);
}

std::string EncodeSnapshotJob(const JobRecord& record) {
  WireArena arena;
  millstair_JobSnapshot wire = millstair_JobSnapshot_init_zero;
  wire.jobs = arena.NewArray<millstair_JobRecord>(1);
  wire.jobs[wire.jobs_count++] = ToWire(arena, record);
  // Concatenated messages decode as one message with the elements of all their repeated fields.
  return EncodeNanopb(millstair_JobSnapshot_fields, &wire);
}

static absl::Status DecodeSnapshotJob(const WireField& field, std::vector<SnapshotJob>& jobs) {
  auto wire =
      DecodedMessage<millstair_JobRecord>::Decode(millstair_JobRecord_fields, field.payload);
  if (!wire.ok()) return wire.status();
  SnapshotJob& job = jobs.emplace_back();
  job.encoded = std::string(field.encoded);
  if (FromWire(**wire, job.record)) return absl::OkStatus();
  return absl::InvalidArgumentError("job snapshot has an invalid job record");
}

absl::StatusOr<JobSnapshot> DecodeJobSnapshot(std::string_view bytes) {
  JobSnapshot snapshot;
  std::string head;
  // Decodes the jobs one at a time, so that at most one wire message is in memory.
  const absl::Status read =
      ForEachWireField(bytes, [&snapshot, &head](const WireField& field) -> absl::Status {
        const bool is_job = field.tag == millstair_JobSnapshot_jobs_tag;
        if (is_job) return DecodeSnapshotJob(field, snapshot.jobs);
        head += field.encoded;
        return absl::OkStatus();
      });
  if (!read.ok()) return absl::DataLossError(read.message());
  auto decoded = DecodedMessage<millstair_JobSnapshot>::Decode(millstair_JobSnapshot_fields, head);
  if (!decoded.ok()) return decoded.status();
  const millstair_JobSnapshot& wire = **decoded;
  snapshot.clock = FromMilliseconds(wire.clock_milliseconds);
  const bool valid =
      wire.format == kSnapshotFormat &&
      FromWireArray(wire.announcements, wire.announcements_count, snapshot.announcements) &&
      FromWireArray(wire.engine_paces, wire.engine_paces_count, snapshot.engine_paces);
  if (!valid) {
    return absl::DataLossError("job snapshot has an invalid format, announcement or pace");
  }
  return snapshot;
}

}  // namespace millstair
