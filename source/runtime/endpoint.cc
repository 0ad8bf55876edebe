#include "runtime/endpoint.h"

#include "absl/strings/numbers.h"
#include "fmt/format.h"

namespace millstair {
namespace {

constexpr uint32_t kMaxPort = 65535;

}  // namespace

absl::StatusOr<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return absl::InvalidArgumentError(fmt::format("\"{}\" is not of the form ip:port", text));
  }
  std::string_view host = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  uint32_t port = 0;
  if (!absl::SimpleAtoi(absl::string_view(port_text.data(), port_text.size()), &port) ||
      port > kMaxPort) {
    return absl::InvalidArgumentError(
        fmt::format("\"{}\" in \"{}\" is not a port (0..65535)", port_text, text));
  }
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(host), error);
  if (error) {
    return absl::InvalidArgumentError(
        fmt::format("\"{}\" in \"{}\" is not an IP number", host, text));
  }
  return boost::asio::ip::tcp::endpoint(address, static_cast<uint16_t>(port));
}

std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint) {
  if (endpoint.address().is_v6()) {
    return fmt::format("[{}]:{}", endpoint.address().to_string(), endpoint.port());
  }
  return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

}  // namespace millstair
