#include "rollout/rollout_worker.h"

#include <algorithm>
#include <map>

#include "common/event_log.h"
#include "rollout/attempt_run.h"
#include "rollout/stream_commands.h"

namespace millstair {
namespace {

/// Delay of a work request after an attempt has ended, so that ends close together share a request.
constexpr Duration kRequestDelay = std::chrono::milliseconds(20);
/// After this long without a reply, requests go to another control node.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(1500);
/// A drain completes after this long even if attempts are still running.
constexpr Duration kDrainTimeout = std::chrono::seconds(20);
/// Bound on the attempts of a stream; replies that cross requests may grant more than the free
/// slots reported.
constexpr uint32_t kMaxRunningPerStream = 4096;

/// Attempts of one stream on this gateway. Owned by the worker.
class StreamWork {
 public:
  StreamWork(RolloutContext& context, PeerTransport& transport, StreamName stream,
             std::function<NodeId()> control_node, std::function<uint32_t()> free_slots,
             std::function<void()> on_reply_timeout)
      : context_(context),
        transport_(transport),
        stream_(std::move(stream)),
        control_node_(std::move(control_node)),
        free_slots_(std::move(free_slots)),
        on_reply_timeout_(std::move(on_reply_timeout)),
        timer_(context.environment),
        reap_timer_(context.environment) {
    RequestWork();
  }

  void Receive(const WorkReply& reply) {
    answered_ = std::max(answered_, reply.answered);
    std::erase_if(returned_, [&](const auto& returned) {
      return returned.second.sent != 0 && returned.second.sent <= reply.answered;
    });
    for (const WorkReply::Cancelled& cancelled : reply.cancelled) CancelAttempt(cancelled);
    for (const Attempt& attempt : reply.attempts) StartAttempt(attempt);
  }

  void BeginDrain() {
    draining_ = true;
    for (auto& [sample, run] : runs_) run->Stop();
    RequestWorkSoon();
  }

  bool Idle() const { return runs_.empty() && returned_.empty(); }
  uint32_t running() const { return static_cast<uint32_t>(runs_.size()); }

 private:
  struct PendingReturn {
    WorkRequest::Returned returned;
    /// Sequence number of the last request that included it; 0 if none.
    uint64_t sent = 0;
  };

  void StartAttempt(const Attempt& attempt) {
    const SampleId sample = attempt.prompt.sample;
    if (draining_ || runs_.size() >= kMaxRunningPerStream) return DeclineAttempt(attempt);
    const auto found = runs_.find(sample);
    // Duplicate reply, or an older attempt than the running one.
    if (found != runs_.end() && found->second->attempt().epoch >= attempt.epoch) return;
    if (returned_.contains({sample, attempt.epoch})) return;
    ++context_.counts.attempts_started;
    const AttemptEpoch epoch = attempt.epoch;
    auto run = std::make_unique<AttemptRun>(
        context_, stream_, attempt,
        [this, sample, epoch](AttemptEnd end) { OnEnded(sample, epoch, end); });
    AttemptRun& started = *run;
    runs_[sample] = std::move(run);
    started.Start();
  }

  void DeclineAttempt(const Attempt& attempt) {
    ReturnAttempt({attempt.prompt.sample, attempt.epoch, attempt.resume_tokens,
                   attempt.resume_spans, attempt.kv_source});
    RequestWorkSoon();
  }

  void CancelAttempt(const WorkReply::Cancelled& cancelled) {
    const auto found = runs_.find(cancelled.sample);
    if (found == runs_.end() || found->second->attempt().epoch > cancelled.epoch) return;
    ++context_.counts.attempts_cancelled;
    runs_.erase(found);
    RequestWorkSoon();
  }

