#include "simulator/clients/operator_client.h"

#include <algorithm>
#include <utility>

#include "boost/json.hpp"
#include "common/random.h"
#include "fmt/format.h"
#include "resources/resource_codec.h"
#include "simulator/clients/span_json.h"

namespace millstair::simulator {
namespace {

using checks::ResourceAction;
using checks::ResourceEnd;

constexpr Duration kRequestTimeout = std::chrono::seconds(5);
constexpr Duration kRetryDelay = std::chrono::milliseconds(400);
/// An unanswered change is no longer resent after this time.
constexpr Duration kChangeTimeout = std::chrono::seconds(60);
constexpr double kReadShare = 0.4;
constexpr double kDeleteShare = 0.1;
constexpr char kValueLabel[] = "note";

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;

std::string NoteName(uint32_t note) { return fmt::format("note-{}", note); }

/// A traffic group that matches no request and holds the value as a label.
Resource NoteResource(uint32_t note, const std::string& value) {
  TrafficGroupSpec spec;
  spec.path_prefix = fmt::format("/notes/{}", note);
  spec.hosts = {"notes.example"};
  return {NoteName(note), {{kValueLabel, value}}, spec, {}};
}

Revision VersionIn(const HttpHeaders& headers) {
  const auto tag = FindHeader(headers, "ETag");
  if (!tag) return Revision();
  std::string digits(*tag);
  std::erase(digits, '"');
  return Revision(std::strtoull(digits.c_str(), nullptr, 10));
}

/// Returns the value label of a JSON resource.
std::string ValueOf(const boost::json::value& resource) {
  if (!resource.is_object()) return {};
  const boost::json::value* labels = resource.as_object().if_contains("labels");
  if (labels == nullptr || !labels->is_object()) return {};
  return TextIn(labels->as_object(), kValueLabel);
}

/// Sets value and version in `record` to those of the conflicting resource.
void ReadConflict(const std::string& body, checks::ResourceOperation& record) {
  boost::json::error_code error;
  const boost::json::value value = boost::json::parse(body, error);
  if (error || !value.is_object()) return;
  const boost::json::value* winners = value.as_object().if_contains("conflicting");
  if (winners == nullptr || !winners->is_array() || winners->as_array().empty()) return;
  const boost::json::value& winner = winners->as_array()[0];
  record.found_value = ValueOf(winner);
  if (winner.is_object()) record.version = Revision(NumberIn(winner.as_object(), "version"));
}

bool Accepts(const CompleteAnswer& answer) {
  return answer.end == AnswerEnd::kComplete && (answer.status == kOk || answer.status == kCreated);
}

}  // namespace

OperatorClient::OperatorClient(RunContext& context, const DeploymentPlan& plan, std::string name)
    : context_(context),
      plan_(plan),
      name_(std::move(name)),
      random_(context.DrawSeed()),
      client_(context, context.network.AddHost("operator-" + name_, plan.latencies.clients)) {}

const std::string& OperatorClient::DrawControl() {
  return plan_.controls[DrawBelow(random_, plan_.controls.size())].http_address;
}

void OperatorClient::OpenSession(std::function<void()> then) {
  client_.Send(DrawControl(), {"POST", "/v1/sessions", {}, ""}, kRequestTimeout,
               [this, then = std::move(then)](const CompleteAnswer& answer) {
                 boost::json::error_code error;
                 boost::json::value value;
                 if (Accepts(answer)) value = boost::json::parse(answer.body, error);
                 std::string opened;
                 if (!error && value.is_object()) opened = TextIn(value.as_object(), "session");
                 // If another change opened a session meanwhile, its sequence continues.
                 if (session_.empty() && !opened.empty()) {
                   session_ = opened;
                   next_sequence_ = 1;
                 }
                 if (!session_.empty()) {
                   then();
                   return;
                 }
                 context_.scheduler.Schedule(kRetryDelay, [this, then] { OpenSession(then); });
               });
}

void OperatorClient::Begin(Change change) {
  if (session_.empty()) {
    OpenSession([this, change = std::move(change)] { Begin(change); });
    return;
  }
  change.session = session_;
  change.sequence = next_sequence_++;
  change.first_sent = context_.Now();
  Send(std::move(change));
}

void OperatorClient::Send(Change change) {
  HttpRequest request{change.method, change.target, change.headers, change.body};
  request.headers.push_back(
      {"Idempotency-Key", fmt::format("{}/{}", change.session, change.sequence)});
  request.headers.push_back({"Content-Type", "application/json"});
  ++change.sends;
  client_.Send(DrawControl(), std::move(request), kRequestTimeout,
               [this, change = std::move(change)](const CompleteAnswer& answer) {
                 OnAnswer(change, answer);
               });
}

void OperatorClient::OnAnswer(Change change, const CompleteAnswer& answer) {
  const checks::ClaimedOutcome outcome = ParseOutcome(answer.headers);
  const bool expired = answer.end == AnswerEnd::kComplete && answer.status == kGone;
  if (expired && session_ == change.session) session_.clear();
  const bool settled = answer.end == AnswerEnd::kComplete && (answer.status < 500 || expired) &&
                       answer.status != 429;
  const bool first_refused = outcome == checks::ClaimedOutcome::kNotRun && change.sends == 1;
  if (settled && !(expired && change.sends > 1)) {
    change.done(&answer);
    return;
  }
  if (expired || context_.Now() - change.first_sent > kChangeTimeout) {
    change.done(first_refused ? &answer : nullptr);
    return;
  }
  context_.scheduler.Schedule(kRetryDelay, [this, change = std::move(change)] { Send(change); });
}

void OperatorClient::RecordAccepted(Revision revision) {
  context_.history.accepted.push_back({revision, context_.Now()});
}

void OperatorClient::Apply(const std::vector<Resource>& resources, std::function<void()> done) {
  boost::json::array items;
  for (const Resource& resource : resources) {
    items.push_back(boost::json::object{{"resource", boost::json::parse(ToJson(resource))},
                                        {"expected", nullptr}});
  }
  Change change{.method = "POST", .target = "/v1/apply"};
  change.body = boost::json::serialize(boost::json::object{{"items", std::move(items)}});
  const size_t demand = context_.history.demands.size();
  context_.history.demands.push_back({"apply", context_.Now(), std::nullopt});
  change.done = [this, demand, done = std::move(done)](const CompleteAnswer* answer) {
    if (answer == nullptr || !Accepts(*answer)) return;
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(answer->body, error);
    if (!error && value.is_object()) {
      RecordAccepted(Revision(NumberIn(value.as_object(), "revision")));
    }
    context_.history.demands[demand].done = context_.Now();
    done();
  };
  Begin(std::move(change));
}

void OperatorClient::Put(const Resource& resource, std::function<void(Revision)> done) {
  Change change{
      .method = "PUT",
      .target = fmt::format("/v1/resources/{}/{}", KindName(resource.kind()), resource.name),
      .body = ToJson(resource)};
  const size_t demand = context_.history.demands.size();
  context_.history.demands.push_back({"change of " + resource.name, context_.Now(), std::nullopt});
  SendPut(std::move(change), demand, std::move(done));
}

void OperatorClient::SendPut(Change change, size_t demand, std::function<void(Revision)> done) {
  const Change again = change;
  change.done = [this, again, demand, done = std::move(done)](const CompleteAnswer* answer) {
    if (answer == nullptr || answer->status == kGone) {
      // Unanswered, or the session expired. The change is idempotent and is sent as a new one.
      SendPut(again, demand, done);
      return;
    }
    if (!Accepts(*answer)) return;
    context_.history.demands[demand].done = context_.Now();
    const Revision revision = VersionIn(answer->headers);
    RecordAccepted(revision);
    done(revision);
  };
  Begin(std::move(change));
}

void OperatorClient::StartNotes(Duration interval, uint32_t notes, Duration until) {
  interval_ = interval;
  notes_ = notes;
  until_ = until;
  NextNote();
}

void OperatorClient::NextNote() {
  const Duration wait = DrawDuration(random_, interval_ / 2, interval_ + interval_ / 2);
  context_.scheduler.Schedule(wait, [this] {
    if (context_.Now() >= until_) return;
    NextNote();
    const auto note = static_cast<uint32_t>(DrawBelow(random_, notes_));
    if (DrawChance(random_, kReadShare)) {
      ReadNote(note);
    } else if (DrawChance(random_, kDeleteShare)) {
      DeleteNote(note, LastSeen(note));
    } else {
      PutNote(note, LastSeen(note));
    }
  });
}

Revision OperatorClient::LastSeen(uint32_t note) const {
  const auto seen = seen_.find(note);
  return seen == seen_.end() ? Revision() : seen->second;
}

void OperatorClient::ChangeNote(uint32_t note, Revision seen) { PutNote(note, seen); }

size_t OperatorClient::Record(ResourceAction action, uint32_t note,
                              std::optional<Revision> expected, std::string value) {
  checks::ResourceOperation operation;
  operation.client = ClientId(name_);
  operation.resource = "TrafficGroup/" + NoteName(note);
  operation.action = action;
  operation.expected = expected;
  operation.value = std::move(value);
  operation.invoked = context_.Now();
  context_.history.resource_operations.push_back(std::move(operation));
  return context_.history.resource_operations.size() - 1;
}

void OperatorClient::RecordEnd(size_t index, const CompleteAnswer* answer) {
  checks::ResourceOperation& record = context_.history.resource_operations[index];
  if (answer == nullptr || answer->end != AnswerEnd::kComplete) return;
  record.returned = context_.Now();
  record.version = VersionIn(answer->headers);
  if (Accepts(*answer)) {
    record.end = ResourceEnd::kDone;
    if (record.action != ResourceAction::kRead) RecordAccepted(record.version);
  } else if (answer->status == kPreconditionFailed) {
    record.end = ResourceEnd::kConflict;
    ReadConflict(answer->body, record);
  } else if (answer->status == kNotFound) {
    record.end = ResourceEnd::kMissing;
  } else if (ParseOutcome(answer->headers) == checks::ClaimedOutcome::kNotRun) {
    record.end = ResourceEnd::kRefused;
  } else {
    record.returned.reset();
  }
}

void OperatorClient::ReadNote(uint32_t note) {
  const size_t record = Record(ResourceAction::kRead, note, std::nullopt, "");
  client_.Send(DrawControl(), {"GET", "/v1/resources/TrafficGroup/" + NoteName(note), {}, ""},
               kRequestTimeout, [this, record, note](const CompleteAnswer& answer) {
                 RecordEnd(record, &answer);
                 checks::ResourceOperation& read = context_.history.resource_operations[record];
                 if (read.end == ResourceEnd::kMissing) seen_[note] = Revision();
                 if (read.end != ResourceEnd::kDone) return;
                 boost::json::error_code error;
                 read.value = ValueOf(boost::json::parse(answer.body, error));
                 seen_[note] = read.version;
               });
}

void OperatorClient::PutNote(uint32_t note, Revision expected) {
  const std::string value = fmt::format("{}-{}", name_, next_value_++);
  const size_t record = Record(ResourceAction::kPut, note, expected, value);
  Change change{.method = "PUT",
                .target = "/v1/resources/TrafficGroup/" + NoteName(note),
                .body = ToJson(NoteResource(note, value))};
  if (expected == Revision()) {
    change.headers.push_back({"If-None-Match", "*"});
  } else {
    change.headers.push_back({"If-Match", fmt::format("\"{}\"", expected.value())});
  }
  change.done = [this, record, note](const CompleteAnswer* answer) {
    RecordEnd(record, answer);
    const checks::ResourceOperation& put = context_.history.resource_operations[record];
    const bool version_reported =
        put.end == ResourceEnd::kDone || put.end == ResourceEnd::kConflict;
    if (version_reported) seen_[note] = put.version;
  };
  Begin(std::move(change));
}

void OperatorClient::DeleteNote(uint32_t note, Revision expected) {
  if (expected == Revision()) return;
  const size_t record = Record(ResourceAction::kDelete, note, expected, "");
  Change change{.method = "DELETE", .target = "/v1/resources/TrafficGroup/" + NoteName(note)};
  change.headers.push_back({"If-Match", fmt::format("\"{}\"", expected.value())});
  change.done = [this, record, note](const CompleteAnswer* answer) {
    RecordEnd(record, answer);
    const checks::ResourceOperation& removed = context_.history.resource_operations[record];
    if (removed.end == ResourceEnd::kDone || removed.end == ResourceEnd::kMissing) {
      seen_[note] = Revision();
    } else if (removed.end == ResourceEnd::kConflict) {
      seen_[note] = removed.version;
    }
  };
  Begin(std::move(change));
}

}  // namespace millstair::simulator
