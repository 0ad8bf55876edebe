/// A ResponseWriter that records the response.
#pragma once

#include <memory>
#include <string>
#include <utility>

#include "boost/json.hpp"
#include "http/exchange.h"

namespace millstair::testing {

class RecordingWriter : public ResponseWriter {
 public:
  void SendHead(HttpResponseHead sent) override {
    head = std::move(sent);
    ++heads;
  }
  void SendBody(std::string bytes) override {
    writable_bytes -= std::min(writable_bytes, bytes.size());
    body += bytes;
  }
  void Finish() override { finished = true; }
  void Abort() override { aborted = true; }
  size_t WritableBytes() const override { return writable_bytes; }
  void OnWritable(std::function<void()> callback) override { on_writable = std::move(callback); }
  void OnCallerDisconnected(std::function<void()> callback) override {
    on_caller_disconnected = std::move(callback);
  }

  bool ended() const { return finished || aborted; }
  boost::json::object json() const { return boost::json::parse(body).as_object(); }
  std::string Header(std::string_view name) const {
    return std::string(FindHeader(head.headers, name).value_or(""));
  }
  /// Sets the writable capacity and notifies the handler.
  void SetWritableBytes(size_t bytes) {
    writable_bytes = bytes;
    if (on_writable) on_writable();
  }

  HttpResponseHead head;
  int heads = 0;
  std::string body;
  bool finished = false;
  bool aborted = false;
  size_t writable_bytes = 1 << 20;
  std::function<void()> on_writable;
  std::function<void()> on_caller_disconnected;
};

/// Passes a request to `handler`; returns the writer that records the response.
inline std::shared_ptr<RecordingWriter> Send(RequestHandler& handler, std::string method,
                                             std::string target, std::string body = "",
                                             HttpHeaders headers = {}) {
  auto writer = std::make_shared<RecordingWriter>();
  handler.Handle({std::move(method), std::move(target), std::move(headers), std::move(body)},
                 writer);
  return writer;
}

}  // namespace millstair::testing
