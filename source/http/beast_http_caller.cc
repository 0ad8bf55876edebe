#include "http/beast_http_caller.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <cstdint>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "fmt/format.h"
#include "http/connection_pool.h"
#include "http/header_rules.h"
#include "runtime/endpoint.h"

namespace millstair {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ResponseParser = http::response_parser<http::buffer_body>;

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);

/// The serialized head of the request; empty if it holds characters that HTTP does not allow.
std::string FormatHead(const std::string& address, const HttpRequest& request,
                       const std::string& call_id) {
  if (!IsToken(request.method) || !IsRequestTarget(request.target)) return "";
  std::string text = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
  HttpHeaders headers = WithoutHeader(EndToEndHeaders(request.headers), "Content-Length");
  headers = WithoutHeader(std::move(headers), kCallIdHeader);
  if (!call_id.empty()) headers.push_back({std::string(kCallIdHeader), call_id});
  if (!FindHeader(headers, "Host").has_value()) text += fmt::format("Host: {}\r\n", address);
  for (const HttpHeader& header : headers) {
    if (!IsToken(header.name) || !IsFieldValue(header.value)) return "";
    text += fmt::format("{}: {}\r\n", header.name, header.value);
  }
  const bool bodiless = request.method == "GET" || request.method == "HEAD";
  if (!request.body.empty() || !bodiless) {
    text += fmt::format("Content-Length: {}\r\n", request.body.size());
  }
  text += "\r\n";
  return text;
}

