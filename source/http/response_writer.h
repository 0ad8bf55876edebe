/// The ResponseWriter behind the HTTP front: frames the answer and hands it to the connection.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "http/exchange.h"
#include "http/response_channel.h"

namespace millstair {

/// What the framing of an answer depends on.
struct ResponseFraming {
  bool head_request = false;
  bool http_1_1 = true;
  /// The caller and the server both want to keep the connection.
  bool keep_alive = true;
  /// Sent back to the caller unless empty.
  std::string call_id;
};

/// Lives on the serial executor; owned by the handler. Destroyed before `Finish`, it cuts the
/// answer. A body that does not match its Content-Length is cut too.
class FramedResponseWriter : public ResponseWriter {
 public:
  FramedResponseWriter(std::shared_ptr<ResponseChannel> channel, ResponseFraming framing)
      : channel_(std::move(channel)), framing_(framing) {}
  ~FramedResponseWriter() override;

  void SendHead(HttpResponseHead head) override;
  void SendBody(std::string bytes) override;
  void Finish() override;
  void Abort() override;
  size_t WritableBytes() const override { return channel_->FreeBytes(); }
  void OnWritable(std::function<void()> callback) override;
  void OnCallerDisconnected(std::function<void()> callback) override;

  /// Called by the connection, on the executor.
  void NotifyWritable();
  void NotifyCallerDisconnected();

 private:
  enum class BodyKind { kNone, kLength, kChunked, kUntilClose };
  enum class State { kNew, kBody, kDone };

  /// Chooses how the body is framed, and adds the headers for it.
  void ChooseFraming(HttpResponseHead& head);
  void Close();

  std::shared_ptr<ResponseChannel> channel_;
  ResponseFraming framing_;
  State state_ = State::kNew;
  BodyKind body_kind_ = BodyKind::kNone;
  uint64_t remaining_bytes_ = 0;
  bool disconnected_ = false;
  std::function<void()> on_writable_;
  std::function<void()> on_disconnected_;
};

/// Reason phrase of a status, "Unknown" for none of the registered.
std::string_view ReasonPhrase(int status);

}  // namespace millstair
