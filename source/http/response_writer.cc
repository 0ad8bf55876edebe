#include "http/response_writer.h"

#include <charconv>
#include <utility>

#include "fmt/format.h"
#include "http/header_rules.h"

namespace millstair {
namespace {

constexpr std::string_view kLastChunk = "0\r\n\r\n";

bool HasNoBody(int status) { return status < 200 || status == 204 || status == 304; }

/// Parses the Content-Length set by the handler; false if it is not a number.
bool ParseLength(std::string_view text, uint64_t* length) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *length);
  return error == std::errc() && end == text.data() + text.size();
}

std::string FormatHead(const HttpResponseHead& head) {
  std::string text = fmt::format("HTTP/1.1 {} {}\r\n", head.status, ReasonPhrase(head.status));
  for (const HttpHeader& header : head.headers) {
    if (!IsToken(header.name) || !IsFieldValue(header.value)) continue;
    text += header.name;
    text += ": ";
    text += header.value;
    text += "\r\n";
  }
  text += "\r\n";
  return text;
}

}  // namespace

FramedResponseWriter::~FramedResponseWriter() {
  if (state_ != State::kDone) channel_->Abort();
}

void FramedResponseWriter::ChooseFraming(HttpResponseHead& head) {
  const std::optional<std::string_view> length = FindHeader(head.headers, "Content-Length");
  if (framing_.head_request || HasNoBody(head.status)) {
    body_kind_ = BodyKind::kNone;
  } else if (length.has_value() && ParseLength(*length, &remaining_bytes_)) {
    body_kind_ = BodyKind::kLength;
  } else if (framing_.http_1_1) {
    body_kind_ = BodyKind::kChunked;
    head.headers = WithoutHeader(std::move(head.headers), "Content-Length");
    head.headers.push_back({"Transfer-Encoding", "chunked"});
  } else {
    body_kind_ = BodyKind::kUntilClose;
    framing_.keep_alive = false;
  }
  if (!framing_.keep_alive) {
    head.headers.push_back({"Connection", "close"});
  } else if (!framing_.http_1_1) {
    head.headers.push_back({"Connection", "keep-alive"});
  }
}

void FramedResponseWriter::SendHead(HttpResponseHead head) {
  if (state_ != State::kNew) return;
  state_ = State::kBody;
  head.headers = WithoutHeader(EndToEndHeaders(head.headers), kCallIdHeader);
  if (!framing_.call_id.empty()) {
    head.headers.push_back({std::string(kCallIdHeader), framing_.call_id});
  }
  ChooseFraming(head);
  channel_->Append(FormatHead(head));
}

void FramedResponseWriter::SendBody(std::string bytes) {
  if (state_ != State::kBody || bytes.empty()) return;
  switch (body_kind_) {
    case BodyKind::kNone:
      return;
    case BodyKind::kLength:
      if (bytes.size() > remaining_bytes_) return Abort();
      remaining_bytes_ -= bytes.size();
      channel_->Append(std::move(bytes));
      return;
    case BodyKind::kChunked:
      channel_->Append(fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes));
      return;
    case BodyKind::kUntilClose:
      channel_->Append(std::move(bytes));
      return;
  }
}

void FramedResponseWriter::Finish() {
  if (state_ != State::kBody) {
    if (state_ == State::kNew) Abort();
    return;
  }
  if (body_kind_ == BodyKind::kLength && remaining_bytes_ > 0) return Abort();
  if (body_kind_ == BodyKind::kChunked) channel_->Append(std::string(kLastChunk));
  channel_->Finish(framing_.keep_alive);
  Close();
}

void FramedResponseWriter::Abort() {
  if (state_ == State::kDone) return;
  channel_->Abort();
  Close();
}

void FramedResponseWriter::Close() {
  state_ = State::kDone;
  // The callbacks may own this writer, so they are destroyed only after the members are cleared.
  const auto writable = std::exchange(on_writable_, nullptr);
  const auto gone = std::exchange(on_disconnected_, nullptr);
}

void FramedResponseWriter::OnWritable(std::function<void()> callback) {
  if (state_ != State::kDone) on_writable_ = std::move(callback);
}

void FramedResponseWriter::OnCallerDisconnected(std::function<void()> callback) {
  if (state_ == State::kDone) return;
  on_disconnected_ = std::move(callback);
  if (disconnected_) NotifyCallerDisconnected();
}

void FramedResponseWriter::NotifyWritable() {
  if (state_ == State::kDone || !on_writable_) return;
  const std::function<void()> callback = on_writable_;
  callback();
}

void FramedResponseWriter::NotifyCallerDisconnected() {
  if (state_ == State::kDone) return;
  disconnected_ = true;
  if (!on_disconnected_) return;
  const std::function<void()> callback = std::exchange(on_disconnected_, nullptr);
  callback();
}

}  // namespace millstair
