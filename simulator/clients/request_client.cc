#include "simulator/clients/request_client.h"

#include <utility>

namespace millstair::simulator {

struct RequestClient::Call : HttpCallObserver {
  Call(RequestClient& owner, Id id, Done done) : owner(owner), id(id), done(std::move(done)) {}
  ~Call() override { owner.context_.scheduler.Cancel(timer); }

  void OnHead(const HttpResponseHead& head) override {
    answer.status = head.status;
    answer.headers = head.headers;
    answer.first_byte = owner.context_.Now();
  }
  void OnBody(std::string bytes) override { answer.body += bytes; }
  void OnFinished() override {
    answer.end = AnswerEnd::kComplete;
    owner.End(id, std::move(answer));
  }
  void OnFailed(CallFailure failure, const std::string& reason) override {
    (void)reason;
    answer.end = failure == CallFailure::kCut       ? AnswerEnd::kCut
                 : failure == CallFailure::kNotSent ? AnswerEnd::kNotSent
                                                    : AnswerEnd::kNone;
    owner.End(id, std::move(answer));
  }

  RequestClient& owner;
  Id id;
  Done done;
  CompleteAnswer answer;
  std::unique_ptr<CallHandle> handle;
  TimerId timer;
};

checks::ClaimedOutcome ParseOutcome(const HttpHeaders& headers) {
  const auto outcome = FindHeader(headers, "Millstair-Outcome");
  if (!outcome) return checks::ClaimedOutcome::kNone;
  if (*outcome == "ran") return checks::ClaimedOutcome::kRan;
  if (*outcome == "not-run") return checks::ClaimedOutcome::kNotRun;
  return checks::ClaimedOutcome::kUnknown;
}

RequestClient::RequestClient(RunContext& context, HostId host) : context_(context), host_(host) {}
RequestClient::~RequestClient() { CancelAll(); }

RequestClient::Id RequestClient::Send(const std::string& address, HttpRequest request,
                                      Duration time_limit, Done done) {
  const Id id = next_++;
  Call& call =
      *calls_.emplace(id, std::make_unique<Call>(*this, id, std::move(done))).first->second;
  call.timer = context_.scheduler.Schedule(time_limit, [this, id] {
    const auto found = calls_.find(id);
    if (found == calls_.end()) return;
    CompleteAnswer answer = std::move(found->second->answer);
    answer.end = answer.status == 0 ? AnswerEnd::kNone : AnswerEnd::kCut;
    End(id, std::move(answer));
  });
  call.handle = context_.http.Start(host_, address, std::move(request), call);
  return id;
}

void RequestClient::Cancel(Id id) {
  const auto call = calls_.extract(id);
  (void)call;
}

void RequestClient::CancelAll() {
  const auto calls = std::move(calls_);
  calls_.clear();
}

void RequestClient::End(Id id, CompleteAnswer answer) {
  const auto call = calls_.extract(id);
  if (call.empty()) return;
  if (answer_loss_ > 0 && answer.end == AnswerEnd::kComplete &&
      DrawChance(context_.scheduler.Random(), answer_loss_)) {
    answer = CompleteAnswer();
  }
  call.mapped()->done(answer);
}

}  // namespace millstair::simulator
