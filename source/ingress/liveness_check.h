/// Checks whether an incarnation of a back end is still running after a request to it got no
/// complete response. A broken connection alone doesn't show that: responses get lost and
/// connections are reset. A refused connection, or a response by another incarnation, shows that it
/// has ended.
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
  kAlive,   ///< it responded
  kEnded,   ///< its address refuses connections, or another incarnation responded there
  kUnsure,  ///< no response, or the connections broke
};

/// "lives" and so on, for logs.
std::string_view LivenessVerdictName(LivenessVerdict verdict);

/// Lives on the node's serial executor. Destroying it cancels the check.
class LivenessCheck : public HttpCallObserver {
 public:
  /// Covers a refused connection to another region and a pause of this node under CPU throttling.
  static constexpr Duration kTimeout = std::chrono::milliseconds(300);

  using Callback = std::function<void(LivenessVerdict)>;

  /// `done` is called once, never from the constructor, and may destroy the check.
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
