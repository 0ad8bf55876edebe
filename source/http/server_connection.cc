#include "http/server_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "common/event_log.h"
#include "http/header_rules.h"
#include "http/problem.h"
#include "http/request_head_check.h"
#include "http/response_channel.h"
#include "http/response_writer.h"

namespace millstair {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using SteadyTime = std::chrono::steady_clock::time_point;
using RequestParser = http::request_parser<http::string_body>;

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
/// Limit on the bytes of a request that are read before they are parsed.
constexpr size_t kReadAheadBytes = 64 * 1024;
constexpr size_t kReadBytes = 16 * 1024;
/// Bytes that each connection may read without a claim on the memory of requests; also the limit on
/// what is read ahead while a request is served.
constexpr size_t kUncountedInput = 4 * 1024;
/// How often a head is held while its request runs: parsed, for the flow, for an attempt, and as it
/// is sent.
constexpr size_t kHeadCopies = 4;
/// Memory of a header beside its text, in each copy.
constexpr size_t kHeaderBytes = 64;
/// Receive buffer of the kernel while a large body is read.
constexpr size_t kLargeReceiveBuffer = 64 * 1024;
/// Responses are written in steps of this size, so that the progress of a slow reader is seen.
constexpr size_t kWriteBytes = 64 * 1024;
/// Bytes that the kernel may hold before they are sent. Its default, up to several MiB for each
/// connection, would hide the progress of a slow reader until a third of it was read.
constexpr int kUnsentLowWaterBytes = 128 * 1024;
/// Limit on the target of a request in the log.
constexpr size_t kLoggedTargetBytes = 200;
/// How often a body that waits for memory looks for senders that have become slow.
constexpr std::chrono::milliseconds kMemoryCheckInterval{250};
/// How long input of a refused client is discarded before the connection is closed.
constexpr std::chrono::milliseconds kLingerTime{500};

}  // namespace

