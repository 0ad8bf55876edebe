/// Text form of socket addresses: an IP address with a port. Host names are not resolved.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace millstair {

/// Parses "127.0.0.1:80" or "[::1]:80". InvalidArgument describes the error.
absl::StatusOr<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text);
/// Inverse of ParseEndpoint.
std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace millstair
