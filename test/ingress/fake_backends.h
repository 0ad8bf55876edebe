/// Fake back ends in virtual time for the tests of ingress/ and jobs/: each address responds by a
/// script, and all calls are recorded.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/virtual_environment.h"
#include "ingress/backend_protocol.h"

namespace millstair {

/// A scripted response to one call.
struct FakeAnswer {
  enum class Kind { kAnswer, kNoResponse, kUnreachable, kReset, kTruncatedBody };
  Kind kind = Kind::kAnswer;
  int status = 200;
  HttpHeaders headers;
  /// Pieces of the body, sent `gap` apart.
  std::vector<std::string> pieces = {"ok"};
  Duration delay = std::chrono::milliseconds(5);
  Duration gap = std::chrono::milliseconds(5);
};

struct FakeCall {
  std::string address;
  HttpRequest request;
  Duration at{0};
  bool cancelled = false;
  /// While the caller reads nothing, events of the call are held.
  bool paused = false;
  int pauses = 0;
};

class FakeBackends : public HttpCaller {
 public:
  using Script = std::function<FakeAnswer(const HttpRequest& request)>;

  explicit FakeBackends(VirtualScheduler& scheduler) : scheduler_(scheduler) {}

  void Serve(const std::string& address, Script script) { scripts_[address] = std::move(script); }

  std::unique_ptr<CallHandle> Start(const std::string& address, HttpRequest request,
                                    HttpCallObserver& observer) override {
    const auto call = std::make_shared<FakeCall>(FakeCall{address, request, scheduler_.Now()});
    calls.push_back(call);
    const auto script = scripts_.find(address);
    FakeAnswer answer;
    answer.kind = FakeAnswer::Kind::kUnreachable;
    if (script != scripts_.end()) answer = script->second(request);
    const auto live = std::make_shared<HttpCallObserver*>(&observer);
    const auto held = std::make_shared<Held>();
    Play(answer, {call, live, held});
    return std::make_unique<Handle>(*this, Exchange{call, live, held});
  }

  size_t CountAt(const std::string& address) const {
    size_t count = 0;
    for (const auto& call : calls) count += call->address == address ? 1 : 0;
    return count;
  }

  /// Number of calls other than health checks, which carry no identifier.
  size_t SentRequests() const {
    size_t count = 0;
    for (const auto& call : calls) count += FindHeader(call->request.headers, "id") ? 1 : 0;
    return count;
  }

  std::vector<std::shared_ptr<FakeCall>> calls;
  /// Addresses whose responses, also those in progress, are lost.
  std::set<std::string> silent;

 private:
  using Live = std::shared_ptr<HttpCallObserver*>;
  using Event = std::function<void(HttpCallObserver&)>;
  using Held = std::deque<Event>;

  struct Exchange {
    std::shared_ptr<FakeCall> call;
    Live live;
    /// Events that arrived while the call was paused.
    std::shared_ptr<Held> held;
  };

  class Handle : public CallHandle {
   public:
    Handle(FakeBackends& backends, Exchange exchange)
        : backends_(backends), exchange_(std::move(exchange)) {}
    ~Handle() override {
      exchange_.call->cancelled = *exchange_.live != nullptr;
      *exchange_.live = nullptr;
    }
    void PauseReading() override {
      exchange_.call->paused = true;
      ++exchange_.call->pauses;
    }
    void ResumeReading() override {
      exchange_.call->paused = false;
      backends_.scheduler_.Schedule(Duration(0), [exchange = exchange_] { Deliver(exchange); });
    }

   private:
    FakeBackends& backends_;
    Exchange exchange_;
  };

  /// Delivers the events held, until the call is paused again.
  static void Deliver(const Exchange& exchange) {
    while (!exchange.call->paused && !exchange.held->empty()) {
      const Event event = std::move(exchange.held->front());
      exchange.held->pop_front();
      if (*exchange.live != nullptr) event(**exchange.live);
    }
  }

  void At(Duration delay, const Exchange& exchange, Event event) {
    scheduler_.Schedule(delay, [this, exchange, event = std::move(event)] {
      if (silent.contains(exchange.call->address)) return;
      exchange.held->push_back(event);
      Deliver(exchange);
    });
  }

  void Fail(Duration delay, const Exchange& exchange, CallFailure failure) {
    At(delay, exchange, [live = exchange.live, failure](HttpCallObserver& observer) {
      *live = nullptr;
      observer.OnFailed(failure, "scripted");
    });
  }

