#include "rollout/trainer_service.h"

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <set>

#include "cluster/cluster_commands.h"
#include "common/alive_flag.h"
#include "common/scoped_timer.h"
#include "fmt/format.h"
#include "http/problem.h"
#include "rollout/stream_commands.h"
#include "rollout/trainer_requests.h"

namespace millstair {
namespace {

constexpr Duration kCommandTimeout = std::chrono::seconds(10);
constexpr Duration kReadTimeout = std::chrono::seconds(5);
constexpr std::chrono::milliseconds kQueryWait{500};
constexpr Duration kQueryTimeout = std::chrono::seconds(2);
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kRetryAfter = std::chrono::seconds(2);
const char kJson[] = "application/json";

/// One request of a trainer until it is responded to.
struct Exchange {
  std::shared_ptr<ResponseWriter> writer;
  bool finished = false;

  void Answer(const boost::json::object& body) { AnswerText(boost::json::serialize(body)); }
  void AnswerText(std::string body) {
    if (finished) return;
    finished = true;
    RespondIfRoom(*writer, {200, {{"Content-Type", kJson}}}, std::move(body));
  }
  void Fail(const Problem& problem) {
    if (finished) return;
    finished = true;
    RespondProblem(*writer, problem);
  }
};

Problem BadRequest(const Findings& findings) {
  return {400, "Bad request", findings.ToString(), Outcome::kNotRun, std::nullopt};
}

Problem OutcomeUnknown(const absl::Status& status) {
  return {503, "Control nodes did not answer",
          "Repeat the request; it is idempotent. " + std::string(status.message()),
          Outcome::kUnknown, kRetryAfter};
}

/// A read of samples that may wait for new ones.
struct PendingRead {
  Exchange exchange;
  StreamName stream;
  SamplesRequest request;
  TimePoint until;
  TimePoint queried_at;
  bool delivering = false;
  /// Newest version that the stream reported during the wait.
  WeightVersion newest;
};

/// A published version that is being recorded in the logs of the streams.
struct PendingPublish {
  Exchange exchange;
  ModelName model;
  PublishedVersion version;
  std::set<StreamName> pending_streams;
};

class TrainerServiceNode : public TrainerService {
 public:
  TrainerServiceNode(Environment& environment, ControlClient& control,
                     ConfigurationClient& configuration)
      : environment_(environment),
        control_(control),
        configuration_(configuration),
        drain_timer_(environment) {}

  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) override {
    auto exchange = std::make_shared<Exchange>();
    exchange->writer = std::move(writer);
    exchanges_.push_back(exchange);
    std::erase_if(exchanges_, [](const auto& known) {
      const auto locked = known.lock();
      return locked == nullptr || locked->finished;
    });
    exchange->writer->OnCallerDisconnected([weak = std::weak_ptr<Exchange>(exchange)] {
      if (const auto locked = weak.lock()) locked->finished = true;
    });
    Dispatch(request, exchange);
  }

  void Drain(std::function<void()> done) override {
    draining_ = true;
    drained_ = std::move(done);
    for (const auto& weak : reads_) {
      const std::shared_ptr<PendingRead> read = weak.lock();
      if (read != nullptr && !read->delivering) AnswerEmpty(*read);
    }
    CheckDrained();
  }

 private:
  using SharedExchange = std::shared_ptr<Exchange>;

  void Dispatch(const HttpRequest& request, const SharedExchange& exchange) {
    const TrainerTarget target = ParseTarget(request.target);
    const std::vector<std::string>& path = target.segments;
    const bool stream_path = path.size() >= 4 && path[1] == "streams";
    if (stream_path && path.size() == 5 && path[3] == "steps") {
      if (request.method != "PUT") return WrongMethod(exchange, "PUT");
      return HandleStep(StreamName(path[2]), path[4], request.body.str(), exchange);
    }
    if (stream_path && path.size() == 4 && path[3] == "samples") {
      if (request.method != "GET") return WrongMethod(exchange, "GET");
      return HandleSamples(StreamName(path[2]), target.query, exchange);
    }
    if (path.size() == 5 && path[1] == "models" && path[3] == "versions") {
      if (request.method != "PUT") return WrongMethod(exchange, "PUT");
      return HandlePublish(ModelName(path[2]), path[4], request.body.str(), exchange);
    }
    exchange->Fail({404, "No such path", request.target, Outcome::kNotRun, std::nullopt});
  }

