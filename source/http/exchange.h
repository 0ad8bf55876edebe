/// HTTP exchanges as decision code sees them, free of any HTTP library's types. The Beast front
/// and the simulator both drive these interfaces. Header-only; other modules include just this.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace millstair {

struct HttpHeader {
  std::string name;
  std::string value;
  friend bool operator==(const HttpHeader&, const HttpHeader&) = default;
};

using HttpHeaders = std::vector<HttpHeader>;

/// First value of header `name`, compared without case; none if absent.
inline std::optional<std::string_view> FindHeader(const HttpHeaders& headers,
                                                  std::string_view name) {
  const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
  for (const HttpHeader& header : headers) {
    if (header.name.size() != name.size()) continue;
    bool same = true;
    for (size_t i = 0; i < name.size() && same; ++i) same = lower(header.name[i]) == lower(name[i]);
    if (same) return header.value;
  }
  return std::nullopt;
}

/// A whole request; bodies are bounded by settings, so they are held in memory.
struct HttpRequest {
  std::string method;
  /// Path and query, as received.
  std::string target;
  HttpHeaders headers;
  std::string body;
};

/// A status of 200 to 299.
constexpr bool IsSuccess(int status) {
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirect = 300;
  return status >= kFirstSuccess && status < kFirstRedirect;
}

struct HttpResponseHead {
  int status = 200;
  HttpHeaders headers;
};

/// The answer side of one request. Owned jointly by the front and the handler; all calls and
/// callbacks happen on the node's serial executor.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  /// Sends status line and headers; once, first.
  virtual void SendHead(HttpResponseHead head) = 0;
  /// Queues body bytes. The handler stops at `WritableBytes() == 0` until `OnWritable` calls.
  virtual void SendBody(std::string bytes) = 0;
  /// Ends the body regularly.
  virtual void Finish() = 0;
  /// Ends the answer so that the caller sees it was cut (connection reset, no last chunk).
  virtual void Abort() = 0;
  /// FreeBytes left in the send buffer.
  virtual size_t WritableBytes() const = 0;
  /// Called whenever room appears after there was none.
  virtual void OnWritable(std::function<void()> callback) = 0;
  /// Called once when the caller has gone before the answer was finished.
  virtual void OnCallerDisconnected(std::function<void()> callback) = 0;
};

/// Takes requests from the front.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  virtual void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) = 0;
};

/// Sends a whole answer at once.
inline void Respond(ResponseWriter& writer, HttpResponseHead head, std::string body) {
  head.headers.push_back({"Content-Length", std::to_string(body.size())});
  writer.SendHead(std::move(head));
  if (!body.empty()) writer.SendBody(std::move(body));
  writer.Finish();
}

/// How far a call towards a back end came before it failed.
enum class CallFailure {
  kNotSent,  ///< no byte of the request was written: it did not run
  kRefused,  ///< the back end said that it did not start executing (503 with Millstair-Outcome:
             ///< not-run, or a draining answer): it did not run
  kUnknown,  ///< bytes were written and no answer came: it may have run
  kCut,      ///< the answer began and broke off: it ran, at least in part
};

/// Receives the answer of one plain HTTP call.
class HttpCallObserver {
 public:
  virtual ~HttpCallObserver() = default;
  virtual void OnHead(const HttpResponseHead& head) = 0;
  virtual void OnBody(std::string bytes) = 0;
  virtual void OnFinished() = 0;
  virtual void OnFailed(CallFailure failure, const std::string& reason) = 0;
};

/// A call under way. Dropping the handle cancels the call; the observer then hears no more.
class CallHandle {
 public:
  virtual ~CallHandle() = default;
  /// Back-pressure: after a pause the caller stops reading from the back end, so that at most what
  /// was read already still reaches the observer. No effect where answers are small.
  virtual void PauseReading() {}
  virtual void ResumeReading() {}
};

/// Calls plain HTTP back ends and platform services (weight store, scorer, machine list).
class HttpCaller {
 public:
  virtual ~HttpCaller() = default;
  /// Starts a call to `address` ("ip:port"). `observer` must outlive the handle.
  virtual std::unique_ptr<CallHandle> Start(const std::string& address, HttpRequest request,
                                            HttpCallObserver& observer) = 0;
};

}  // namespace millstair
