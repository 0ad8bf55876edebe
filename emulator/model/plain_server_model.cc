#include <algorithm>
#include <utility>

#include "boost/json.hpp"
#include "common/random.h"
#include "emulator/model/http_answers.h"
#include "emulator/model/platform_models.h"
#include "http/outcome.h"

namespace millstair {

class PlainServerModel::Impl : public std::enable_shared_from_this<PlainServerModel::Impl> {
 public:
  Impl(Environment& environment, PlainServerOptions options)
      : environment_(environment), options_(std::move(options)) {}

  void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer);
  void Crash();
  void Close() {
    running_ = false;
    exchanges_.clear();
  }

  bool Idle() const { return exchanges_.empty(); }
  PlainServerOptions& options() { return options_; }

  bool running_ = true;
  bool draining_ = false;
  uint64_t refused_ = 0;
  uint64_t arrived_while_draining_ = 0;
  TimePoint last_arrival_while_draining_;
  std::map<ExecutionKey, ExecutionRecord> executions_;

 private:
  using ExchangeId = uint64_t;

  /// Records the execution and returns its number for this key.
  uint64_t Execute(const HttpRequest& request);
  std::string AnswerTo(const HttpRequest& request, uint64_t execution) const;
  void Answer(ExchangeId id, std::string body);
  void CutAnswer(ResponseWriter& writer, HttpResponseHead head, const std::string& body);

  Environment& environment_;
  PlainServerOptions options_;
  ExchangeId next_exchange_ = 1;
  /// Requests that ran and whose response is pending.
  std::map<ExchangeId, std::shared_ptr<ResponseWriter>> exchanges_;
};

namespace {

constexpr std::string_view kReadinessPath = "/readyz";

std::string HeaderOr(const HttpHeaders& headers, std::string_view name) {
  return std::string(FindHeader(headers, name).value_or(""));
}

}  // namespace

void PlainServerModel::Impl::Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) {
  if (!running_) return writer->Abort();
  if (PathOf(request.target) == kReadinessPath) {
    // Readiness probes are not counted as requests.
    if (draining_) return RespondNotRun(writer, 503, true, "the server is leaving");
    return RespondJson(writer, R"({"ready":true})");
  }
  if (draining_) {
    ++arrived_while_draining_;
    last_arrival_while_draining_ = environment_.Now();
    ++refused_;
    return RespondNotRun(writer, 503, true, "the server is leaving");
  }
  const bool full = exchanges_.size() >= options_.max_concurrent;
  if (full || DrawChance(environment_.Random(), options_.refusal)) {
    ++refused_;
    return RespondNotRun(writer, 503, false, full ? "too many requests" : "refused");
  }
  const uint64_t execution = Execute(request);
  const ExchangeId id = next_exchange_++;
  exchanges_[id] = writer;
  writer->OnCallerDisconnected([weak = weak_from_this(), id] {
    if (const auto self = weak.lock()) self->exchanges_.erase(id);
  });
  const Duration delay =
      DrawDuration(environment_.Random(), options_.delay_min, options_.delay_max);
  environment_.Schedule(
      delay, [weak = weak_from_this(), id, body = AnswerTo(request, execution)]() mutable {
        if (const auto self = weak.lock()) self->Answer(id, std::move(body));
      });
}

uint64_t PlainServerModel::Impl::Execute(const HttpRequest& request) {
  const ExecutionKey key{request.method, std::string(PathOf(request.target)),
                         HeaderOr(request.headers, "Idempotency-Key")};
  ExecutionRecord& record = executions_[key];
  if (record.count == 0) record.first_at = environment_.Now();
  record.last_at = environment_.Now();
  return ++record.count;
}

std::string PlainServerModel::Impl::AnswerTo(const HttpRequest& request, uint64_t execution) const {
  boost::json::object answer;
  answer["server"] = options_.name;
  answer["method"] = request.method;
  answer["path"] = std::string(PathOf(request.target));
  answer["key"] = HeaderOr(request.headers, "Idempotency-Key");
  answer["request"] = HeaderOr(request.headers, "X-Request-Id");
  answer["body"] = request.body.str();
  answer["execution"] = execution;
  if (options_.padding_bytes > 0) answer["padding"] = std::string(options_.padding_bytes, 'p');
  return boost::json::serialize(answer);
}

void PlainServerModel::Impl::Answer(ExchangeId id, std::string body) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  const std::shared_ptr<ResponseWriter> writer = std::move(found->second);
  exchanges_.erase(found);
  HttpResponseHead head;
  head.headers.push_back({"Content-Type", "application/json"});
  if (draining_) head.headers.push_back({std::string(kDrainingHeader), "true"});
  if (DrawChance(environment_.Random(), options_.cut_answer)) {
    return CutAnswer(*writer, std::move(head), body);
  }
  SendResponse(writer, std::move(head), std::move(body));
}

void PlainServerModel::Impl::CutAnswer(ResponseWriter& writer, HttpResponseHead head,
                                       const std::string& body) {
  head.headers.push_back({"Content-Length", std::to_string(body.size())});
  writer.SendHead(std::move(head));
  writer.SendBody(body.substr(0, std::min(body.size() / 2, writer.WritableBytes())));
  writer.Abort();
}

void PlainServerModel::Impl::Crash() {
  running_ = false;
  const auto exchanges = std::exchange(exchanges_, {});
  for (const auto& [id, writer] : exchanges) writer->Abort();
}

PlainServerModel::PlainServerModel(Environment& environment, PlainServerOptions options)
    : impl_(std::make_shared<Impl>(environment, std::move(options))) {}
PlainServerModel::~PlainServerModel() { impl_->Close(); }

void PlainServerModel::Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) {
  impl_->Handle(std::move(request), std::move(writer));
}

void PlainServerModel::Drain() { impl_->draining_ = true; }
void PlainServerModel::Undrain() { impl_->draining_ = false; }
void PlainServerModel::Crash() { impl_->Crash(); }

void PlainServerModel::Restart() {
  impl_->running_ = true;
  impl_->draining_ = false;
}

bool PlainServerModel::running() const { return impl_->running_; }
bool PlainServerModel::Idle() const { return impl_->Idle(); }
void PlainServerModel::SetOptions(const PlainServerOptions& options) { impl_->options() = options; }

const std::map<ExecutionKey, ExecutionRecord>& PlainServerModel::executions() const {
  return impl_->executions_;
}

uint64_t PlainServerModel::refused() const { return impl_->refused_; }

uint64_t PlainServerModel::arrived_while_draining() const { return impl_->arrived_while_draining_; }

TimePoint PlainServerModel::last_arrival_while_draining() const {
  return impl_->last_arrival_while_draining_;
}

}  // namespace millstair
