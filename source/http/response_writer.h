/// The ResponseWriter of the HTTP server: frames the response and passes it to the connection.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "http/exchange.h"
#include "http/response_channel.h"

namespace millstair {

/// Properties of a request that determine the framing of its response.
struct ResponseFraming {
  bool head_request = false;
  bool http_1_1 = true;
  /// The caller and the server both want to keep the connection.
  bool keep_alive = true;
  /// Echoed to the caller unless empty.
  std::string call_id;
};

/// Lives on the serial executor; owned by the handler. Aborts the response if destroyed before
/// `Finish`, or if the body does not match its Content-Length.
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
  bool HasRoomFor(size_t bytes) override { return channel_->HasRoomFor(bytes); }
  void OnWritable(std::function<void()> callback) override;
  void OnCallerDisconnected(std::function<void()> callback) override;

  /// Called by the connection, on the executor.
  void NotifyWritable();
  void NotifyCallerDisconnected();

 private:
  enum class BodyKind { kNone, kLength, kChunked, kUntilClose };
  enum class State { kNew, kBody, kDone };

  /// Selects the framing of the body and adds its headers.
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

/// Reason phrase of a status; "Unknown" if it is not registered.
std::string_view ReasonPhrase(int status);

}  // namespace millstair
