#include "emulator/link_relay.h"

#include <charconv>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "emulator/delay_pipe.h"
#include "runtime/endpoint.h"

namespace millstair {

namespace asio = boost::asio;
using boost::system::error_code;
using Socket = asio::ip::tcp::socket;

namespace {

constexpr size_t kFieldsWithoutName = 3;
constexpr double kMicrosecondsPerMillisecond = 1000.0;

void CloseWithReset(Socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

absl::StatusOr<LinkOptions> ParseLinkOptions(const std::string& text) {
  const std::vector<std::string> fields = absl::StrSplit(text, ',');
  double latency_ms = 0;
  const bool sized = fields.size() == kFieldsWithoutName || fields.size() == kFieldsWithoutName + 1;
  if (!sized || !absl::SimpleAtod(fields[2], &latency_ms) || latency_ms < 0) {
    return absl::InvalidArgumentError("--relay: must be listen,target,latency-ms[,name]: " + text);
  }
  LinkOptions options;
  options.listen = fields[0];
  options.target = fields[1];
  options.latency =
      std::chrono::microseconds(static_cast<int64_t>(latency_ms * kMicrosecondsPerMillisecond));
  options.name = fields.size() > kFieldsWithoutName ? fields.back() : options.listen;
  return options;
}

/// A relayed connection: two sockets and a pipe in each direction.
class LinkRelay::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(LinkRelay& relay, Socket client)
      : relay_(&relay), client_(std::move(client)), target_(relay.io_) {}

  /// Connects to the target unless the forward direction is stalled.
  void Start() {
    if (relay_ == nullptr || started_ || relay_->stall_.forward) return;
    started_ = true;
    target_.async_connect(relay_->target_, [self = shared_from_this()](error_code error) {
      if (self->relay_ == nullptr) return;
      if (error) return self->Break();
      self->StartPipes();
    });
  }

  void ApplyStall() {
    Start();
    if (forward_ == nullptr) return;
    forward_->SetStalled(relay_->stall_.forward);
    if (relay_ != nullptr && backward_ != nullptr) backward_->SetStalled(relay_->stall_.backward);
  }

  void SetLatency(std::chrono::microseconds latency) {
    if (forward_ == nullptr) return;
    forward_->SetLatency(latency);
    backward_->SetLatency(latency);
  }

  /// Resets both sockets and removes the connection from the relay.
  void Break() {
    const std::shared_ptr<Connection> self = shared_from_this();
    ClosePipes();
    CloseWithReset(client_);
    CloseWithReset(target_);
    Leave();
  }

 private:
  void StartPipes() {
    error_code ignored;
    client_.set_option(asio::ip::tcp::no_delay(true), ignored);
    target_.set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto ended = [weak = weak_from_this()](bool broken) {
      if (const std::shared_ptr<Connection> self = weak.lock()) self->OnEnded(broken);
    };
    const std::shared_ptr<Connection> self = shared_from_this();
    const std::chrono::microseconds latency = relay_->options_.latency;
    forward_ = std::make_shared<DelayPipe>(self, client_, target_, latency, ended);
    backward_ = std::make_shared<DelayPipe>(self, target_, client_, latency, ended);
    forward_->SetStalled(relay_->stall_.forward);
    backward_->SetStalled(relay_->stall_.backward);
    forward_->Start();
    backward_->Start();
  }

  void OnEnded(bool broken) {
    if (broken) return Break();
    if (++ended_ways_ < 2) return;
    const std::shared_ptr<Connection> self = shared_from_this();
    ClosePipes();
    error_code ignored;
    client_.close(ignored);
    target_.close(ignored);
    Leave();
  }

  void ClosePipes() {
    if (forward_ != nullptr) forward_->Close();
    if (backward_ != nullptr) backward_->Close();
    forward_.reset();
    backward_.reset();
  }

  void Leave() {
    LinkRelay* relay = std::exchange(relay_, nullptr);
    if (relay != nullptr) relay->connections_.erase(shared_from_this());
  }

  /// Null after the removal from the relay.
  LinkRelay* relay_;
  Socket client_;
  Socket target_;
  bool started_ = false;
  int ended_ways_ = 0;
  std::shared_ptr<DelayPipe> forward_;
  std::shared_ptr<DelayPipe> backward_;
};

absl::StatusOr<std::unique_ptr<LinkRelay>> LinkRelay::Listen(asio::io_context& io,
                                                             const LinkOptions& options) {
  const absl::StatusOr<Endpoint> listen = ParseEndpoint(options.listen);
  if (!listen.ok()) return listen.status();
  const absl::StatusOr<Endpoint> target = ParseEndpoint(options.target);
  if (!target.ok()) return target.status();
  std::unique_ptr<LinkRelay> relay(new LinkRelay(io, options, *target));
  error_code error;
  asio::ip::tcp::acceptor& acceptor = relay->acceptor_;
  acceptor.open(listen->protocol(), error);
  if (!error) acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor.bind(*listen, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) return absl::UnavailableError(options.listen + ": " + error.message());
  relay->options_.listen = FormatEndpoint(acceptor.local_endpoint());
  relay->Accept();
  return relay;
}

LinkRelay::LinkRelay(asio::io_context& io, LinkOptions options, Endpoint target)
    : io_(io), options_(std::move(options)), target_(std::move(target)), acceptor_(io) {}

LinkRelay::~LinkRelay() {
  alive_.reset();
  Reset();
}

size_t LinkRelay::connections() const { return connections_.size(); }

void LinkRelay::Accept() {
  acceptor_.async_accept(
      [this, alive = std::weak_ptr<char>(alive_)](error_code error, Socket socket) {
        if (alive.expired() || error == asio::error::operation_aborted) return;
        if (!error) {
          auto connection = std::make_shared<Connection>(*this, std::move(socket));
          connections_.insert(connection);
          connection->Start();
        }
        Accept();
      });
}

void LinkRelay::SetStall(const LinkStall& stall) {
  stall_ = stall;
  const std::set<std::shared_ptr<Connection>> connections = connections_;
  for (const auto& connection : connections) connection->ApplyStall();
}

void LinkRelay::SetLatency(std::chrono::microseconds latency) {
  options_.latency = latency;
  for (const auto& connection : connections_) connection->SetLatency(latency);
}

void LinkRelay::Reset() {
  const std::set<std::shared_ptr<Connection>> connections = connections_;
  for (const auto& connection : connections) connection->Break();
}

}  // namespace millstair
