#include "http/http_engine_client.h"

#include <optional>
#include <utility>

#include "common/scoped_timer.h"
#include "engine/engine_codec.h"
#include "engine/order_status.h"
#include "fmt/format.h"
#include "http/outcome.h"

namespace millstair {
namespace {

constexpr int kOk = 200;

HttpRequest JsonPost(std::string target, std::string body) {
  return {"POST", std::move(target), {{"Content-Type", "application/json"}}, std::move(body)};
}

bool ReportsNotRun(const HttpResponseHead& head) {
  return FindHeader(head.headers, kOutcomeHeader) == OutcomeName(Outcome::kNotRun);
}

/// A generation stream. The last chunk is delivered only after the response has ended, so that its
/// connection can be reused.
class GenerateCall : public CallHandle, public HttpCallObserver {
 public:
  GenerateCall(GenerateObserver& observer, size_t max_line_bytes)
      : observer_(&observer), max_line_bytes_(max_line_bytes) {}

  void Start(HttpCaller& http, const std::string& address, HttpRequest request) {
    call_ = http.Start(address, std::move(request), *this);
  }

  void PauseReading() override {
    if (call_ != nullptr) call_->PauseReading();
  }
  void ResumeReading() override {
    if (call_ != nullptr) call_->ResumeReading();
  }

  void OnHead(const HttpResponseHead& head) override { head_ = head; }

  void OnBody(std::string bytes) override {
    if (head_.status != kOk || last_chunk_.has_value()) return;
    line_ += bytes;
    const std::weak_ptr<char> alive = alive_;
    size_t begin = 0;
    for (size_t end = line_.find('\n'); end != std::string::npos; end = line_.find('\n', begin)) {
      const std::string line = line_.substr(begin, end - begin);
      begin = end + 1;
      if (!TakeLine(line) || alive.expired()) return;
    }
    line_.erase(0, begin);
    if (line_.size() > max_line_bytes_) Fail(CallFailure::kCut, "a line of the stream is too long");
  }

  void OnFinished() override {
    if (last_chunk_.has_value()) return observer_->OnChunk(*last_chunk_);
    if (head_.status == kOk) return Fail(CallFailure::kCut, "the stream ended early");
    const std::string reason = fmt::format("the engine answered {}", head_.status);
    Fail(ReportsNotRun(head_) ? CallFailure::kRefused : CallFailure::kUnknown, reason);
  }

  void OnFailed(CallFailure failure, const std::string& reason) override {
    if (last_chunk_.has_value()) return observer_->OnChunk(*last_chunk_);
    Fail(failure, reason);
  }

 private:
  /// False if the stream failed or ended with this line.
  bool TakeLine(const std::string& line) {
    absl::StatusOr<GenerateChunk> chunk = DecodeGenerateChunk(line);
    if (!chunk.ok()) {
      Fail(CallFailure::kCut, std::string(chunk.status().message()));
      return false;
    }
    if (chunk->finished) {
      last_chunk_ = *std::move(chunk);
      return false;
    }
    observer_->OnChunk(*chunk);
    return true;
  }

  void Fail(CallFailure failure, const std::string& reason) {
    const bool leaving = FindHeader(head_.headers, kDrainingHeader).has_value();
    call_.reset();
    observer_->OnFailed(failure, leaving, std::string(reason));
  }

  GenerateObserver* observer_;
  const size_t max_line_bytes_;
  HttpResponseHead head_;
  std::string line_;
  std::optional<GenerateChunk> last_chunk_;
  std::unique_ptr<CallHandle> call_;
  std::shared_ptr<char> alive_ = std::make_shared<char>(0);
};

}  // namespace

/// A call that returns a complete response within a timeout.
class SimpleEngineCall : public HttpCallObserver {
 public:
  using Done = std::function<void(absl::StatusOr<HttpEngineClient::Answer>)>;

  SimpleEngineCall(HttpEngineClient& client, uint64_t id, Done done)
      : client_(client), id_(id), done_(std::move(done)), timer_(client.environment_) {}