  void OnEnded(const SampleId& sample, AttemptEpoch epoch, AttemptEnd end) {
    const auto found = runs_.find(sample);
    if (found == runs_.end() || found->second->attempt().epoch != epoch) return;
    const AttemptRun& run = *found->second;
    if (end == AttemptEnd::kReturned) {
      ReturnAttempt(
          {sample, epoch, run.collected().tokens(), run.collected().spans(), run.kv_source()});
    } else if (end == AttemptEnd::kRestart) {
      ReturnAttempt({sample, epoch, {}, {}, ""});
    }
    // Called from a timer of the run: destroy the run after the callback has returned.
    ended_.push_back(std::move(found->second));
    runs_.erase(found);
    reap_timer_.Arm(Duration(0), [this] { ended_.clear(); });
    RequestWorkSoon();
  }

  void ReturnAttempt(WorkRequest::Returned returned) {
    ++context_.counts.attempts_returned;
    const std::pair key{returned.sample, returned.epoch};
    returned_[key] = {std::move(returned), 0};
  }

  void RequestWorkSoon() {
    if (request_scheduled_) return;
    request_scheduled_ = true;
    timer_.Arm(kRequestDelay, [this] { RequestWork(); });
  }

  void RequestWork() {
    request_scheduled_ = false;
    const TimePoint now = context_.environment.Now();
    if (answered_ < sequence_ && now - unanswered_since_ >= kReplyTimeout) {
      on_reply_timeout_();
      unanswered_since_ = now;
    } else if (answered_ >= sequence_) {
      unanswered_since_ = now;
    }
    WorkRequest request;
    request.stream = stream_;
    request.gateway = context_.options.self;
    request.free_slots = draining_ || !context_.configuration.LeaseValid() ? 0 : free_slots_();
    request.sequence = ++sequence_;
    for (const auto& [sample, run] : runs_) {
      request.running.push_back({sample, run->attempt().epoch, run->collected().token_count(),
                                 OldestVersionOf(run->collected().spans())});
    }
    for (auto& [key, pending] : returned_) {
      pending.sent = sequence_;
      request.returned.push_back(pending.returned);
    }
    const bool busy = !runs_.empty() || !returned_.empty();
    transport_.Send(control_node_(), {MessageKind::kWorkRequest, EncodeWorkRequest(request)});
    timer_.Arm(
        busy && request.free_slots > 0 ? context_.options.work_poll : context_.options.idle_poll,
        [this] { RequestWork(); });
  }

  RolloutContext& context_;
  PeerTransport& transport_;
  StreamName stream_;
  std::function<NodeId()> control_node_;
  std::function<uint32_t()> free_slots_;
  std::function<void()> on_reply_timeout_;
  std::map<SampleId, std::unique_ptr<AttemptRun>> runs_;
  std::map<std::pair<SampleId, AttemptEpoch>, PendingReturn> returned_;
  std::vector<std::unique_ptr<AttemptRun>> ended_;
  uint64_t sequence_ = 0;
  uint64_t answered_ = 0;
  TimePoint unanswered_since_;
  bool request_scheduled_ = false;
  bool draining_ = false;
  ScopedTimer timer_;
  ScopedTimer reap_timer_;
};

class RolloutWorkerNode : public RolloutWorker {
 public:
  RolloutWorkerNode(Environment& environment, PeerTransport& transport, EngineClient& engines,
                    HttpCaller& http, EnginePlacement& placement, ControlClient& control,
                    ConfigurationClient& configuration, RolloutWorkerOptions options)
      : context_{environment, engines, http, placement, control, configuration, options, {}},
        transport_(transport),
        drain_timer_(environment) {
    std::stable_partition(context_.options.control_nodes.begin(),
                          context_.options.control_nodes.end(),
                          [&](const ControlEndpoint& node) { return node.zone == options.zone; });
  }

  void Start() override {
    context_.configuration.OnChange(
        alive_.Guard([this](const ConfigurationDelta&) { UpdateStreams(); }));
    UpdateStreams();
  }

