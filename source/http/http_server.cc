#include "http/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <utility>

#include "common/event_log.h"
#include "fmt/format.h"
#include "http/server_connection.h"
#include "runtime/endpoint.h"

namespace millstair {
namespace {

using Tcp = boost::asio::ip::tcp;

constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

void AcceptNext(const std::shared_ptr<HttpServerContext>& context);

/// Retries after a delay, so that a persistent failure (out of descriptors) causes no busy loop.
void AcceptLater(const std::shared_ptr<HttpServerContext>& context) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(context->acceptor->get_executor(),
                                                                 kAcceptRetryDelay);
  timer->async_wait([context, timer](const boost::system::error_code&) { AcceptNext(context); });
}

void AcceptNext(const std::shared_ptr<HttpServerContext>& context) {
  if (!context->acceptor->is_open()) return;
  context->acceptor->async_accept(
      [context](const boost::system::error_code& error, Tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) return;
        if (error) return AcceptLater(context);
        StartServerConnection(std::move(socket), context);
        AcceptNext(context);
      });
}

absl::Status Bind(Tcp::acceptor& acceptor, const Tcp::endpoint& endpoint,
                  size_t receive_buffer_bytes) {
  boost::system::error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (!error && receive_buffer_bytes > 0) {
    // Accepted sockets inherit it. What a client sends first would arrive before it could be set.
    const int bytes = static_cast<int>(receive_buffer_bytes);
    acceptor.set_option(boost::asio::socket_base::receive_buffer_size(bytes), error);
  }
  if (!error) acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  if (!error) return absl::OkStatus();
  return absl::UnavailableError(
      fmt::format("can't listen on {}: {}", FormatEndpoint(endpoint), error.message()));
}

void RegisterStats(HttpServerContext& context) {
  StatsRegistry& stats = *context.stats;
  context.requests =
      &stats.NewCounter({"millstair_http_requests_total", "Requests taken by the HTTP front."});
  context.connections =
      &stats.NewCounter({"millstair_http_connections_total", "Connections accepted."});
  context.callers_disconnected = &stats.NewCounter(
      {"millstair_http_callers_gone_total", "Callers that left before their answer was whole."});
  context.open_connections =
      &stats.NewGauge({"millstair_http_open_connections", "Connections open now."});
}

}  // namespace

void HttpServerContext::CountRefused(const std::string& reason) {
  stats
      ->NewCounter(
          {"millstair_http_refused_total", "Requests refused by the HTTP front.", "reason", reason})
      .Add();
  LogEvent(EventId::kHttpRequestRefused, "reason={}", reason);
}

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::Listen(
    Runtime& runtime, std::shared_ptr<SerialExecutor> executor, const std::string& address,
    RequestHandler& handler, HttpServerOptions options, StatsRegistry* stats) {
  const absl::StatusOr<Tcp::endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint.ok()) return endpoint.status();
  auto context = std::make_shared<HttpServerContext>();
  context->options = options;
  context->executor = std::move(executor);
  context->handler = &handler;
  if (stats == nullptr) context->own_stats = std::make_unique<StatsRegistry>();
  context->stats = stats != nullptr ? stats : context->own_stats.get();
  RegisterStats(*context);
  context->acceptor =
      std::make_unique<Tcp::acceptor>(boost::asio::make_strand(runtime.io().get_executor()));
  if (absl::Status bound = Bind(*context->acceptor, *endpoint, options.receive_buffer_bytes);
      !bound.ok()) {
    return bound;
  }
  const std::string local = FormatEndpoint(context->acceptor->local_endpoint());
  boost::asio::post(context->acceptor->get_executor(), [context] { AcceptNext(context); });
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(context), local));
}

HttpServer::HttpServer(std::shared_ptr<HttpServerContext> context, std::string address)
    : context_(std::move(context)), address_(std::move(address)) {}

HttpServer::~HttpServer() { Stop(); }

void HttpServer::BeginDrain() { context_->draining = true; }

void HttpServer::SetCloseAfterResponse(bool close) { context_->closes_after_response = close; }

size_t HttpServer::running() const { return context_->running; }

void HttpServer::Stop() {
  context_->handler = nullptr;
  boost::asio::post(context_->acceptor->get_executor(), [context = context_] {
    boost::system::error_code ignored;
    context->acceptor->close(ignored);
  });
  CloseServerConnections(*context_);
}

}  // namespace millstair
