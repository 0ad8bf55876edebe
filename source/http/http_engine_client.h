/// EngineClient over HTTP: JSON requests, generation streams with one JSON chunk per line.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/environment.h"
#include "engine/engine_types.h"
#include "http/exchange.h"

namespace millstair {

struct HttpEngineClientOptions {
  /// Total time of a report or cache event call.
  Duration report_timeout = std::chrono::seconds(2);
  /// Total time of an order, including a weight swap.
  Duration order_timeout = std::chrono::seconds(30);
  /// A generation stream with a longer line fails.
  size_t max_line_bytes = 1024 * 1024;
  /// A report, order or cache event call with a longer response fails.
  size_t max_answer_bytes = 64 * 1024 * 1024;
};

class SimpleEngineCall;

/// Lives on the serial executor; `http` outlives it. Destroying it cancels all report, order and
/// cache event calls in progress.
class HttpEngineClient : public EngineClient {
 public:
  HttpEngineClient(Environment& environment, HttpCaller& http,
                   HttpEngineClientOptions options = {});
  ~HttpEngineClient() override;

  std::unique_ptr<CallHandle> Generate(const std::string& address, GenerateRequest request,
                                       GenerateObserver& observer) override;
  void SendOrder(const std::string& address, const EngineOrder& order,
                 std::function<void(absl::Status)> done) override;
  void FetchReport(const std::string& address,
                   std::function<void(absl::StatusOr<EngineReport>)> done) override;
  void FetchCacheEvents(const std::string& address, uint64_t after, bool resync,
                        std::function<void(absl::StatusOr<CacheEvents>)> done) override;

 private:
  struct Answer {
    int status = 0;
    std::string body;
  };
  friend class SimpleEngineCall;

  /// Makes one call and passes its complete response to `done`; without one, DeadlineExceeded,
  /// ResourceExhausted or Unavailable.
  void Call(const std::string& address, HttpRequest request, Duration timeout,
            std::function<void(absl::StatusOr<Answer>)> done);

  Environment& environment_;
  HttpCaller& http_;
  const HttpEngineClientOptions options_;
  uint64_t last_call_ = 0;
  std::map<uint64_t, std::unique_ptr<SimpleEngineCall>> calls_;
};

}  // namespace millstair
