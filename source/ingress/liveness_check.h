/// Asks at a back end's address whether one life of it is still there, after a request to it got no
/// whole answer. A connection that breaks says little: an answer may be lost, connections are
/// reset, an idle one was forgotten. Nobody listening, or another life answering, says that it
/// ended.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "cluster/configuration.h"
#include "common/environment.h"
#include "common/scoped_timer.h"
#include "http/exchange.h"
#include "ingress/backend_protocol.h"

namespace millstair {

enum class LivenessVerdict : uint8_t {
  kAlive,   ///< it answered
  kEnded,   ///< nobody listens at its address, or another life of a back end answers there
  kUnsure,  ///< silence, or connections that break
};

/// "lives" and so on, for logs.
std::string_view LivenessVerdictName(LivenessVerdict verdict);

/// Lives on the node's serial executor. Dropping it cancels the question.
class LivenessCheck : public HttpCallObserver {
 public:
  /// Without an answer for this long nothing is known. A refused connection takes one way there and
  /// back: 3 ms within a region, some 100 ms to another; and this node may stand still for most of
  /// a tenth of a second where its share of a core is a quota.
  static constexpr Duration kTimeout = std::chrono::milliseconds(300);

  using Callback = std::function<void(LivenessVerdict)>;

  /// `done` is called once, never by the constructor, and may destroy the check.
  LivenessCheck(Environment& environment, HttpCaller& http, const BackendProtocol& protocol,
                BackendInstance instance, std::string health_path, Callback done);
  void Start();

  void OnHead(const HttpResponseHead& head) override;
  void OnBody(std::string) override {}
  void OnFinished() override {}
  void OnFailed(CallFailure failure, const std::string& reason) override;

 private:
  void End(LivenessVerdict verdict);

  HttpCaller& http_;
  const BackendProtocol& protocol_;
  const BackendInstance instance_;
  const std::string health_path_;
  Callback done_;
  int calls_ = 0;
  bool ended_ = false;
  std::unique_ptr<CallHandle> handle_;
  ScopedTimer timeout_;
  ScopedTimer next_step_;
};

}  // namespace millstair