/// Lives on a strand and is shared by two coroutines: one reads ahead and detects that the client
/// disconnected, the other serves the requests.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(Tcp::socket socket, std::shared_ptr<HttpServerContext> context)
      : context_(std::move(context)),
        strand_(asio::make_strand(socket.get_executor())),
        socket_(std::move(socket)),
        serve_wake_timer_(strand_),
        read_wake_timer_(strand_),
        watchdog_(strand_),
        input_(context_->options.request_memory, ClaimKind::kInput) {}

  ~ServerConnection() {
    const std::lock_guard<std::mutex> lock(context_->mutex);
    context_->open.erase(this);
    context_->open_connections->Set(static_cast<double>(context_->open.size()));
  }

  void Start() {
    boost::system::error_code ignored;
    socket_.set_option(Tcp::no_delay(true), ignored);
    // Only affects how soon progress is seen, so a failure is ignored.
    static_cast<void>(::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
                                   &kUnsentLowWaterBytes, sizeof(kUnsentLowWaterBytes)));
    asio::co_spawn(
        strand_, [self = shared_from_this()] { return self->ReadAhead(); }, asio::detached);
    asio::co_spawn(
        strand_, [self = shared_from_this()] { return self->ServeAll(); }, asio::detached);
  }

  /// Called once, before Start. Null if there is no bound.
  void SetPlace(std::unique_ptr<ConnectionLimit::Place> place) { place_ = std::move(place); }

  /// Ends the connection for another one that needs its place. Called on any thread.
  void PostEvict() {
    asio::post(strand_, [self = shared_from_this()] {
      if (self->channel_ != nullptr) return self->Reset();
      self->Close();
    });
  }

  void PostClose() {
    asio::post(strand_, [self = shared_from_this()] { self->Close(); });
  }

 private:
  // --- reading -------------------------------------------------------------------------------

  asio::awaitable<void> ReadAhead() {
    const auto self = shared_from_this();
    boost::system::error_code error;
    socket_.non_blocking(true, error);
    while (!closed_ && !error) {
      if (RoomToRead() == 0) {
        read_wake_timer_.expires_at(SteadyTime::max());
        co_await read_wake_timer_.async_wait(kUseTuple);
        continue;
      }
      // Waits without a buffer, so that a connection that rests holds none.
      const auto [wait_error] = co_await socket_.async_wait(Tcp::socket::wait_read, kUseTuple);
      if (wait_error) break;
      error = ReadAvailable();
      serve_wake_timer_.cancel();
    }
    client_ended_ = true;
    serve_wake_timer_.cancel();
  }

  /// Reads what has arrived, as far as there is room.
  boost::system::error_code ReadAvailable() {
    std::array<char, kReadBytes> bytes;
    boost::system::error_code error;
    size_t wanted = 0;
    size_t count = 0;
    while (count == wanted) {
      wanted = std::min(bytes.size(), RoomToRead());
      if (wanted == 0) return {};
      count = socket_.read_some(asio::buffer(bytes.data(), wanted), error);
      if (error == asio::error::would_block) return {};
      if (error) return error;
      received_.append(bytes.data(), count);
    }
    return {};
  }

  /// Number of bytes that may be read now. If 0, there is room once some were consumed.
  size_t RoomToRead() {
    const size_t size = received_.size();
    input_refused_ = false;
    if (size < kUncountedInput) return kUncountedInput - size;
    if (serving_ || size >= ReadLimit()) return 0;
    const size_t wanted = std::min(ReadLimit(), size + kReadBytes);
    // A string that grows takes up to twice its size.
    const size_t claimed = 2 * wanted;
    if (claimed > input_bytes_) {
      input_refused_ = !input_.Resize(claimed);
      if (input_refused_) {
        serve_wake_timer_.cancel();
        return 0;
      }
      input_bytes_ = claimed;
    }
    return wanted - size;
  }

  size_t ReadLimit() const { return std::max(kReadAheadBytes, context_->options.max_header_bytes); }

  /// Waits for received bytes, the end of the input, or the writer. False on reaching `deadline`.
  asio::awaitable<bool> WaitForWake(SteadyTime deadline) {
    serve_wake_timer_.expires_at(deadline);
    const auto [error] = co_await serve_wake_timer_.async_wait(kUseTuple);
    co_return error == asio::error::operation_aborted;
  }

  void Consume(size_t count) {
    received_.erase(0, count);
    if (received_.empty() && input_bytes_ > 0) {
      std::string().swap(received_);
      input_.Resize(0);
      input_bytes_ = 0;
    }
    read_wake_timer_.cancel();
  }

  // --- serving -------------------------------------------------------------------------------

  asio::awaitable<void> ServeAll() {
    const auto self = shared_from_this();
    while (!closed_) {
      if (!co_await ServeOne()) break;
    }
    Close();
  }

  /// Serves one request. False if the connection must be closed.
  asio::awaitable<bool> ServeOne() {
    const std::optional<size_t> head_size = co_await ReadHead();
    if (!head_size.has_value()) co_return false;
    if (const auto fault = CheckRequestHead(std::string_view(received_).substr(0, *head_size))) {
      co_await Refuse(fault->status, fault->reason);
      co_return false;
    }
    RequestMemory::Claim head(context_->options.request_memory);
    if (!head.Resize(MemoryOfHead(*head_size))) {
      co_await Refuse(MemoryShortProblem());
      co_return false;
    }
    RequestParser parser;
    parser.header_limit(static_cast<uint32_t>(context_->options.max_header_bytes));
    parser.body_limit(context_->options.max_body_bytes);
    boost::system::error_code error;
    Consume(parser.put(asio::buffer(received_.data(), *head_size), error));
    if (error || !parser.is_header_done()) {
      co_await Refuse(StatusOf(error), ReasonOf(error));
      co_return false;
    }
    HttpRequest request = RequestOf(parser);
    if (!parser.is_done()) {
      const auto claim = std::make_shared<RequestMemory::Claim>(context_->options.request_memory);
      if (!co_await ClaimMemory(parser, *claim)) co_return false;
      if (!co_await ReadBody(parser, *claim)) co_return false;
      request.body = HttpBody(std::move(parser.get().body()), claim);
    }
    co_return co_await Answer(std::move(request), parser);
  }

  /// Memory of a received head of `size` bytes until its request was answered.
  size_t MemoryOfHead(size_t size) const {
    const auto end = received_.begin() + static_cast<std::ptrdiff_t>(size);
    const auto lines = static_cast<size_t>(std::count(received_.begin(), end, '\n'));
    return kHeadCopies * (size + lines * kHeaderBytes);
  }

  /// Reads the next request's head and returns its size; none if the connection must be closed.
  asio::awaitable<std::optional<size_t>> ReadHead() {
    const HttpServerOptions& options = context_->options;
    SteadyTime deadline = std::chrono::steady_clock::now() + options.idle_timeout;
    bool begun = false;
    serving_ = false;
    // Reading goes on, and finds out whether there is room for more.
    input_refused_ = false;
    read_wake_timer_.cancel();
    while (true) {
      if (!begun && !received_.empty()) {
        begun = true;
        deadline = std::chrono::steady_clock::now() + options.header_timeout;
      }
      Await(begun || !answered_ ? ConnectionWait::kRequest : ConnectionWait::kNextRequest);
      const size_t end = received_.find(kHeadEnd);
      if (end != std::string::npos && end + kHeadEnd.size() <= options.max_header_bytes) {
        co_return end + kHeadEnd.size();
      }
      if (received_.size() >= options.max_header_bytes) {
        co_await Refuse(431, "header-too-large");
        co_return std::nullopt;
      }
      if (client_ended_ || closed_) co_return std::nullopt;
      if (input_refused_) {
        co_await Refuse(MemoryShortProblem());
        co_return std::nullopt;
      }
      if (!co_await WaitForWake(deadline)) {
        if (begun) co_await Refuse(408, "header-timeout");
        co_return std::nullopt;
      }
    }
  }

  /// Waits until the memory of the body is granted: all of it if its length is known, otherwise a
  /// first part. False if the connection must be closed.
  asio::awaitable<bool> ClaimMemory(const RequestParser& parser, RequestMemory::Claim& claim) {
    Serve();
    const SteadyTime deadline = std::chrono::steady_clock::now() + context_->options.memory_timeout;
    const size_t length = LengthOf(parser).value_or(kReadAheadBytes);
    const bool more = IsLarge(length) && context_->options.receive_buffer_bytes > 0;
    claim.Request(length + (more ? kLargeReceiveBuffer : 0), [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->WakeServing();
    });
    while (!claim.granted()) {
      if (client_ended_ || closed_) co_return false;
      const SteadyTime now = std::chrono::steady_clock::now();
      if (now >= deadline) {
        co_await Refuse(MemoryShortProblem());
        co_return false;
      }
      claim.AskForRoom();
      co_await WaitForWake(std::min(deadline, now + kMemoryCheckInterval));
    }
    co_return true;
  }

  static std::optional<size_t> LengthOf(const RequestParser& parser) {
    const auto length = parser.content_length();
    return length.has_value() ? std::optional<size_t>(*length) : std::nullopt;
  }

  /// Reads the body into `parser`. False if the connection must be closed.
  asio::awaitable<bool> ReadBody(RequestParser& parser, RequestMemory::Claim& claim) {
    if (!co_await AnswerExpectation(parser)) co_return false;
    parser.eager(true);
    const HttpServerOptions& options = context_->options;
    const SteadyTime deadline = std::chrono::steady_clock::now() + options.body_timeout;
    claim.BeginReceiving([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->WakeServing();
    });
    const bool large = IsLarge(LengthOf(parser).value_or(0));
    if (large) SetReceiveBuffer(kLargeReceiveBuffer);
    while (!parser.is_done()) {
      if (!LengthOf(parser) && !MakeRoom(parser.get().body(), claim)) {
        co_await Refuse(MemoryShortProblem());
        co_return false;
      }
      boost::system::error_code error;
      const size_t used = parser.put(asio::buffer(received_), error);
      Consume(used);
      claim.NoteReceived(used);
      Await(ConnectionWait::kRequest);
      if (error && error != http::error::need_more) {
        co_await Refuse(StatusOf(error), ReasonOf(error));
        co_return false;
      }
      if (parser.is_done()) break;
      if (used > 0 && !received_.empty()) continue;
      if (received_.size() >= ReadLimit()) {
        co_await Refuse(400, "bad-chunk");
        co_return false;
      }
      if (client_ended_ || closed_) co_return false;
      if (claim.is_cut()) {
        co_await Refuse(408, "slow-sender");
        co_return false;
      }
      if (!co_await WaitForWake(deadline)) {
        co_await Refuse(408, "body-timeout");
        co_return false;
      }
    }
    claim.EndReceiving();
    if (large) SetReceiveBuffer(context_->options.receive_buffer_bytes);
    co_return true;
  }

  static bool IsLarge(size_t length) { return length > kReadAheadBytes; }

  /// Makes room in a body of unknown length for what was received. A string that grows by itself
  /// takes up to twice its size. False if the memory of requests does not suffice.
  bool MakeRoom(std::string& body, RequestMemory::Claim& claim) const {
    const size_t needed = body.size() + received_.size();
    if (needed <= body.capacity()) return true;
    size_t capacity = kReadAheadBytes;
    if (needed > capacity) {
      capacity = std::max(needed, std::min(needed + needed / 4, context_->options.max_body_bytes));
    }
    if (!claim.Resize(capacity)) return false;
    std::string larger;
    larger.reserve(capacity);
    larger.append(body);
    body.swap(larger);
    return true;
  }

  void SetReceiveBuffer(size_t bytes) {
    if (context_->options.receive_buffer_bytes == 0) return;
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(bytes)), ignored);
  }

  asio::awaitable<bool> AnswerExpectation(const RequestParser& parser) {
    const auto expect = parser.get().find(http::field::expect);
    if (expect == parser.get().end()) co_return true;
    if (!boost::beast::iequals(expect->value(), "100-continue")) {
      co_await Refuse(417, "unknown-expectation");
      co_return false;
    }
    co_return co_await Write(std::string(kContinue));
  }

  HttpRequest RequestOf(const RequestParser& parser) const {
    HttpRequest request;
    request.method = std::string(parser.get().method_string());
    request.target = std::string(parser.get().target());
    for (const auto& field : parser.get()) {
      request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.headers = WithoutHeader(EndToEndHeaders(request.headers), "Content-Length");
    return request;
  }

  // --- answering -----------------------------------------------------------------------------

  asio::awaitable<bool> Answer(HttpRequest request, const RequestParser& parser) {
    Serve();
    serving_ = true;
    context_->requests->Add();
    ++context_->running;
    const auto channel = NewChannel(request);
    ResponseFraming framing;
    framing.head_request = request.method == "HEAD";
    framing.http_1_1 = parser.get().version() == 11;
    framing.keep_alive = parser.get().keep_alive() && !context_->draining &&
                         !context_->closes_after_response && !LacksPlaces();
    framing.call_id = FindHeader(request.headers, kCallIdHeader).value_or("");
    request.headers = WithoutHeader(std::move(request.headers), kCallIdHeader);
    auto writer = std::make_shared<FramedResponseWriter>(channel, framing);
    const std::weak_ptr<FramedResponseWriter> weak_writer = writer;
    context_->executor->Post(
        [context = context_, request = std::move(request), writer = std::move(writer)]() mutable {
          if (context->handler == nullptr) return;
          context->handler->Handle(std::move(request), std::move(writer));
        });
    const bool keep = co_await Relay(*channel, weak_writer);
    channel_.reset();
    channel->Discard();
    --context_->running;
    answered_ = true;
    co_return keep;
  }

  std::shared_ptr<ResponseChannel> NewChannel(const HttpRequest& request) {
    const std::weak_ptr<ServerConnection> weak = weak_from_this();
    ChannelCount count{context_->options.held_bytes, NameForLog(request), [weak] {
                         if (const auto self = weak.lock()) self->PostCut();
                       }};
    channel_ = std::make_shared<ResponseChannel>(
        context_->options.send_buffer_bytes,
        [weak] {
          if (const auto self = weak.lock()) self->WakeServing();
        },
        std::move(count));
    return channel_;
  }

  /// Its identifier if it has one, else its method and target.
  std::string NameForLog(const HttpRequest& request) const {
    const std::string& name = context_->options.request_id_header;
    const auto id = name.empty() ? std::nullopt : FindHeader(request.headers, name);
    if (id) return std::string(id->substr(0, kLoggedTargetBytes));
    return request.method + " " + request.target.substr(0, kLoggedTargetBytes);
  }

  /// Sends the writer's output until the response ends. False if the connection must be closed.
  asio::awaitable<bool> Relay(ResponseChannel& channel,
                              std::weak_ptr<FramedResponseWriter> writer) {
    while (true) {
      ChannelContent content = channel.Take();
      if (content.aborted) {
        Reset();
        co_return false;
      }
      if (closed_ || (client_ended_ && !content.finished)) {
        ReportCallerDisconnected(writer);
        co_return false;
      }
      if (!content.bytes.empty()) {
        const size_t count = content.bytes.size();
        const bool written = co_await WritePiece(std::move(content.bytes), channel, writer);
        channel.Release(count);
        if (!written) {
          ReportCallerDisconnected(writer);
          co_return false;
        }
        continue;
      }
      if (content.finished) co_return content.keep_alive;
      co_await WaitForWake(SteadyTime::max());
    }
  }

  /// Writes a piece of the response; the writer learns of free space as soon as there is some.
  asio::awaitable<bool> WritePiece(std::string bytes, ResponseChannel& channel,
                                   std::weak_ptr<FramedResponseWriter> writer) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const size_t step = std::min(kWriteBytes, bytes.size() - sent);
      const size_t count = co_await WriteSome(asio::buffer(bytes.data() + sent, step));
      if (count == 0) co_return false;
      sent += count;
      if (!channel.Sent(count)) continue;
      context_->executor->Post([writer] {
        if (const auto alive = writer.lock()) alive->NotifyWritable();
      });
    }
    co_return true;
  }

  void ReportCallerDisconnected(const std::weak_ptr<FramedResponseWriter>& writer) {
    context_->callers_disconnected->Add();
    context_->executor->Post([writer] {
      if (const auto alive = writer.lock()) alive->NotifyCallerDisconnected();
    });
  }

  /// Called by the writer, on its thread. Wakes that arrive before the strand runs are merged.
  void WakeServing() {
    if (wake_posted_.exchange(true)) return;
    asio::post(strand_, [self = shared_from_this()] {
      self->wake_posted_ = false;
      self->serve_wake_timer_.cancel();
    });
  }

  asio::awaitable<bool> Write(std::string bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const size_t count =
          co_await WriteSome(asio::buffer(bytes.data() + sent, bytes.size() - sent));
      if (count == 0) co_return false;
      sent += count;
    }
    co_return true;
  }

  /// Returns the number of bytes written; 0 if the connection failed, or nothing could be written
  /// within the write time-out.
  asio::awaitable<size_t> WriteSome(asio::const_buffer bytes) {
    watchdog_.expires_after(context_->options.write_timeout);
    watchdog_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
      const auto self = weak.lock();
      if (!error && self) self->Reset();
    });
    Await(ConnectionWait::kReader);
    const auto [error, count] = co_await socket_.async_write_some(bytes, kUseTuple);
    Serve();
    watchdog_.cancel();
    co_return error ? 0 : count;
  }

  asio::awaitable<void> Refuse(int status, std::string reason) {
    return Refuse(Problem{status, "request refused", std::move(reason), Outcome::kNotRun, {}});
  }

  /// Sends a problem and lingers, so that the client can read it before the connection is closed.
  asio::awaitable<void> Refuse(Problem problem) {
    context_->CountRefused(problem.detail);
    auto channel = std::make_shared<ResponseChannel>(SIZE_MAX, [] {});
    FramedResponseWriter writer(channel, ResponseFraming{false, true, false, ""});
    RespondProblem(writer, problem);
    if (!co_await Write(channel->Take().bytes)) co_return;
    boost::system::error_code ignored;
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
    Await(ConnectionWait::kRequest);
    const SteadyTime deadline = std::chrono::steady_clock::now() + kLingerTime;
    while (!client_ended_ && !closed_) {
      Consume(received_.size());
      if (!co_await WaitForWake(deadline)) break;
    }
  }

  static int StatusOf(const boost::system::error_code& error) {
    if (error == http::error::body_limit) return 413;
    if (error == http::error::header_limit) return 431;
    return 400;
  }

  static std::string ReasonOf(const boost::system::error_code& error) {
    if (error == http::error::body_limit) return "body-too-large";
    if (error == http::error::header_limit) return "header-too-large";
    if (error == http::error::bad_chunk || error == http::error::bad_chunk_extension) {
      return "bad-chunk";
    }
    return "bad-message";
  }

  // --- the place among the connections ---------------------------------------------------------

  void Await(ConnectionWait wait) {
    if (place_ != nullptr) place_->Await(wait);
  }

  bool LacksPlaces() const {
    const auto& limit = context_->options.connections;
    return limit != nullptr && limit->exhausted();
  }

  void Serve() {
    if (place_ != nullptr) place_->Serve();
  }

  // --- cutting a slow reader -----------------------------------------------------------------

  /// Called on any thread.
  void PostCut() {
    asio::post(strand_, [self = shared_from_this()] { self->Cut(); });
  }

  void Cut() {
    // By now the response may have ended, or its reader may have read.
    const auto reader = channel_ == nullptr ? std::nullopt : channel_->TakeCut();
    if (!reader) return;
    LogEvent(EventId::kSlowReaderCut, "request=\"{}\" held_bytes={} stalled_s={:.1f}",
             reader->request, reader->bytes, ToSeconds(reader->stalled));
    Reset();
  }

  // --- closing -------------------------------------------------------------------------------

  /// Closes with a connection reset, so that a truncated response never looks complete.
  void Reset() {
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }

  void Close() {
    closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    serve_wake_timer_.cancel();
    read_wake_timer_.cancel();
    watchdog_.cancel();
  }

  std::shared_ptr<HttpServerContext> context_;
  /// The response in progress; null between two requests.
  std::shared_ptr<ResponseChannel> channel_;
  asio::strand<asio::any_io_executor> strand_;
  Tcp::socket socket_;
  /// Cancelled to wake the serving coroutine.
  asio::steady_timer serve_wake_timer_;
  /// Cancelled to wake the reading coroutine.
  asio::steady_timer read_wake_timer_;
  asio::steady_timer watchdog_;
  std::string received_;
  /// The claim of `received_`, its size, and whether more is refused now.
  RequestMemory::Claim input_;
  size_t input_bytes_ = 0;
  bool input_refused_ = false;
  /// A request is being answered.
  bool serving_ = false;
  std::unique_ptr<ConnectionLimit::Place> place_;
  /// A response was sent on this connection.
  bool answered_ = false;
  bool client_ended_ = false;
  bool closed_ = false;
  std::atomic<bool> wake_posted_{false};
};

