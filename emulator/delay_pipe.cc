#include "emulator/delay_pipe.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace millstair {

namespace asio = boost::asio;
using boost::system::error_code;

DelayPipe::DelayPipe(std::shared_ptr<void> owner, Socket& from, Socket& to,
                     std::chrono::microseconds latency, Ended ended)
    : owner_(std::move(owner)),
      from_(from),
      to_(to),
      latency_(latency),
      ended_(std::move(ended)),
      timer_(from.get_executor()),
      buffer_(kReadBytes) {}

void DelayPipe::Start() { Read(); }

void DelayPipe::SetStalled(bool stalled) {
  stalled_ = stalled;
  if (stalled) return;
  Read();
  Write();
}

void DelayPipe::Close() {
  closed_ = true;
  timer_.cancel();
  queue_.clear();
  ended_ = nullptr;
  // Pending handlers hold the pipe; the pipe must no longer hold its owner.
  owner_.reset();
}

void DelayPipe::End(bool broken) {
  const Ended ended = std::exchange(ended_, nullptr);
  if (ended) ended(broken);
}

void DelayPipe::Read() {
  if (reading_ || stalled_ || closed_ || end_read_ || queued_bytes_ >= kMaxQueuedBytes) return;
  reading_ = true;
  from_.async_read_some(asio::buffer(buffer_), [self = shared_from_this(), owner = owner_](
                                                   error_code error, size_t size) {
    self->reading_ = false;
    if (self->closed_) return;
    if (error && error != asio::error::eof) return self->End(true);
    self->end_read_ = error == asio::error::eof;
    const char* bytes = self->buffer_.data();
    self->queue_.push_back({Clock::now() + self->latency_, {bytes, bytes + size}});
    self->queued_bytes_ += size;
    self->Read();
    self->Write();
  });
}

void DelayPipe::Write() {
  if (writing_ || stalled_ || closed_ || queue_.empty()) return;
  writing_ = true;
  timer_.expires_at(queue_.front().due);
  timer_.async_wait([self = shared_from_this(), owner = owner_](error_code) {
    if (self->closed_) return;
    self->writing_ = false;
    // If the pipe was stalled meanwhile, the piece is sent after the stall.
    if (!self->stalled_) self->WritePiece();
  });
}

void DelayPipe::WritePiece() {
  if (queue_.front().bytes.empty()) {
    error_code ignored;
    to_.shutdown(Socket::shutdown_send, ignored);
    return End(false);
  }
  writing_ = true;
  asio::async_write(to_, asio::buffer(queue_.front().bytes),
                    [self = shared_from_this(), owner = owner_](error_code error, size_t size) {
                      self->writing_ = false;
                      if (self->closed_) return;
                      if (error) return self->End(true);
                      self->queued_bytes_ -= size;
                      self->queue_.pop_front();
                      self->Read();
                      self->Write();
                    });
}

}  // namespace millstair
