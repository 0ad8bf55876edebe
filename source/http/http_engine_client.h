/// EngineClient over HTTP: JSON requests, generation streams of one JSON chunk a line.
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
  /// Time of a whole report or cache event call.
  Duration report_timeout = std::chrono::seconds(2);
  /// Time of a whole order; a weight swap runs within it.
  Duration order_timeout = std::chrono::seconds(30);
  /// A longer line of a generation stream breaks the stream off.
  size_t max_line_bytes = 1024 * 1024;
  /// A longer answer to a report, order or cache event call fails it.
  size_t max_answer_bytes = 64 * 1024 * 1024;
};

class SimpleEngineCall;

/// Lives on the serial executor; `http` outlives it. Calls still under way when it goes are
/// dropped.
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

  /// Makes one call and hands over its whole answer. DeadlineExceeded or Unavailable without one.
  void Call(const std::string& address, HttpRequest request, Duration timeout,
            std::function<void(absl::StatusOr<Answer>)> done);

  Environment& environment_;
  HttpCaller& http_;
  const HttpEngineClientOptions options_;
  uint64_t last_call_ = 0;
  std::map<uint64_t, std::unique_ptr<SimpleEngineCall>> calls_;
};

}  // namespace millstair
