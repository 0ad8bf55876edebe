#include "bench/demo/trainer.h"

#include <algorithm>

#include "bench/load/completion_stream.h"
#include "boost/json.hpp"
#include "fmt/format.h"

namespace millstair {
namespace {

namespace json = boost::json;

constexpr int kOk = 200;
constexpr Duration kPutTimeout = std::chrono::seconds(5);
constexpr Duration kReadTimeout = std::chrono::seconds(6);
constexpr int kReadWaitSeconds = 2;
constexpr int kReadMax = 16;
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
/// Steps in flight, so that the next one is generated while the trainer computes.
constexpr size_t kStepsAhead = 2;
/// Every n-th read leaves the cursor unchanged, to test repeated delivery.
constexpr uint64_t kRereadInterval = 5;
constexpr int kSharedWords = 32;

std::string StepPrompt(uint64_t step, uint64_t index) {
  std::string prompt;
  for (int word = 0; word < kSharedWords; ++word) {
    prompt += fmt::format("group{}w{} ", index / 8, word);
  }
  return prompt + fmt::format("step{}sample{}", step, index);
}

uint64_t Number(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_number()) return 0;
  json::error_code error;
  const auto number = value->to_number<uint64_t>(error);
  return error ? 0 : number;
}

std::string Text(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

checks::ReceivedSample SampleOf(const json::object& object) {
  checks::ReceivedSample sample;
  sample.offset = StreamOffset(Number(object, "offset"));
  const json::value* withdrawn = object.if_contains("withdrawn");
  sample.withdrawn = withdrawn != nullptr && withdrawn->is_bool() && withdrawn->get_bool();
  sample.sample = SampleId(Text(object, "sample"));
  sample.step = StepId(Text(object, "step"));
  sample.text = Text(object, "text");
  sample.token_count = static_cast<uint32_t>(Number(object, "token_count"));
  if (const json::value* score = object.if_contains("score");
      score != nullptr && score->is_number()) {
    sample.score = score->to_number<double>();
  }
  if (const json::value* spans = object.if_contains("spans");
      spans != nullptr && spans->is_array()) {
    AppendSpans(spans->get_array(), sample.spans);
  }
  return sample;
}

/// Parses a response body into `read`; false if it is malformed.
bool ParseRead(const std::string& body, checks::CursorRead& read) {
  json::error_code error;
  const json::value page = json::parse(body, error);
  if (error || !page.is_object()) return false;
  const json::value* samples = page.get_object().if_contains("samples");
  if (samples == nullptr || !samples->is_array()) return false;
  for (const json::value& item : samples->get_array()) {
    if (item.is_object()) read.samples.push_back(SampleOf(item.get_object()));
  }
  read.next = StreamOffset(Number(page.get_object(), "next"));
  return true;
}

}  // namespace

bool Trainer::PublishInitialVersion(Duration limit) { return Publish(limit); }

bool Trainer::Publish(Duration limit) {
  ++version_;
  const FleetFile& fleet = run_.fleet();
  const std::string location = fmt::format("{}-v{}", fleet.model, version_);
  const std::string digest = "sha-" + location;
  size_t index = 0;
  run_.Record([&](checks::History& history) {
    index = history.publishes.size();
    history.publishes.push_back({ModelName(fleet.model), WeightVersion(version_),
                                 WeightDigest(digest), run_.clock().Now(), std::nullopt});
  });
  const std::string body =
      json::serialize(json::object{{"digest", digest}, {"location", location}});
  const std::string target = fmt::format("/v1/models/{}/versions/{}", fleet.model, version_);
  const Duration deadline = run_.clock().Now() + limit;
  do {
    const BlockingReply reply =
        CallJson(run_, run_.PickGateway().address, "PUT", target, body, kPutTimeout);
    if (reply.complete() && reply.status == kOk) {
      run_.Record([&](checks::History& history) {
        history.publishes[index].acknowledged = run_.clock().Now();
      });
      ++report_.versions;
      return true;
    }
    run_.clock().SleepUntil(run_.clock().Now() + kRetryDelay);
  } while (run_.clock().Now() < deadline);
  return false;
}

bool Trainer::PutStep() {
  const FleetFile& fleet = run_.fleet();
  OpenStep open;
  open.id = fmt::format("step-{}", next_step_);
  checks::StepPut put;
  put.stream = StreamName(fleet.stream);
  put.step = StepId(open.id);
  json::array prompts;
  for (uint64_t i = 0; i < fleet.samples_per_step; ++i) {
    const std::string sample = fmt::format("{}/{}", open.id, i);
    const std::string text = StepPrompt(next_step_, i);
    put.prompts.push_back({SampleId(sample), text, static_cast<uint32_t>(fleet.max_tokens)});
    prompts.push_back(json::object{{"text", text}, {"max_tokens", fleet.max_tokens}});
    open.missing.insert(sample);
  }
  put.sent = run_.clock().Now();
  run_.Record([&](checks::History& history) {
    open.step_index = history.steps.size();
    open.demand_index = history.demands.size();
    history.steps.push_back(put);
    history.demands.push_back({"step " + open.id, put.sent, std::nullopt});
  });
  ++next_step_;
  const std::string body = json::serialize(json::object{{"prompts", std::move(prompts)}});
  const std::string target = fmt::format("/v1/streams/{}/steps/{}", fleet.stream, open.id);
  // Retries with the same id are idempotent: the step is created once even if a response is lost.
  while (true) {
    const BlockingReply reply =
        CallJson(run_, run_.PickGateway().address, "PUT", target, body, kPutTimeout);
    if (reply.complete() && reply.status == kOk) break;
    if (run_.stopping()) {
      open_.push_back(open);
      return false;
    }
    run_.Sleep(kRetryDelay);
  }
  run_.Record([&](checks::History& history) {
    history.steps[open.step_index].acknowledged = run_.clock().Now();
  });
  open_.push_back(std::move(open));
  return true;
}

void Trainer::HandleSamples(const checks::CursorRead& read) {
  for (const checks::ReceivedSample& sample : read.samples) {
    const std::string id = sample.sample.value();
    if (sample.withdrawn) {
      ++report_.withdrawn;
      // A withdrawal applies only to the sample delivered at the same offset.
      if (by_offset_.erase(sample.offset.value()) > 0) {
        for (OpenStep& step : open_) {
          if (step.id == sample.step.value()) step.missing.insert(id);
        }
      }
      continue;
    }
    if (!by_offset_.emplace(sample.offset.value(), id).second) continue;
    ++report_.samples;
    uint64_t oldest = sample.spans.empty() ? 0 : sample.spans.front().version.value();
    for (const checks::ClaimedSpan& span : sample.spans) {
      oldest = std::min(oldest, span.version.value());
    }
    report_.staleness.push_back(static_cast<double>(version_) - static_cast<double>(oldest));
    for (OpenStep& step : open_) step.missing.erase(id);
  }
}

bool Trainer::ReadOnce() {
  const FleetFile& fleet = run_.fleet();
  checks::CursorRead read;
  read.stream = StreamName(fleet.stream);
  read.after = cursor_;
  read.sent = run_.clock().Now();
  const std::string target = fmt::format("/v1/streams/{}/samples?after={}&max={}&wait={}",
                                         fleet.stream, cursor_.value(), kReadMax, kReadWaitSeconds);
  const BlockingReply reply =
      CallJson(run_, run_.PickGateway().address, "GET", target, "", kReadTimeout);
  read.answered = run_.clock().Now();
  if (!reply.complete() || reply.status != kOk || !ParseRead(reply.body, read)) return false;
  run_.Record([&](checks::History& history) { history.reads.push_back(read); });
  HandleSamples(read);
  // An unchanged cursor reads the same samples again.
  if (++reads_ % kRereadInterval != 0) cursor_ = read.next;
  return true;
}

bool Trainer::CollectOldest(Duration deadline) {
  while (!open_.front().missing.empty()) {
    if (run_.clock().Now() > deadline) return false;
    if (!ReadOnce()) run_.clock().SleepUntil(run_.clock().Now() + kRetryDelay);
  }
  const Duration now = run_.clock().Now();
  run_.Record([&](checks::History& history) {
    history.steps[open_.front().step_index].completed = now;
    history.demands[open_.front().demand_index].done = now;
  });
  ++report_.steps;
  open_.erase(open_.begin());
  return true;
}

void Trainer::Run(Duration grace) {
  constexpr Duration kForever = std::chrono::hours(1);
  const Duration begin = run_.clock().Now();
  while (!run_.stopping()) {
    while (open_.size() < kStepsAhead && PutStep()) {
    }
    const Duration wait_begin = run_.clock().Now();
    while (!open_.front().missing.empty() && !run_.stopping()) {
      if (!ReadOnce()) run_.Sleep(kRetryDelay);
    }
    report_.idle += run_.clock().Now() - wait_begin;
    if (run_.stopping()) break;
    CollectOldest(run_.clock().Now() + kForever);
    run_.Sleep(run_.fleet().train_time);
    if (!run_.stopping()) Publish(std::chrono::seconds(20));
  }
  report_.total = run_.clock().Now() - begin;
  const Duration deadline = run_.clock().Now() + grace;
  while (!open_.empty() && CollectOldest(deadline)) {
  }
}

}  // namespace millstair
