/// One direction of a relayed TCP connection: bytes are forwarded `latency` after they were read.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace millstair {

/// All calls and handlers run on one thread.
class DelayPipe : public std::enable_shared_from_this<DelayPipe> {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  /// Called once; `broken` is false if the end of the stream was forwarded.
  using Ended = std::function<void(bool broken)>;

  /// Handlers hold `owner`, which keeps the sockets alive.
  DelayPipe(std::shared_ptr<void> owner, Socket& from, Socket& to,
            std::chrono::microseconds latency, Ended ended);

  /// Starts reading.
  void Start();
  /// While stalled, nothing is read or written; queued bytes wait.
  void SetStalled(bool stalled);
  /// Applies to bytes read from now on.
  void SetLatency(std::chrono::microseconds latency) { latency_ = latency; }
  /// Handlers have no effect after this call.
  void Close();

 private:
  using Clock = std::chrono::steady_clock;
  struct Piece {
    Clock::time_point due;
    /// Empty for the end of the stream.
    std::vector<char> bytes;
  };
  static constexpr size_t kReadBytes = 64 * 1024;
  static constexpr size_t kMaxQueuedBytes = 4 * 1024 * 1024;

  void Read();
  void Write();
  void WritePiece();
  void End(bool broken);

  std::shared_ptr<void> owner_;
  Socket& from_;
  Socket& to_;
  std::chrono::microseconds latency_;
  Ended ended_;
  boost::asio::steady_timer timer_;
  std::vector<char> buffer_;
  std::deque<Piece> queue_;
  size_t queued_bytes_ = 0;
  bool reading_ = false;
  bool writing_ = false;
  bool stalled_ = false;
  bool end_read_ = false;
  bool closed_ = false;
};

}  // namespace millstair