void StartServerConnection(Tcp::socket socket, std::shared_ptr<HttpServerContext> context) {
  const auto connection = std::make_shared<ServerConnection>(std::move(socket), context);
  if (const auto& limit = context->options.connections) {
    auto place = limit->Take([weak = std::weak_ptr(connection)] {
      if (const auto evicted = weak.lock()) evicted->PostEvict();
    });
    // A connection that is not served closes its socket in its destructor.
    if (place == nullptr) return;
    connection->SetPlace(std::move(place));
  }
  {
    const std::lock_guard<std::mutex> lock(context->mutex);
    if (context->stopped) return;
    context->open.insert(connection.get());
    context->open_connections->Set(static_cast<double>(context->open.size()));
  }
  context->connections->Add();
  connection->Start();
}

void CloseServerConnections(HttpServerContext& context) {
  std::vector<std::shared_ptr<ServerConnection>> open;
  {
    const std::lock_guard<std::mutex> lock(context.mutex);
    context.stopped = true;
    for (ServerConnection* connection : context.open) {
      if (auto alive = connection->weak_from_this().lock()) open.push_back(std::move(alive));
    }
  }
  for (const auto& connection : open) connection->PostClose();
}

std::string_view ReasonPhrase(int status) {
  const auto phrase = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
  return {phrase.data(), phrase.size()};
}

}  // namespace millstair
