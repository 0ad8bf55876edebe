#include "rollout/stream_leader.h"

#include <algorithm>

#include "common/event_log.h"

namespace millstair {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(250);
/// State of a gateway that has sent no request for this long is dropped.
constexpr Duration kRequesterExpiry = std::chrono::seconds(30);
constexpr size_t kMaxHeldQueries = 256;
constexpr std::chrono::milliseconds kMaxQueryWait{1000};
/// A trainer counts as waiting for this long after a query that had to wait.
constexpr Duration kTrainerWaitWindow = std::chrono::milliseconds(1500);

uint32_t StreamsOfPool(const Configuration& configuration, const std::string& pool) {
  uint32_t count = 0;
  for (const auto& [key, resource] : configuration.resources) {
    const auto* spec = std::get_if<StreamSpec>(&resource.spec);
    if (spec != nullptr && spec->pool == pool) ++count;
  }
  return std::max(count, 1U);
}

}  // namespace

StreamLeaderNode::StreamLeaderNode(Environment& environment, PeerTransport& transport,
                                   RaftGroup& group, StreamState& state,
                                   StreamLeaderOptions options)
    : environment_(environment),
      transport_(transport),
      group_(group),
      state_(state),
      options_(options),
      stream_(StreamOfGroup(group.id())),
      attempts_(options.attempts),
      tick_timer_(environment),
      flush_timer_(environment),
      query_timer_(environment) {
  state_.SetListener(this);
  RebuildSchedule();
  Tick();
}

StreamLeaderNode::~StreamLeaderNode() {
  state_.SetListener(nullptr);
  AnswerQueries(true);
}

// --- configuration and leadership --------------------------------------------------------------

void StreamLeaderNode::OnChange(const Configuration& configuration) {
  const auto* stream = configuration.FindSpec<StreamSpec>(ResourceKind::kStream, stream_.value());
  const PoolSpec* pool = stream == nullptr
                             ? nullptr
                             : configuration.FindSpec<PoolSpec>(ResourceKind::kPool, stream->pool);
  if (pool == nullptr) {
    settings_.reset();
  } else {
    Settings settings;
    settings.stream = *stream;
    settings.max_in_flight =
        std::max(pool->max_in_flight / StreamsOfPool(configuration, stream->pool), 1U);
    if (const auto model = configuration.models.find(pool->model);
        model != configuration.models.end()) {
      settings.published = model->second.published;
      settings.active = model->second.active;
    }
    for (const auto& [node, record] : configuration.nodes) {
      if (record.state == MemberState::kGone) settings.gone_gateways[node] = true;
    }
    settings_ = std::move(settings);
  }
  UpdateLeadership();
  if (!Leads() || !settings_) return;
  if (settings_->active != active_) {
    active_ = settings_->active;
    active_since_ = environment_.Now();
    restarted_for_active_ = false;
  }
  SyncWithConfiguration();
  ScheduleFlush();
}

void StreamLeaderNode::UpdateLeadership() {
  const bool leads = group_.IsLeader();
  if (leads && (!leading_ || led_term_ != group_.CurrentTerm())) {
    leader_since_ = environment_.Now();
    led_term_ = group_.CurrentTerm();
    last_epoch_ = 0;
    attempts_.Clear();
    requesters_.clear();
    RebuildSchedule();
    LogEvent(EventId::kStreamLed, "stream={} term={}", stream_, led_term_);
  }
  if (!leads && leading_) {
    attempts_.Clear();
    requesters_.clear();
    AnswerQueries(true);
  }
  leading_ = leads;
}

void StreamLeaderNode::Tick() {
  tick_timer_.Arm(kTickInterval, [this] { Tick(); });
  UpdateLeadership();
  if (!Leads() || !settings_) return;
  SyncWithConfiguration();
  const TimePoint now = environment_.Now();
  std::map<NodeId, AttemptTable::GatewayLiveness> gateways;
  for (const auto& [node, requester] : requesters_)
    gateways[node].last_seen_at = requester.requested_at;
  for (const auto& [node, gone] : settings_->gone_gateways) gateways[node].gone = gone;
  for (const SampleKey& key : attempts_.DropLost(now, gateways)) {
    if (!state_.IsOpen(key)) continue;
    LogEvent(EventId::kAttemptLost, "stream={} sample={}", stream_, state_.PromptOf(key).sample);
    Enqueue(key, true);
  }
  std::erase_if(requesters_, [&](const auto& requester) {
    return now - requester.second.requested_at > kRequesterExpiry;
  });
  StopStaleAttempts();
  RestartEarlyAttempts();
  ScheduleFlush();
}

void StreamLeaderNode::RebuildSchedule() {
  schedule_.Clear();
  for (const SampleKey& key : state_.data().open) {
    if (!attempts_.Running(key)) Enqueue(key, false);
  }
}

void StreamLeaderNode::SyncWithConfiguration() {
  if (syncing_) return;
  const std::optional<StreamCommand> command = NextSyncCommand();
  if (!command) return;
  syncing_ = true;
  group_.Propose(EncodeStreamCommand(*command),
                 alive_.Guard([this](const absl::StatusOr<std::string>& result) {
                   syncing_ = false;
                   // The next command follows at once; a failed one is retried at the next tick.
                   if (result.ok() && Leads()) SyncWithConfiguration();
                 }));
}

