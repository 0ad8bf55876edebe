/// An HTTP client of a party outside the system: sends requests, gathers whole answers, gives up
/// after a time limit, and can lose answers on purpose.
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
  kComplete,  ///< a regular answer, whatever its status
  kCut,       ///< began and broke off
  kNone,      ///< no answer; the request may have run
  kNotSent,   ///< no connection
};

struct CompleteAnswer {
  AnswerEnd end = AnswerEnd::kNone;
  int status = 0;
  HttpHeaders headers;
  std::string body;
  std::optional<Duration> first_byte;
};

/// What `Millstair-Outcome` says in an answer.
checks::ClaimedOutcome ParseOutcome(const HttpHeaders& headers);

class RequestClient {
 public:
  using Done = std::function<void(const CompleteAnswer&)>;
  /// Handle of a request under way; 0 is none.
  using Id = uint64_t;

  RequestClient(RunContext& context, HostId host);
  ~RequestClient();
  RequestClient(const RequestClient&) = delete;
  RequestClient& operator=(const RequestClient&) = delete;

  /// `done` runs once, never within this call; not after `Cancel` or destruction.
  Id Send(const std::string& address, HttpRequest request, Duration time_limit, Done done);
  /// Goes away: closes the connection.
  void Cancel(Id id);
  void CancelAll();
  /// Share of answers that are lost on the way; the client then sees none.
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
