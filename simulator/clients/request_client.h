/// HTTP client of a party outside the system: sends requests with a timeout, collects complete
/// responses, and can simulate the loss of responses.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "simulator/fleet/run_context.h"

namespace millstair::simulator {

enum class AnswerEnd : uint8_t {
  kComplete,  ///< complete response with any status
  kCut,       ///< the response began but was incomplete
  kNone,      ///< no response; the request may have been executed
  kNotSent,   ///< no connection was established
};

struct CompleteAnswer {
  AnswerEnd end = AnswerEnd::kNone;
  int status = 0;
  HttpHeaders headers;
  std::string body;
  std::optional<Duration> first_byte;
};

/// Outcome reported by the `Millstair-Outcome` header.
checks::ClaimedOutcome ParseOutcome(const HttpHeaders& headers);

class RequestClient {
 public:
  using Done = std::function<void(const CompleteAnswer&)>;
  /// Identifies a request in flight; 0 is none.
  using Id = uint64_t;

  RequestClient(RunContext& context, HostId host);
  ~RequestClient();
  RequestClient(const RequestClient&) = delete;
  RequestClient& operator=(const RequestClient&) = delete;

  /// `done` runs once, but never within this call nor after `Cancel` or destruction.
  Id Send(const std::string& address, HttpRequest request, Duration time_limit, Done done);
  /// Abandons the request and closes its connection.
  void Cancel(Id id);
  void CancelAll();
  /// Sets the share of complete responses that are dropped and reported as `kNone`.
  void SetAnswerLoss(double share) { answer_loss_ = share; }

 private:
  struct Call;

  void End(Id id, CompleteAnswer answer);

  RunContext& context_;
  HostId host_;
  Id next_ = 1;
  double answer_loss_ = 0;
  std::map<Id, std::unique_ptr<Call>> calls_;
};

}  // namespace millstair::simulator