std::optional<StreamCommand> StreamLeaderNode::NextSyncCommand() const {
  if (!settings_) return std::nullopt;
  const StreamData& data = state_.data();
  if (data.staleness_bound != settings_->stream.staleness_bound) {
    return StreamCommand(SetStalenessBound{settings_->stream.staleness_bound});
  }
  const uint64_t retained = std::max(data.staleness_bound, kMinRetainedVersions);
  for (const PublishedVersion& version : settings_->published) {
    if (version.version.value() + retained < data.newest.value()) continue;
    if (data.published.contains(version.version)) continue;
    return StreamCommand(RecordPublishedVersion{version.version, version.digest});
  }
  return std::nullopt;
}

// --- changes of the state ----------------------------------------------------------------------

void StreamLeaderNode::OnSampleOpened(const SampleKey& key) {
  Enqueue(key, false);
  if (Leads()) ScheduleFlush();
}

void StreamLeaderNode::OnSampleClosed(const SampleKey& key) {
  schedule_.Remove(key);
  const auto found = attempts_.attempts().find(key);
  if (found != attempts_.attempts().end()) {
    // Stop the other attempts at this sample.
    const SampleId sample = state_.PromptOf(key).sample;
    for (const LeasedAttempt& attempt : found->second) {
      const auto requester = requesters_.find(attempt.gateway);
      if (requester != requesters_.end())
        requester->second.cancelled.push_back({sample, attempt.epoch});
    }
  }
  attempts_.Forget(key);
}

void StreamLeaderNode::OnSampleAccepted(const SampleKey& key, const Sample& sample) {
  const Prompt prompt = state_.PromptOf(key);
  lengths_.RecordLength(prompt.text, prompt.max_tokens, sample.token_count);
  // The gateway that appended the sample does not need to be notified.
  attempts_.End(key, sample.epoch);
}

void StreamLeaderNode::OnProgress() {
  schedule_.OnVersionPublished(environment_.Now(), state_.data().newest);
  if (!queries_.empty()) query_timer_.Arm(Duration(0), [this] { AnswerQueries(false); });
}

void StreamLeaderNode::OnSnapshotRestored() {
  attempts_.Clear();
  RebuildSchedule();
  OnProgress();
}

// --- queries -----------------------------------------------------------------------------------

bool StreamLeaderNode::HasReadable(StreamOffset after) const {
  return state_.data().last_offset > after || state_.data().acknowledged < after;
}

bool StreamLeaderNode::IsTrainerWaiting() const {
  return trainer_waited_at_ && environment_.Now() - *trainer_waited_at_ <= kTrainerWaitWindow;
}

std::string StreamLeaderNode::Status() const {
  const StreamData& data = state_.data();
  return EncodeCursorStatus(
      {data.acknowledged, data.last_offset, data.newest, static_cast<uint32_t>(data.open.size())});
}

void StreamLeaderNode::Query(const std::string& query,
                             std::function<void(absl::StatusOr<std::string>)> done) {
  const absl::StatusOr<CursorQuery> decoded = DecodeCursorQuery(query);
  if (!decoded.ok()) return done(decoded.status());
  const bool hold = decoded->wait.count() > 0 && !HasReadable(decoded->after);
  if (hold) {
    trainer_waited_at_ = environment_.Now();
    ScheduleFlush();
  }
  if (!hold || queries_.size() >= kMaxHeldQueries) return done(Status());
  const TimePoint until = environment_.Now() + std::min(decoded->wait, kMaxQueryWait);
  queries_.push_back({decoded->after, until, std::move(done)});
  query_timer_.Arm(Duration(0), [this] { AnswerQueries(false); });
}

void StreamLeaderNode::AnswerQueries(bool all) {
  const TimePoint now = environment_.Now();
  std::vector<HeldQuery> due;
  std::optional<TimePoint> next;
  for (size_t i = 0; i < queries_.size();) {
    if (all || queries_[i].until <= now || HasReadable(queries_[i].after)) {
      due.push_back(std::move(queries_[i]));
      queries_.erase(queries_.begin() + static_cast<std::ptrdiff_t>(i));
    } else {
      next = next ? std::min(*next, queries_[i].until) : queries_[i].until;
      ++i;
    }
  }
  if (next) query_timer_.Arm(*next - now, [this] { AnswerQueries(false); });
  if (!queries_.empty()) trainer_waited_at_ = now;
  const std::string status = Status();
  for (HeldQuery& query : due) query.done(status);
}

// --- factory -----------------------------------------------------------------------------------

namespace {

class StreamFactoryNode : public StreamFactory {
 public:
  StreamFactoryNode(Environment& environment, PeerTransport& transport, StreamLeaderOptions options,
                    StreamFaults faults)
      : environment_(environment), transport_(transport), options_(options), faults_(faults) {}

  std::unique_ptr<StateMachine> MakeStateMachine(const GroupId& group) override {
    if (StreamOfGroup(group).value().empty()) return nullptr;
    return std::make_unique<StreamState>(faults_);
  }

  std::unique_ptr<StreamLeader> MakeLeader(RaftGroup& group, StateMachine& state) override {
    return std::make_unique<StreamLeaderNode>(environment_, transport_, group,
                                              dynamic_cast<StreamState&>(state), options_);
  }

 private:
  Environment& environment_;
  PeerTransport& transport_;
  StreamLeaderOptions options_;
  StreamFaults faults_;
};

}  // namespace

std::unique_ptr<StreamFactory> MakeStreamFactory(Environment& environment, PeerTransport& transport,
                                                 StreamLeaderOptions options, StreamFaults faults) {
  return std::make_unique<StreamFactoryNode>(environment, transport, options, faults);
}

}  // namespace millstair
