#include "ctl/blocking_client.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

#include "fmt/format.h"

namespace millstair {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr uint64_t kMaxBodyBytes = 1ULL << 30U;
constexpr size_t kReadChunkBytes = 16 * 1024;

std::optional<Tcp::endpoint> Endpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[') host = host.substr(1, host.size() - 2);
  boost::system::error_code error;
  const asio::ip::address ip = asio::ip::make_address(host, error);
  uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return Tcp::endpoint(ip, port);
}

http::request<http::string_body> ToBeast(const std::string& address, const HttpRequest& request) {
  http::request<http::string_body> out;
  out.method_string(request.method);
  out.target(request.target);
  out.version(11);
  out.set(http::field::host, address);
  for (const HttpHeader& header : request.headers) out.set(header.name, header.value);
  out.keep_alive(false);
  out.body() = request.body.str();
  out.prepare_payload();
  return out;
}

/// One call; lives until its coroutine has ended.
class Exchange {
 public:
  Exchange(asio::io_context& io, BlockingReply& reply, const BodyCallback& on_body)
      : stream_(io), reply_(reply), on_body_(on_body) {}

  asio::awaitable<void> Run(Tcp::endpoint endpoint, http::request<http::string_body> request,
                            Duration timeout) {
    stream_.expires_after(timeout);
    try {
      co_await stream_.async_connect(endpoint, asio::use_awaitable);
      reply_.failure = CallFailure::kUnknown;
      co_await http::async_write(stream_, request, asio::use_awaitable);
      co_await ReadResponse();
    } catch (const boost::system::system_error& error) {
      reply_.reason = error.code().message();
    }
  }

 private:
  asio::awaitable<void> ReadResponse() {
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(kMaxBodyBytes);
    co_await http::async_read_header(stream_, buffer_, parser, asio::use_awaitable);
    reply_.failure = CallFailure::kCut;
    reply_.status = parser.get().result_int();
    for (const auto& field : parser.get()) {
      reply_.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    // Without a length, the end of the connection can't be distinguished from truncation.
    const bool bounded = !parser.need_eof();
    while (!parser.is_done()) {
      if (!co_await ReadChunk(parser)) co_return;
    }
    if (bounded) reply_.failure.reset();
    if (!bounded) reply_.reason = "the answer has no length";
  }

  asio::awaitable<bool> ReadChunk(http::response_parser<http::buffer_body>& parser) {
    parser.get().body().data = chunk_.data();
    parser.get().body().size = chunk_.size();
    boost::system::error_code error;
    co_await http::async_read_some(stream_, buffer_, parser,
                                   asio::redirect_error(asio::use_awaitable, error));
    if (error && error != http::error::need_buffer) throw boost::system::system_error(error);
    const std::string_view bytes(chunk_.data(), chunk_.size() - parser.get().body().size);
    reply_.body += bytes;
    if (!on_body_ || bytes.empty() || on_body_(bytes)) co_return true;
    reply_.reason = "ended by the caller";
    co_return false;
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::array<char, kReadChunkBytes> chunk_{};
  BlockingReply& reply_;
  const BodyCallback& on_body_;
};

}  // namespace

BlockingReply BlockingClient::Call(const std::string& address, const HttpRequest& request,
                                   Duration timeout, const BodyCallback& on_body) {
  BlockingReply reply;
  reply.failure = CallFailure::kNotSent;
  const std::optional<Tcp::endpoint> endpoint = Endpoint(address);
  if (!endpoint) {
    reply.reason = fmt::format("'{}' is no ip:port", address);
    return reply;
  }
  asio::io_context io(1);
  Exchange exchange(io, reply, on_body);
  asio::co_spawn(io, exchange.Run(*endpoint, ToBeast(address, request), timeout), asio::detached);
  io.run();
  return reply;
}

}  // namespace millstair