  static void WrongMethod(const SharedExchange& exchange, const std::string& allowed) {
    exchange->Fail(
        {405, "Method not allowed", "Use " + allowed + ".", Outcome::kNotRun, std::nullopt});
  }

  const StreamSpec* FindStream(const StreamName& stream, const SharedExchange& exchange) const {
    const auto* spec =
        configuration_.configuration().FindSpec<StreamSpec>(ResourceKind::kStream, stream.value());
    if (spec == nullptr) {
      exchange->Fail({404, "No such stream", stream.value(), Outcome::kNotRun, std::nullopt});
    }
    return spec;
  }

  void Submit(const GroupId& group, CommandMode mode, std::string command, Duration timeout,
              ControlClient::Callback done) {
    control_.Submit(group, mode, std::move(command), timeout, alive_.Guard(std::move(done)));
  }

  // --- steps -----------------------------------------------------------------------------------

  void HandleStep(const StreamName& stream, const std::string& step, const std::string& body,
                  const SharedExchange& exchange) {
    const StreamSpec* spec = FindStream(stream, exchange);
    if (spec == nullptr) return;
    Findings findings;
    PutStep command = ParseStep(step, body, *spec, findings);
    if (!findings.empty()) return exchange->Fail(BadRequest(findings));
    const size_t samples = command.prompts.size();
    Submit(StreamGroup(stream), CommandMode::kPropose, EncodeStreamCommand(std::move(command)),
           kCommandTimeout, [exchange, step, samples](const absl::StatusOr<std::string>& answer) {
             AnswerStep(answer, step, samples, *exchange);
           });
  }

  static void AnswerStep(const absl::StatusOr<std::string>& answer, const std::string& step,
                         size_t samples, Exchange& exchange) {
    const absl::StatusOr<StreamResult> result = Decode(answer);
    if (!result.ok()) return exchange.Fail(OutcomeUnknown(result.status()));
    switch (result->code) {
      case StreamResultCode::kOk:
      case StreamResultCode::kDuplicate:
        return exchange.Answer({{"step", step}, {"samples", samples}});
      case StreamResultCode::kConflict:
        return exchange.Fail({409, "Step exists", result->message, Outcome::kNotRun, std::nullopt});
      case StreamResultCode::kFull:
        return exchange.Fail(
            {503, "Stream is full", result->message, Outcome::kNotRun, kRetryAfter});
      default:
        return exchange.Fail({400, "Bad request", result->message, Outcome::kNotRun, std::nullopt});
    }
  }

  static absl::StatusOr<StreamResult> Decode(const absl::StatusOr<std::string>& answer) {
    if (!answer.ok()) return answer.status();
    return DecodeStreamResult(*answer);
  }

  // --- samples ---------------------------------------------------------------------------------

  void HandleSamples(const StreamName& stream, const std::string& query,
                     const SharedExchange& exchange) {
    if (FindStream(stream, exchange) == nullptr) return;
    Findings findings;
    auto read = std::make_shared<PendingRead>();
    read->request = ParseSamplesRequest(query, findings);
    if (!findings.empty()) return exchange->Fail(BadRequest(findings));
    read->stream = stream;
    read->until = environment_.Now() + read->request.wait;
    // The read takes over the response; `exchange` must not respond any more.
    read->exchange.writer = exchange->writer;
    exchange->finished = true;
    read->exchange.writer->OnCallerDisconnected([weak = std::weak_ptr<PendingRead>(read)] {
      if (const auto locked = weak.lock()) locked->exchange.finished = true;
    });
    std::erase_if(reads_, [](const auto& known) { return known.expired(); });
    reads_.push_back(read);
    QueryCursor(read);
  }