HttpResponseHead HeadOf(const ResponseParser& parser) {
  HttpResponseHead head;
  head.status = static_cast<int>(parser.get().result_int());
  for (const auto& field : parser.get()) {
    head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  head.headers = WithoutHeader(EndToEndHeaders(head.headers), kCallIdHeader);
  return head;
}

/// Unique in this process, and across processes with high probability.
std::string NewCallId() {
  static const uint64_t process =
      (static_cast<uint64_t>(std::random_device()()) << 32) | std::random_device()();
  static std::atomic<uint64_t> count{0};
  return fmt::format("{:x}-{:x}", process, ++count);
}

/// One call. The coroutine runs on `strand_`; members marked so are used on the serial executor.
class Call : public std::enable_shared_from_this<Call> {
 public:
  Call(std::shared_ptr<HttpConnectionPool> pool, std::shared_ptr<SerialExecutor> executor,
       std::string address, HttpRequest request, HttpCallObserver& observer)
      : pool_(std::move(pool)),
        executor_(std::move(executor)),
        address_(std::move(address)),
        request_(std::move(request)),
        strand_(asio::make_strand(pool_->io().get_executor())),
        watchdog_(strand_),
        acknowledged_(strand_),
        observer_(&observer) {}

  void Start() {
    pool_->stats().calls.Add();
    asio::co_spawn(
        strand_, [self = shared_from_this()] { return self->Run(); }, asio::detached);
  }

  /// Called on the executor. The observer gets no further callbacks.
  void Cancel() {
    observer_ = nullptr;
    asio::post(strand_, [self = shared_from_this()] {
      self->cancelled_ = true;
      self->CloseSocket();
      self->acknowledged_.cancel();
    });
  }

  /// Called on the executor.
  void Pause() { paused_ = true; }
  void Resume() {
    paused_ = false;
    if (std::exchange(acknowledgement_pending_, false)) Acknowledge();
  }

 private:
  // --- on the strand -------------------------------------------------------------------------

  asio::awaitable<void> Run() {
    const auto self = shared_from_this();
    const std::string head = FormatHead(address_, request_, call_id_);
    if (head.empty()) {
      Fail(CallFailure::kNotSent, "the request holds characters that HTTP does not allow");
      co_return;
    }
    const bool sent = co_await SendRequest(head);
    // The flow keeps the body as long as it may send the request again.
    request_.body = HttpBody();
    if (!sent) co_return;
    ResponseParser parser;
    parser.header_limit(static_cast<uint32_t>(pool_->options().max_header_bytes));
    parser.body_limit(boost::none);
    if (request_.method == "HEAD") parser.skip(true);
    // The parser keeps a line of a head or of the framing of chunks until it is whole, and trailers
    // until their end.
    boost::beast::flat_buffer buffer(pool_->options().max_header_bytes +
                                     pool_->options().read_bytes);
    if (!co_await ReadHead(buffer, parser)) co_return;
    if (!co_await ReadBody(buffer, parser)) co_return;
    if (parser.get().keep_alive() && buffer.size() == 0) Keep(parser.get().result_int());
    // A connection that isn't kept is closed in order: a reset could discard bytes in transit.
    socket_.reset();
    NotifyObserver([](HttpCallObserver& observer) { observer.OnFinished(); });
  }

  /// Returns the connection to the pool after a response of `status`.
  void Keep(unsigned status) {
    if (!request_.request_id.empty() && !IsSuccess(static_cast<int>(status))) {
      repeatable_.Add(request_.request_id, std::chrono::steady_clock::now());
    }
    pool_->Put(address_, {std::move(*socket_), std::move(repeatable_)});
  }

  /// Writes the request on a pooled connection, or on a new one if no byte could be written there.
  asio::awaitable<bool> SendRequest(const std::string& head) {
    const size_t size = head.size() + request_.body.size();
    waiting_since_ = std::chrono::steady_clock::now();
    if (auto kept = pool_->Take(address_, request_.request_id)) {
      socket_.emplace(std::move(kept->socket));
      repeatable_ = std::move(kept->repeatable);
    }
    if (socket_.has_value() && !cancelled_) {
      const size_t written = co_await Write(head);
      if (written == size) co_return true;
      if (written > 0) {
        Fail(CallFailure::kUnknown, "the connection broke while the request was written");
        co_return false;
      }
    }
    if (!co_await Connect()) co_return false;
    const size_t written = co_await Write(head);
    if (written == size) co_return true;
    Fail(written == 0 ? CallFailure::kNotSent : CallFailure::kUnknown,
         "the connection broke while the request was written");
    co_return false;
  }

  asio::awaitable<bool> Connect() {
    const absl::StatusOr<Tcp::endpoint> endpoint = ParseEndpoint(address_);
    if (!endpoint.ok()) {
      Fail(CallFailure::kNotSent, std::string(endpoint.status().message()));
      co_return false;
    }
    if (cancelled_) co_return false;
    socket_.emplace(pool_->io());
    repeatable_ = {};
    ArmWatchdog(pool_->options().connect_timeout);
    const auto [error] = co_await socket_->async_connect(*endpoint, kUseTuple);
    watchdog_.cancel();
    if (error || cancelled_ || !socket_->is_open()) {
      Fail(CallFailure::kNotSent,
           fmt::format("can't connect to {}: {}", address_, error ? error.message() : "timed out"));
      co_return false;
    }
    boost::system::error_code ignored;
    socket_->set_option(Tcp::no_delay(true), ignored);
    pool_->stats().connections_opened.Add();
    co_return true;
  }

  /// Writes head and body. Returns the number of bytes written; fewer than all mean that the
  /// connection failed.
  asio::awaitable<size_t> Write(const std::string& head) {
    const HttpCallerOptions& options = pool_->options();
    const auto deadline = std::chrono::steady_clock::now() + options.write_timeout;
    const std::string& body = request_.body.str();
    size_t written = 0;
    while (written < head.size() + body.size()) {
      const auto left =
          std::chrono::duration_cast<Duration>(deadline - std::chrono::steady_clock::now());
      ArmWatchdog(std::min(left, options.read_timeout));
      const size_t of_body = written - std::min(written, head.size());
      const std::array<asio::const_buffer, 2> rest = {asio::buffer(head) + written,
                                                      asio::buffer(body) + of_body};
      const auto [error, count] = co_await socket_->async_write_some(rest, kUseTuple);
      watchdog_.cancel();
      if (error) break;
      written += count;
    }
    co_return written;
  }

  asio::awaitable<bool> ReadHead(boost::beast::flat_buffer& buffer, ResponseParser& parser) {
    ArmWatchdog(pool_->options().read_timeout);
    const auto [error, count] =
        co_await http::async_read_header(*socket_, buffer, parser, kUseTuple);
    watchdog_.cancel();
    if (count > 0 || buffer.size() > 0) RecordResponse();
    if (error) {
      Fail(CallFailure::kUnknown,
           fmt::format("no response from {}: {}", address_, error.message()));
      co_return false;
    }
    if (!parser.is_done() && parser.need_eof() && !pool_->options().until_close) {
      Fail(CallFailure::kCut, "the response has no length");
      co_return false;
    }
    if (parser.get().result_int() < 200) {
      // A 1xx response that was not requested; the final response can't be identified reliably.
      Fail(CallFailure::kUnknown, "unexpected interim response");
      co_return false;
    }
    if (call_id_.empty()) {
      NotifyObserver(
          [head = HeadOf(parser)](HttpCallObserver& observer) { observer.OnHead(head); });
      co_return true;
    }
    const auto echoed_id =
        parser.get().find(boost::beast::string_view(kCallIdHeader.data(), kCallIdHeader.size()));
    if (echoed_id != parser.get().end() && echoed_id->value() != call_id_) {
      pool_->stats().foreign_answers.Add();
      Fail(CallFailure::kUnknown, "the response belongs to another call");
      co_return false;
    }
    NotifyObserver([head = HeadOf(parser)](HttpCallObserver& observer) { observer.OnHead(head); });
    co_return true;
  }

  asio::awaitable<bool> ReadBody(boost::beast::flat_buffer& buffer, ResponseParser& parser) {
    std::vector<char> piece(pool_->options().read_bytes);
    while (!parser.is_done()) {
      parser.get().body().data = piece.data();
      parser.get().body().size = piece.size();
      ArmWatchdog(pool_->options().read_timeout);
      const auto [error, read] =
          co_await http::async_read_some(*socket_, buffer, parser, kUseTuple);
      watchdog_.cancel();
      const size_t count = piece.size() - parser.get().body().size;
      if (count > 0) co_await Deliver(std::string(piece.data(), count));
      if (cancelled_) co_return false;
      if (error && error != http::error::need_buffer) {
        Fail(CallFailure::kCut, fmt::format("the response was truncated: {}", error.message()));
        co_return false;
      }
    }
    co_return true;
  }

  /// Passes `bytes` to the observer and waits until it accepts more.
  asio::awaitable<void> Deliver(std::string bytes) {
    delivered_ = false;
    executor_->Post([self = shared_from_this(), bytes = std::move(bytes)]() mutable {
      if (self->observer_ == nullptr) return;
      self->observer_->OnBody(std::move(bytes));
      if (self->paused_) {
        self->acknowledgement_pending_ = true;
      } else {
        self->Acknowledge();
      }
    });
    while (!delivered_ && !cancelled_) {
      acknowledged_.expires_at(std::chrono::steady_clock::time_point::max());
      co_await acknowledged_.async_wait(kUseTuple);
    }
  }

  void ArmWatchdog(Duration timeout) {
    watchdog_.expires_after(timeout);
    watchdog_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
      const auto self = weak.lock();
      if (!error && self) self->CloseSocket();
    });
  }

  void RecordResponse() {
    waiting_since_.reset();
    pool_->RecordResponse(address_);
  }

  /// Closes the connection with a reset, so that the kernel discards bytes that the back end has
  /// not received. After an orderly close it would go on to retransmit them, and a back end that
  /// was cut off would run the request after its caller has gone.
  void CloseSocket() {
    if (waiting_since_) pool_->RecordNoResponse(address_, *std::exchange(waiting_since_, {}));
    if (!socket_.has_value()) return;
    boost::system::error_code ignored;
    socket_->set_option(asio::socket_base::linger(true, 0), ignored);
    socket_->close(ignored);
  }

  void Fail(CallFailure failure, std::string reason) {
    CloseSocket();
    if (cancelled_) return;
    HttpCallerStats& stats = pool_->stats();
    if (failure == CallFailure::kNotSent) stats.failed_not_sent.Add();
    if (failure == CallFailure::kUnknown) stats.failed_unknown.Add();
    if (failure == CallFailure::kCut) stats.failed_cut.Add();
    NotifyObserver([failure, reason = std::move(reason)](HttpCallObserver& observer) {
      observer.OnFailed(failure, reason);
    });
  }

  // --- on the executor -----------------------------------------------------------------------

  template <class Event>
  void NotifyObserver(Event event) {
    executor_->Post([self = shared_from_this(), event = std::move(event)] {
      if (self->observer_ != nullptr) event(*self->observer_);
    });
  }

  void Acknowledge() {
    asio::post(strand_, [self = shared_from_this()] {
      self->delivered_ = true;
      self->acknowledged_.cancel();
    });
  }

  const std::shared_ptr<HttpConnectionPool> pool_;
  const std::shared_ptr<SerialExecutor> executor_;
  const std::string address_;
  HttpRequest request_;
  const std::string call_id_ = pool_->options().call_ids ? NewCallId() : std::string();
  asio::strand<asio::io_context::executor_type> strand_;
  asio::steady_timer watchdog_;
  asio::steady_timer acknowledged_;
  std::optional<Tcp::socket> socket_;
  /// Of the connection.
  RepeatableRequests repeatable_;
  /// When the call began to connect or write; none before, and after the first byte of a response.
  std::optional<std::chrono::steady_clock::time_point> waiting_since_;
  bool cancelled_ = false;
  bool delivered_ = false;

  /// Used on the executor; null once the handle was dropped.
  HttpCallObserver* observer_;
  bool paused_ = false;
  bool acknowledgement_pending_ = false;
};

class Handle : public CallHandle {
 public:
  explicit Handle(std::shared_ptr<Call> call) : call_(std::move(call)) {}
  ~Handle() override { call_->Cancel(); }
  void PauseReading() override { call_->Pause(); }
  void ResumeReading() override { call_->Resume(); }

 private:
  std::shared_ptr<Call> call_;
};

}  // namespace

BeastHttpCaller::BeastHttpCaller(Runtime& runtime, std::shared_ptr<SerialExecutor> executor,
                                 HttpCallerOptions options, StatsRegistry* stats)
    : runtime_(runtime),
      executor_(std::move(executor)),
      pool_(std::make_shared<HttpConnectionPool>(runtime_.io(), options, stats)) {}

BeastHttpCaller::~BeastHttpCaller() { pool_->Close(); }

std::unique_ptr<CallHandle> BeastHttpCaller::Start(const std::string& address, HttpRequest request,
                                                   HttpCallObserver& observer) {
  const auto call = std::make_shared<Call>(pool_, executor_, address, std::move(request), observer);
  call->Start();
  return std::make_unique<Handle>(call);
}

}  // namespace millstair
