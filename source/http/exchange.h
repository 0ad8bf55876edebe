/// HTTP exchanges as seen by decision code, without types of an HTTP library. Both the Beast server
/// and the simulator implement these interfaces. Header-only; other modules include just this.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/http_body.h"

namespace millstair {

struct HttpHeader {
  std::string name;
  std::string value;
  friend bool operator==(const HttpHeader&, const HttpHeader&) = default;
};

using HttpHeaders = std::vector<HttpHeader>;

/// First value of header `name`, compared case-insensitively; none if absent.
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

/// A complete request; the size of bodies is limited by settings, so they are held in memory.
struct HttpRequest {
  std::string method;
  /// Path and query, as received.
  std::string target;
  HttpHeaders headers;
  HttpBody body;
  /// Identifies the request across its repeats; empty if its answers are told apart otherwise.
  std::string request_id = {};
};

/// True for 200 to 299.
constexpr bool IsSuccess(int status) {
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirect = 300;
  return status >= kFirstSuccess && status < kFirstRedirect;
}

struct HttpResponseHead {
  int status = 200;
  HttpHeaders headers;
};

/// Writes the response to one request. Shared by the server and the handler; all calls and
/// callbacks happen on the node's serial executor.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  /// Sends status line and headers. Called once, before any other Send or Finish.
  virtual void SendHead(HttpResponseHead head) = 0;
  /// Queues body bytes. At `WritableBytes() == 0` the handler waits for the `OnWritable` callback.
  virtual void SendBody(std::string bytes) = 0;
  /// Ends the response as complete.
  virtual void Finish() = 0;
  /// Ends the response so that the caller detects the truncation (connection reset, no last chunk).
  virtual void Abort() = 0;
  /// Free space in the send buffer; 0 after the caller has disconnected.
  virtual size_t WritableBytes() const = 0;
  /// Whether the memory for responses takes one of `bytes` that was not read from a back end.
  virtual bool HasRoomFor(size_t /*bytes*/) { return true; }
  /// `callback` is called whenever the send buffer has free space again after it was full.
  virtual void OnWritable(std::function<void()> callback) = 0;
  /// `callback` is called once if the caller disconnects before the response is finished.
  virtual void OnCallerDisconnected(std::function<void()> callback) = 0;
};

/// Handles the requests of a server.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  virtual void Handle(HttpRequest request, std::shared_ptr<ResponseWriter> writer) = 0;
};

/// Sends a complete response.
inline void Respond(ResponseWriter& writer, HttpResponseHead head, std::string body) {
  head.headers.push_back({"Content-Length", std::to_string(body.size())});
  writer.SendHead(std::move(head));
  if (!body.empty()) writer.SendBody(std::move(body));
  writer.Finish();
}

/// How far a call to a back end progressed before it failed.
enum class CallFailure {
  kNotSent,  ///< no byte of the request was written: it did not run
  kRefused,  ///< the back end reported that it did not start executing (503 with
             ///< Millstair-Outcome: not-run, or a draining response): it did not run
  kUnknown,  ///< bytes were written and no response was received: it may have run
  kCut,      ///< the response began and was truncated: it ran, at least in part
};

/// Receives the response of one plain HTTP call.
class HttpCallObserver {
 public:
  virtual ~HttpCallObserver() = default;
  virtual void OnHead(const HttpResponseHead& head) = 0;
  virtual void OnBody(std::string bytes) = 0;
  virtual void OnFinished() = 0;
  virtual void OnFailed(CallFailure failure, const std::string& reason) = 0;
};

/// A call in progress. Destroying the handle cancels the call; the observer then gets no further
/// callbacks.
class CallHandle {
 public:
  virtual ~CallHandle() = default;
  /// Backpressure: stops reading from the back end; bytes that were read before still reach the
  /// observer. No effect in implementations whose responses are small.
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