  void Start(const std::string& address, HttpRequest request, Duration timeout) {
    timer_.Arm(timeout,
               [this] { End(absl::DeadlineExceededError("no response within the timeout")); });
    call_ = client_.http_.Start(address, std::move(request), *this);
  }

  void OnHead(const HttpResponseHead& head) override { answer_.status = head.status; }
  void OnBody(std::string bytes) override {
    answer_.body += bytes;
    if (answer_.body.size() > client_.options_.max_answer_bytes) {
      End(absl::ResourceExhaustedError("the response is too long"));
    }
  }
  void OnFinished() override { End(std::move(answer_)); }
  void OnFailed(CallFailure, const std::string& reason) override {
    End(absl::UnavailableError(reason));
  }

 private:
  void End(absl::StatusOr<HttpEngineClient::Answer> answer) {
    const Done done = std::move(done_);
    const auto self = client_.calls_.extract(id_);
    done(std::move(answer));
  }

  HttpEngineClient& client_;
  const uint64_t id_;
  Done done_;
  ScopedTimer timer_;
  HttpEngineClient::Answer answer_;
  std::unique_ptr<CallHandle> call_;
};

HttpEngineClient::HttpEngineClient(Environment& environment, HttpCaller& http,
                                   HttpEngineClientOptions options)
    : environment_(environment), http_(http), options_(options) {}

HttpEngineClient::~HttpEngineClient() = default;

std::unique_ptr<CallHandle> HttpEngineClient::Generate(const std::string& address,
                                                       GenerateRequest request,
                                                       GenerateObserver& observer) {
  auto call = std::make_unique<GenerateCall>(observer, options_.max_line_bytes);
  call->Start(http_, address, JsonPost("/v1/generate", EncodeGenerateRequest(request)));
  return call;
}

void HttpEngineClient::SendOrder(const std::string& address, const EngineOrder& order,
                                 std::function<void(absl::Status)> done) {
  Call(address, JsonPost("/v1/orders", EncodeEngineOrder(order)), options_.order_timeout,
       [done = std::move(done)](absl::StatusOr<Answer> answer) {
         if (!answer.ok()) return done(answer.status());
         done(OrderStatusFromHttp(answer->status, answer->body));
       });
}

void HttpEngineClient::FetchReport(const std::string& address,
                                   std::function<void(absl::StatusOr<EngineReport>)> done) {
  Call(address, {"GET", "/v1/report", {}, ""}, options_.report_timeout,
       [done = std::move(done)](absl::StatusOr<Answer> answer) {
         if (!answer.ok()) return done(answer.status());
         if (answer->status == kOk) return done(DecodeEngineReport(answer->body));
         done(absl::UnavailableError(fmt::format("the engine answered {}", answer->status)));
       });
}

void HttpEngineClient::FetchCacheEvents(const std::string& address, uint64_t after, bool resync,
                                        std::function<void(absl::StatusOr<CacheEvents>)> done) {
  const std::string target =
      fmt::format("/v1/cache-events?after={}&resync={}", after, resync ? 1 : 0);
  Call(address, {"GET", target, {}, ""}, options_.report_timeout,
       [done = std::move(done)](absl::StatusOr<Answer> answer) {
         if (!answer.ok()) return done(answer.status());
         if (answer->status == kOk) return done(DecodeCacheEvents(answer->body));
         done(absl::UnavailableError(fmt::format("the engine answered {}", answer->status)));
       });
}

void HttpEngineClient::Call(const std::string& address, HttpRequest request, Duration timeout,
                            std::function<void(absl::StatusOr<Answer>)> done) {
  const uint64_t id = ++last_call_;
  const auto [entry, added] =
      calls_.emplace(id, std::make_unique<SimpleEngineCall>(*this, id, std::move(done)));
  entry->second->Start(address, std::move(request), timeout);
}

}  // namespace millstair