  void Receive(const NodeId&, const PeerMessage& message) override {
    const absl::StatusOr<WorkReply> reply = DecodeWorkReply(message.payload);
    if (!reply.ok()) return;
    const auto found = streams_.find(reply->stream);
    if (found != streams_.end()) found->second->Receive(*reply);
  }

  void Drain(std::function<void()> done) override {
    draining_ = true;
    drained_ = std::move(done);
    drain_started_at_ = context_.environment.Now();
    for (auto& [stream, work] : streams_) work->BeginDrain();
    CheckDrained();
  }

  const RolloutCounts& counts() const override { return context_.counts; }

  uint32_t running() const override {
    uint32_t count = 0;
    for (const auto& [stream, work] : streams_) count += work->running();
    return count;
  }

 private:
  void UpdateStreams() {
    const Configuration& configuration = context_.configuration.configuration();
    std::erase_if(streams_, [&](const auto& work) {
      return !configuration.resources.contains({ResourceKind::kStream, work.first.value()});
    });
    if (draining_) return;
    for (const auto& [key, resource] : configuration.resources) {
      const auto* spec = std::get_if<StreamSpec>(&resource.spec);
      if (spec == nullptr) continue;
      const StreamName stream(resource.name);
      if (streams_.contains(stream)) continue;
      streams_[stream] = std::make_unique<StreamWork>(
          context_, transport_, stream, [this] { return ControlNode(); },
          [this, stream] { return FreeSlots(stream); }, [this] { ++control_index_; });
    }
  }

  NodeId ControlNode() const {
    const std::vector<ControlEndpoint>& nodes = context_.options.control_nodes;
    return nodes.empty() ? NodeId() : nodes[control_index_ % nodes.size()].node;
  }

  /// Free slots for `stream`: its share of the capacity of the pool, so that two streams do not
  /// claim the same slots. The remainder goes to the first streams by name.
  uint32_t FreeSlots(const StreamName& stream) const {
    const Configuration& configuration = context_.configuration.configuration();
    const auto* spec = configuration.FindSpec<StreamSpec>(ResourceKind::kStream, stream.value());
    if (spec == nullptr) return 0;
    uint32_t stream_count = 0;
    uint32_t position = 0;
    for (const auto& [other, work] : streams_) {
      const auto* other_spec =
          configuration.FindSpec<StreamSpec>(ResourceKind::kStream, other.value());
      if (other_spec == nullptr || other_spec->pool != spec->pool) continue;
      if (other < stream) ++position;
      ++stream_count;
    }
    const uint32_t free_slots =
        context_.placement.RolloutCapacity({ResourceKind::kPool, spec->pool});
    stream_count = std::max(stream_count, 1U);
    return free_slots / stream_count + (position < free_slots % stream_count ? 1 : 0);
  }

  void CheckDrained() {
    const bool idle = std::all_of(streams_.begin(), streams_.end(),
                                  [](const auto& work) { return work.second->Idle(); });
    if (!idle && context_.environment.Now() - drain_started_at_ < kDrainTimeout) {
      drain_timer_.Arm(std::chrono::milliseconds(50), [this] { CheckDrained(); });
      return;
    }
    const auto done = std::move(drained_);
    if (done) done();
  }

  RolloutContext context_;
  PeerTransport& transport_;
  std::map<StreamName, std::unique_ptr<StreamWork>> streams_;
  size_t control_index_ = 0;
  bool draining_ = false;
  TimePoint drain_started_at_;
  std::function<void()> drained_;
  ScopedTimer drain_timer_;
  AliveFlag alive_;
};

}  // namespace

std::unique_ptr<RolloutWorker> MakeRolloutWorker(Environment& environment, PeerTransport& transport,
                                                 EngineClient& engines, HttpCaller& http,
                                                 EnginePlacement& placement, ControlClient& control,
                                                 ConfigurationClient& configuration,
                                                 RolloutWorkerOptions options) {
  return std::make_unique<RolloutWorkerNode>(environment, transport, engines, http, placement,
                                             control, configuration, std::move(options));
}

}  // namespace millstair
