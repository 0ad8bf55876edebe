/// Loopback helpers of the HTTP tests: a raw client, a scripted raw server, and a recording
/// observer.
#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "http/exchange.h"
#include "runtime/endpoint.h"

namespace millstair::testing {

using Tcp = boost::asio::ip::tcp;

/// A blocking client that sends and receives raw bytes.
class RawClient {
 public:
  explicit RawClient(const std::string& address) : socket_(io_) {
    socket_.connect(*ParseEndpoint(address));
    // A server that does not respond fails the test instead of blocking it.
    const timeval limit{10, 0};
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }

  bool Send(const std::string& bytes) {
    boost::system::error_code error;
    boost::asio::write(socket_, boost::asio::buffer(bytes), error);
    return !error;
  }

  /// Reads until `text` was received; false if the connection ended first.
  bool ReadUntil(const std::string& text) {
    while (received_.find(text) == std::string::npos) {
      if (!ReadSome()) return false;
    }
    return true;
  }

  /// Reads to the end of the connection. Sets `reset` if it was reset.
  std::string ReadAll() {
    while (ReadSome()) {
    }
    return received_;
  }

  bool ReadSome() {
    char bytes[4096];
    const ssize_t count = ::recv(socket_.native_handle(), bytes, sizeof(bytes), 0);
    if (count < 0) reset_ = errno == ECONNRESET;
    if (count <= 0) return false;
    received_.append(bytes, static_cast<size_t>(count));
    return true;
  }

  bool reset() const { return reset_; }
  const std::string& received() const { return received_; }
  void Forget() { received_.clear(); }
  void Close() { socket_.close(); }
  Tcp::socket& socket() { return socket_; }

 private:
  boost::asio::io_context io_;
  Tcp::socket socket_;
  std::string received_;
  bool reset_ = false;
};

/// Accepts connections one after another and runs `serve(socket, number)` on a thread for each.
class RawServer {
 public:
  using Serve = std::function<void(Tcp::socket&, int number)>;

  explicit RawServer(Serve serve)
      : acceptor_(io_, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        address_(FormatEndpoint(acceptor_.local_endpoint())),
        thread_([this, serve = std::move(serve)] { Run(serve); }) {}

  ~RawServer() {
    stopping_ = true;
    boost::system::error_code ignored;
    Tcp::socket wake(io_);
    wake.connect(*ParseEndpoint(address_), ignored);
    thread_.join();
    for (std::thread& worker : workers_) worker.join();
  }

  const std::string& address() const { return address_; }

  /// Reads up to the end of a request head; the body must have been sent with it. Empty if the peer
  /// closed.
  static std::string ReadRequest(Tcp::socket& socket) {
    std::string bytes;
    char piece[4096];
    while (bytes.find("\r\n\r\n") == std::string::npos) {
      boost::system::error_code error;
      const size_t count = socket.read_some(boost::asio::buffer(piece), error);
      if (error) return "";
      bytes.append(piece, count);
    }
    return bytes;
  }

  static void Write(Tcp::socket& socket, const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
  }

 private:
  void Run(const Serve& serve) {
    for (int number = 0; !stopping_; ++number) {
      auto socket = std::make_shared<Tcp::socket>(io_);
      acceptor_.accept(*socket);
      if (stopping_) return;
      workers_.emplace_back([serve, socket, number] { serve(*socket, number); });
    }
  }

  boost::asio::io_context io_;
  Tcp::acceptor acceptor_;
  std::string address_;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> workers_;
  std::thread thread_;
};

/// Records a call; `Wait` blocks until it has ended.
class RecordingObserver : public HttpCallObserver {
 public:
  void OnHead(const HttpResponseHead& head) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    head_ = head;
  }
  void OnBody(std::string bytes) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    body_ += bytes;
    changed_.notify_all();
  }
  void OnFinished() override { End(std::nullopt, ""); }
  void OnFailed(CallFailure failure, const std::string& reason) override { End(failure, reason); }

  void Wait() {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [this] { return ended_; });
  }
  void WaitForBody(const std::string& text) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [&] { return body_.find(text) != std::string::npos || ended_; });
  }

  bool finished() const { return ended_ && !failure_.has_value(); }
  std::optional<CallFailure> failure() const { return failure_; }
  const std::string& reason() const { return reason_; }
  int status() const { return head_.status; }
  const HttpResponseHead& head() const { return head_; }
  const std::string& body() const { return body_; }

 private:
  void End(std::optional<CallFailure> failure, const std::string& reason) {
    const std::lock_guard<std::mutex> lock(mutex_);
    failure_ = failure;
    reason_ = reason;
    ended_ = true;
    changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  HttpResponseHead head_;
  std::string body_;
  std::optional<CallFailure> failure_;
  std::string reason_;
  bool ended_ = false;
};

}  // namespace millstair::testing
