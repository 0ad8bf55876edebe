/// Records the response of a handler.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "http/exchange.h"

namespace millstair::platform {

struct Answer {
  int status = 0;
  HttpHeaders headers;
  std::string body;
  bool finished = false;
  /// Called by a test to disconnect the caller.
  std::function<void()> on_disconnect;
};

/// Records the response; its caller has no backpressure.
class RecordingWriter : public ResponseWriter {
 public:
  explicit RecordingWriter(std::shared_ptr<Answer> answer) : answer_(std::move(answer)) {}
  void SendHead(HttpResponseHead head) override {
    answer_->status = head.status;
    answer_->headers = std::move(head.headers);
  }
  void SendBody(std::string bytes) override { answer_->body += bytes; }
  void Finish() override { answer_->finished = true; }
  void Abort() override {}
  size_t WritableBytes() const override { return 1 << 20; }
  void OnWritable(std::function<void()>) override {}
  void OnCallerDisconnected(std::function<void()> callback) override {
    answer_->on_disconnect = std::move(callback);
  }

 private:
  const std::shared_ptr<Answer> answer_;
};

}  // namespace millstair::platform