  void Play(const FakeAnswer& answer, const Exchange& exchange) {
    using Kind = FakeAnswer::Kind;
    if (answer.kind == Kind::kNoResponse) return;
    if (answer.kind == Kind::kUnreachable)
      return Fail(answer.delay, exchange, CallFailure::kNotSent);
    if (answer.kind == Kind::kReset) return Fail(answer.delay, exchange, CallFailure::kUnknown);
    At(answer.delay, exchange,
       [head = HttpResponseHead{answer.status, answer.headers}](HttpCallObserver& observer) {
         observer.OnHead(head);
       });
    Duration at = answer.delay;
    for (const std::string& piece : answer.pieces) {
      At(at, exchange, [piece](HttpCallObserver& observer) { observer.OnBody(piece); });
      at += answer.gap;
    }
    if (answer.kind == Kind::kTruncatedBody) return Fail(at, exchange, CallFailure::kCut);
    At(at, exchange, [observed = exchange.live](HttpCallObserver& observer) {
      *observed = nullptr;
      observer.OnFinished();
    });
  }

  VirtualScheduler& scheduler_;
  std::map<std::string, Script> scripts_;
};

/// A minimal protocol: "id", "instance" and "resume" request headers; "refused", "stranger",
/// "signature" and "version" response headers; events are "id|version|data".
class FakeProtocol : public BackendProtocol {
 public:
  HttpRequest MakeRequest(const BackendRequest& request) const override {
    HttpRequest made = request.http;
    made.headers.push_back({"id", request.request_id});
    made.headers.push_back({"instance", request.instance.value()});
    made.headers.push_back({"left", std::to_string(request.time_left.count())});
    if (request.tenant != TenantName()) made.headers.push_back({"tenant", request.tenant.value()});
    if (request.resume_after)
      made.headers.push_back({"resume", std::to_string(*request.resume_after)});
    return made;
  }

  BackendAnswer ReadAnswer(const HttpResponseHead& head, const std::string&) const override {
    BackendAnswer answer;
    answer.own = !FindHeader(head.headers, "stranger").has_value();
    answer.wrong_instance = head.status == 421;
    answer.not_run = answer.wrong_instance || FindHeader(head.headers, "refused").has_value();
    answer.signature = std::string(FindHeader(head.headers, "signature").value_or(""));
    if (const auto version = FindHeader(head.headers, "version")) {
      answer.version = WeightVersion(std::stoull(std::string(*version)));
    }
    return answer;
  }

  absl::StatusOr<std::optional<StreamEvent>> ReadEvent(std::string_view lines) const override {
    const std::string text(lines);
    const size_t first = text.find('|');
    const size_t second = text.find('|', first + 1);
    if (first == std::string::npos || second == std::string::npos) {
      return absl::InvalidArgumentError("malformed event");
    }
    StreamEvent event;
    event.id = std::stoull(text.substr(0, first));
    const std::string version = text.substr(first + 1, second - first - 1);
    if (!version.empty()) event.version = WeightVersion(std::stoull(version));
    event.data = text.substr(second + 1);
    return std::optional<StreamEvent>(event);
  }

  HttpRequest MakeHealthRequest(const InstanceId& instance,
                                const std::string& path) const override {
    return {"GET", path, {{"instance", instance.value()}}, ""};
  }

  bool IsAnswerOf(const HttpResponseHead& head, const InstanceId& instance) const override {
    const auto named = FindHeader(head.headers, "instance");
    return head.status != 421 && (!named || *named == instance.value());
  }

  HttpRequest MakeReportRequest(const InstanceId&) const override {
    return {"GET", "/report", {}, ""};
  }

  absl::StatusOr<ReportedEngine> ReadReport(const std::string& body) const override {
    // Format: busy orders model version
    ReportedEngine report;
    char model[32];
    unsigned busy = 0;
    unsigned long long orders = 0;
    unsigned long long version = 0;
    if (std::sscanf(body.c_str(), "%u %llu %31s %llu", &busy, &orders, model, &version) != 4) {
      return absl::InvalidArgumentError("malformed report");
    }
    report.busy = busy != 0;
    report.orders = orders;
    report.models.push_back({ModelName(model), WeightVersion(version)});
    return report;
  }

  HttpRequest MakeLoadOrder(const LoadOrder& order) const override {
    return {"POST",
            "/order",
            {{"model", order.model.value()},
             {"fence", std::to_string(order.fence)},
             {"expected", std::to_string(order.expected_orders)},
             {"holder", order.holder}},
            std::to_string(order.version.value())};
  }

  LoadAnswer ReadLoadAnswer(int status) const override {
    if (status == 202) return LoadAnswer::kAccepted;
    if (status == 200) return LoadAnswer::kAlreadyLoaded;
    return status == 409 ? LoadAnswer::kRefused : LoadAnswer::kUnknown;
  }
};

/// A live instance whose identifier is its address.
inline BackendInstance LiveInstance(const std::string& address, const std::string& service) {
  BackendInstance instance;
  instance.id = InstanceId(address);
  instance.service = ServiceName(service);
  instance.address = address;
  instance.zone = Zone("z1");
  instance.slots = 2;
  instance.sequence = 1;
  instance.registered_at = Revision(1);
  return instance;
}

}  // namespace millstair