  void QueryCursor(const std::shared_ptr<PendingRead>& read) {
    if (read->exchange.finished) return;
    const TimePoint now = environment_.Now();
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(read->until - now);
    CursorQuery query{read->request.after,
                      std::clamp(left, std::chrono::milliseconds(0), kQueryWait)};
    // A read without a wait needs no hint.
    if (read->request.wait.count() == 0) return Read(read);
    Submit(
        StreamGroup(read->stream), CommandMode::kQuery, EncodeCursorQuery(query), kQueryTimeout,
        [this, read](const absl::StatusOr<std::string>& answer) { OnCursorStatus(read, answer); });
  }

  void OnCursorStatus(const std::shared_ptr<PendingRead>& read,
                      const absl::StatusOr<std::string>& answer) {
    if (read->exchange.finished) return;
    absl::StatusOr<CursorStatus> status =
        answer.ok() ? DecodeCursorStatus(*answer) : absl::StatusOr<CursorStatus>(answer.status());
    if (status.ok()) read->newest = status->newest;
    const bool ready = status.ok() && (status->last_offset > read->request.after ||
                                       status->acknowledged < read->request.after);
    if (ready) return Read(read);
    if (WaitExpired(*read)) return AnswerEmpty(*read);
    // A leader at its limit of held queries replies at once: delay the next query.
    const bool was_held = environment_.Now() - read->queried_at >= kRetryDelay;
    if (status.ok() && was_held) return QueryCursor(read);
    RunAfter(kRetryDelay, [this, read] { QueryCursor(read); });
  }

  bool WaitExpired(const PendingRead& read) const {
    return draining_ || environment_.Now() >= read.until;
  }

  void Read(const std::shared_ptr<PendingRead>& read) {
    read->delivering = true;
    Submit(StreamGroup(read->stream), CommandMode::kPropose,
           EncodeStreamCommand(DeliverSamples{read->request.after, read->request.max_samples}),
           kReadTimeout, [this, read](const absl::StatusOr<std::string>& answer) {
             read->delivering = false;
             OnReadReply(read, answer);
           });
  }

  void OnReadReply(const std::shared_ptr<PendingRead>& read,
                   const absl::StatusOr<std::string>& answer) {
    const absl::StatusOr<StreamResult> result = Decode(answer);
    if (!result.ok()) {
      if (WaitExpired(*read)) return read->exchange.Fail(OutcomeUnknown(result.status()));
      return RunAfter(kRetryDelay, [this, read] { QueryCursor(read); });
    }
    if (result->code != StreamResultCode::kOk) {
      return read->exchange.Fail(
          {409, "Cursor does not fit", result->message, Outcome::kNotRun, std::nullopt});
    }
    if (result->delivered.empty() && !WaitExpired(*read)) return QueryCursor(read);
    read->exchange.AnswerText(SamplesJson(*result));
  }

  /// Responds with no sample and an unchanged cursor.
  void AnswerEmpty(PendingRead& read) {
    StreamResult empty;
    empty.next = read.request.after;
    empty.newest = read.newest;
    read.exchange.AnswerText(SamplesJson(empty));
  }

  // --- versions --------------------------------------------------------------------------------

  void HandlePublish(const ModelName& model, const std::string& version, const std::string& body,
                     const SharedExchange& exchange) {
    const Configuration& configuration = configuration_.configuration();
    if (!configuration.resources.contains({ResourceKind::kModel, model.value()})) {
      return exchange->Fail({404, "No such model", model.value(), Outcome::kNotRun, std::nullopt});
    }
    Findings findings;
    auto publish = std::make_shared<PendingPublish>();
    publish->version = ParseVersion(version, body, findings);
    if (!findings.empty()) return exchange->Fail(BadRequest(findings));
    publish->model = model;
    ClusterCommand command;
    command.operation = PublishVersion{model, publish->version};
    command.proposed_at = environment_.WallNow();
    Submit(GroupId("cluster"), CommandMode::kPropose, EncodeCommand(command), kCommandTimeout,
           [this, publish, exchange](const absl::StatusOr<std::string>& answer) {
             OnPublishReply(publish, exchange, answer);
           });
  }

