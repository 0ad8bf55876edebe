#include "simulator/clients/trainer.h"

#include <algorithm>
#include <utility>

#include "common/random.h"
#include "fmt/format.h"
#include "simulator/clients/span_json.h"

namespace millstair::simulator {
namespace {

constexpr Duration kRequestTimeout = std::chrono::seconds(15);
constexpr Duration kRetryDelay = std::chrono::milliseconds(500);
constexpr int kReadWaitSeconds = 2;
constexpr int kReadMaxSamples = 64;
constexpr int kPrefixWords = 64;
/// Share of reads whose response is discarded and read again.
constexpr double kRereadShare = 0.05;
constexpr int kOk = 200;

uint64_t StepNumberOf(const SampleId& sample) {
  // Sample ids are "step-<number>/<index>".
  constexpr size_t kNumberAt = 5;
  return std::strtoull(sample.value().c_str() + kNumberAt, nullptr, 10);
}

checks::ReceivedSample ReadSample(const boost::json::object& json) {
  checks::ReceivedSample sample;
  sample.offset = StreamOffset(NumberIn(json, "offset"));
  const boost::json::value* withdrawn = json.if_contains("withdrawn");
  sample.withdrawn = withdrawn != nullptr && withdrawn->is_bool() && withdrawn->as_bool();
  sample.sample = SampleId(TextIn(json, "sample"));
  sample.step = StepId(TextIn(json, "step"));
  sample.text = TextIn(json, "text");
  sample.token_count = static_cast<uint32_t>(NumberIn(json, "token_count"));
  const boost::json::value* score = json.if_contains("score");
  if (score != nullptr && score->is_number()) sample.score = score->to_number<double>();
  sample.spans = ReadSpans(json.if_contains("spans"));
  return sample;
}

}  // namespace

Trainer::Trainer(RunContext& context, Platform& platform, const DeploymentPlan& plan,
                 const StreamPlan& stream, const TrainerLoad& load, PromptRegistry& prompts)
    : context_(context),
      platform_(platform),
      plan_(plan),
      stream_(stream),
      load_(load),
      prompts_(prompts),
      random_(context.DrawSeed()),
      client_(context, context.network.AddHost("trainer-" + stream.name.value(), plan.zones[0])) {
  context_.history.streams.push_back({stream.name, stream.model, stream.staleness_bound});
}

void Trainer::Start(Duration until) {
  until_ = until;
  running_ = true;
  waiting_since_ = context_.Now();
  if (stream_.publishes) {
    Publish(WeightVersion(1));
    return;
  }
  WaitForStep();
}

void Trainer::TakeDown() {
  if (!running_) return;
  running_ = false;
  ++incarnation_;
  client_.CancelAll();
}

void Trainer::BringUp() {
  if (running_) return;
  running_ = true;
  // Unacknowledged steps are resent in every state: nothing else would resend a step that was
  // submitted ahead and lost while the trainer was training or publishing.
  for (const auto& [number, step] : steps_) {
    if (!step.acknowledged) SendStep(number);
  }
  if (training_) {
    OnTrained();
    return;
  }
  if (published_ < publishing_) {
    SendPublish();
    return;
  }
  WaitForStep();
}

void Trainer::After(Duration delay, std::function<void()> action) {
  context_.scheduler.Schedule(delay,
                              [this, incarnation = incarnation_, action = std::move(action)] {
                                if (incarnation == incarnation_ && running_) action();
                              });
}

const std::string& Trainer::DrawGateway() {
  return plan_.gateways[DrawBelow(random_, plan_.gateways.size())].http_address;
}

void Trainer::Publish(WeightVersion version) {
  const WeightDigest digest = DigestOf(stream_.model, version);
  platform_.store().Put(LocationOf(stream_.model, version), digest, plan_.version_bytes);
  context_.history.publishes.push_back(
      {stream_.model, version, digest, context_.Now(), std::nullopt});
  context_.history.demands.push_back(
      {fmt::format("publishing version {}", version.value()), context_.Now(), std::nullopt});
  publishing_ = version;
  publish_record_ = context_.history.publishes.size() - 1;
  publish_demand_ = context_.history.demands.size() - 1;
  SendPublish();
}

void Trainer::SendPublish() {
  const WeightVersion version = publishing_;
  HttpRequest request{
      "PUT",
      fmt::format("/v1/models/{}/versions/{}", stream_.model.value(), version.value()),
      {{"Content-Type", "application/json"}},
      boost::json::serialize(
          boost::json::object{{"digest", DigestOf(stream_.model, version).value()},
                              {"location", LocationOf(stream_.model, version)}})};
  client_.Send(DrawGateway(), std::move(request), kRequestTimeout,
               [this](const CompleteAnswer& answer) {
                 if (answer.end != AnswerEnd::kComplete || answer.status != kOk) {
                   After(kRetryDelay, [this] { SendPublish(); });
                   return;
                 }
                 const Duration now = context_.Now();
                 context_.history.publishes[publish_record_].acknowledged = now;
                 context_.history.demands[publish_demand_].done = now;
                 published_ = publishing_;
                 WaitForStep();
               });
}

void Trainer::PutStepsAhead() {
  while (next_put_ <= current_ + load_.steps_ahead) PutStep(next_put_++);
}

void Trainer::PutStep(uint64_t number) {
  checks::StepPut put;
  put.stream = stream_.name;
  put.step = StepId(fmt::format("step-{}", number));
  put.sent = context_.Now();
  Step& step = steps_[number];
  for (uint32_t i = 0; i < load_.prompts_per_step; ++i) {
    const uint32_t prefix = i / std::max(load_.prompts_per_prefix, 1U);
    std::string text;
    for (int word = 0; word < kPrefixWords; ++word) {
      text += fmt::format("{}p{}w{} ", stream_.name.value().front(), prefix, word);
    }
    text += fmt::format("{} step {} sample {}", stream_.name.value(), number, i);
    prompts_.Add(text);
    const SampleId sample(fmt::format("{}/{}", put.step.value(), i));
    step.missing.insert(sample);
    put.prompts.push_back({sample, std::move(text), load_.max_tokens});
  }
  step.put_record = context_.history.steps.size();
  context_.history.steps.push_back(std::move(put));
  SendStep(number);
}

void Trainer::SendStep(uint64_t number) {
  const auto found = steps_.find(number);
  if (found == steps_.end()) return;
  const checks::StepPut& put = context_.history.steps[found->second.put_record];
  boost::json::array prompts;
  for (const checks::StepPut::Prompt& prompt : put.prompts) {
    prompts.push_back(
        boost::json::object{{"text", prompt.text}, {"max_tokens", prompt.max_tokens}});
  }
  HttpRequest request{
      "PUT",
      fmt::format("/v1/streams/{}/steps/{}", stream_.name.value(), put.step.value()),
      {{"Content-Type", "application/json"}},
      boost::json::serialize(boost::json::object{{"prompts", std::move(prompts)}})};
  client_.Send(DrawGateway(), std::move(request), kRequestTimeout,
               [this, number](const CompleteAnswer& answer) {
                 const auto step = steps_.find(number);
                 if (step == steps_.end()) return;
                 if (answer.end != AnswerEnd::kComplete || answer.status != kOk) {
                   After(kRetryDelay, [this, number] { SendStep(number); });
                   return;
                 }
                 step->second.acknowledged = true;
                 checks::StepPut& record = context_.history.steps[step->second.put_record];
                 if (!record.acknowledged) record.acknowledged = context_.Now();
               });
}

void Trainer::WaitForStep() {
  if (context_.Now() >= until_) return;
  PutStepsAhead();
  Step& step = steps_.at(current_);
  if (!step.demand) {
    waiting_since_ = context_.Now();
    step.demand = context_.history.demands.size();
    context_.history.demands.push_back(
        {fmt::format("step {} of {}", current_, stream_.name.value()), context_.Now(),
         std::nullopt});
  }
  if (step.missing.empty()) {
    OnStepComplete();
    return;
  }
  Read();
}

void Trainer::Read() {
  HttpRequest request{
      "GET",
      fmt::format("/v1/streams/{}/samples?after={}&max={}&wait={}", stream_.name.value(),
                  cursor_.value(), kReadMaxSamples, kReadWaitSeconds),
      {},
      ""};
  client_.Send(
      DrawGateway(), std::move(request), kRequestTimeout,
      [this, sent = context_.Now()](const CompleteAnswer& answer) { HandleAnswer(answer, sent); });
}

void Trainer::HandleAnswer(const CompleteAnswer& answer, Duration sent) {
  boost::json::error_code error;
  boost::json::value value;
  if (answer.end == AnswerEnd::kComplete && answer.status == kOk) {
    value = boost::json::parse(answer.body, error);
  }
  if (error || !value.is_object()) {
    After(kRetryDelay, [this] { Read(); });
    return;
  }
  HandleSamples(value.as_object(), sent);
  if (steps_.at(current_).missing.empty()) {
    OnStepComplete();
    return;
  }
  // The delay lets virtual time advance even if a faulty fleet returns empty responses at once.
  After(std::chrono::milliseconds(1), [this] { Read(); });
}

void Trainer::HandleSamples(const boost::json::object& answer, Duration sent) {
  checks::CursorRead read{stream_.name, cursor_, StreamOffset(NumberIn(answer, "next")),
                          {},           sent,    context_.Now()};
  const boost::json::value* samples = answer.if_contains("samples");
  if (samples != nullptr && samples->is_array()) {
    for (const boost::json::value& sample : samples->as_array()) {
      if (sample.is_object()) read.samples.push_back(ReadSample(sample.as_object()));
    }
  }
  context_.history.reads.push_back(read);
  // Simulates a response lost between receipt and use; it is read again at the same cursor.
  if (DrawChance(random_, kRereadShare)) return;
  for (const checks::ReceivedSample& sample : read.samples) HandleSample(sample);
  cursor_ = std::max(cursor_, read.next);
}

void Trainer::HandleSample(const checks::ReceivedSample& sample) {
  const auto step = steps_.find(StepNumberOf(sample.sample));
  if (sample.withdrawn) {
    ++record_.withdrawn;
    if (received_.erase(sample.offset) > 0 && step != steps_.end()) {
      step->second.missing.insert(sample.sample);
    }
    return;
  }
  received_[sample.offset] = sample.sample;
  if (step != steps_.end()) step->second.missing.erase(sample.sample);
  if (!seen_.insert(sample.sample).second) return;
  WeightVersion newest;
  for (const checks::VersionPublish& publish : context_.history.publishes) {
    if (publish.acknowledged) newest = std::max(newest, publish.version);
  }
  WeightVersion oldest = newest;
  for (const checks::ClaimedSpan& span : sample.spans) oldest = std::min(oldest, span.version);
  record_.staleness.push_back(newest.value() - oldest.value());
}

void Trainer::OnStepComplete() {
  const Duration now = context_.Now();
  Step& step = steps_.at(current_);
  context_.history.steps[step.put_record].completed = now;
  context_.history.demands[*step.demand].done = now;
  const Duration waited = now - waiting_since_;
  record_.waited += waited;
  ++record_.steps_completed;
  record_.steps_in_time += waited <= load_.in_time ? 1 : 0;
  record_.worked += load_.training_time;
  training_ = true;
  After(load_.training_time, [this] { OnTrained(); });
}

void Trainer::OnTrained() {
  training_ = false;
  steps_.erase(current_);
  ++current_;
  if (stream_.publishes) {
    Publish(WeightVersion(current_));
    return;
  }
  WaitForStep();
}

}  // namespace millstair::simulator