  void OnPublishReply(const std::shared_ptr<PendingPublish>& publish,
                      const SharedExchange& exchange, const absl::StatusOr<std::string>& answer) {
    const absl::StatusOr<ClusterResult> result =
        answer.ok() ? DecodeResult(*answer) : absl::StatusOr<ClusterResult>(answer.status());
    if (!result.ok()) return exchange->Fail(OutcomeUnknown(result.status()));
    if (result->code != ClusterResultCode::kOk) {
      const bool bad = result->code == ClusterResultCode::kInvalid;
      return exchange->Fail(
          {bad ? 400 : 409, "Version refused", result->message, Outcome::kNotRun, std::nullopt});
    }
    for (const StreamName& stream : StreamsOf(publish->model))
      publish->pending_streams.insert(stream);
    if (publish->pending_streams.empty()) return AnswerPublish(*publish, *exchange);
    const std::set<StreamName> streams = publish->pending_streams;
    for (const StreamName& stream : streams) PublishToStream(publish, exchange, stream);
  }

  std::vector<StreamName> StreamsOf(const ModelName& model) const {
    const Configuration& configuration = configuration_.configuration();
    std::vector<StreamName> streams;
    for (const auto& [key, resource] : configuration.resources) {
      const auto* stream = std::get_if<StreamSpec>(&resource.spec);
      if (stream == nullptr) continue;
      const auto* pool = configuration.FindSpec<PoolSpec>(ResourceKind::kPool, stream->pool);
      if (pool != nullptr && pool->model == model) streams.emplace_back(resource.name);
    }
    return streams;
  }

  /// Responds to the publisher only once the log of each stream holds the version, so that no
  /// delivery after the response is checked against an older one.
  void PublishToStream(const std::shared_ptr<PendingPublish>& publish,
                       const SharedExchange& exchange, const StreamName& stream) {
    const RecordPublishedVersion command{publish->version.version, publish->version.digest};
    Submit(StreamGroup(stream), CommandMode::kPropose, EncodeStreamCommand(command),
           kCommandTimeout, [publish, exchange, stream](const absl::StatusOr<std::string>& answer) {
             const absl::StatusOr<StreamResult> result = Decode(answer);
             if (!result.ok()) return exchange->Fail(OutcomeUnknown(result.status()));
             if (result->code == StreamResultCode::kConflict) {
               return exchange->Fail({409, "Version refused",
                                      "a stream has this version with another digest",
                                      Outcome::kUnknown, std::nullopt});
             }
             publish->pending_streams.erase(stream);
             if (publish->pending_streams.empty()) AnswerPublish(*publish, *exchange);
           });
  }

  static void AnswerPublish(const PendingPublish& publish, Exchange& exchange) {
    exchange.Answer(
        {{"model", publish.model.value()}, {"version", publish.version.version.value()}});
  }

  // --- drain -----------------------------------------------------------------------------------

  void RunAfter(Duration delay, std::function<void()> callback) {
    environment_.Schedule(delay, alive_.Guard(std::move(callback)));
  }

  void CheckDrained() {
    const bool idle = std::all_of(exchanges_.begin(), exchanges_.end(),
                                  [](const auto& weak) {
                                    const auto exchange = weak.lock();
                                    return exchange == nullptr || exchange->finished;
                                  }) &&
                      std::all_of(reads_.begin(), reads_.end(), [](const auto& weak) {
                        const auto read = weak.lock();
                        return read == nullptr || read->exchange.finished;
                      });
    if (!idle) return drain_timer_.Arm(kRetryDelay, [this] { CheckDrained(); });
    const auto done = std::move(drained_);
    if (done) done();
  }

  Environment& environment_;
  ControlClient& control_;
  ConfigurationClient& configuration_;
  std::vector<std::weak_ptr<Exchange>> exchanges_;
  std::vector<std::weak_ptr<PendingRead>> reads_;
  bool draining_ = false;
  std::function<void()> drained_;
  ScopedTimer drain_timer_;
  AliveFlag alive_;
};

}  // namespace

std::unique_ptr<TrainerService> MakeTrainerService(Environment& environment, ControlClient& control,
                                                   ConfigurationClient& configuration) {
  return std::make_unique<TrainerServiceNode>(environment, control, configuration);
}

}  // namespace millstair
