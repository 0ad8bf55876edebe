/// Socket addresses as text. Addresses are IP numbers with a port; names are never resolved.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace millstair {

/// Parses "127.0.0.1:80" or "[::1]:80". InvalidArgument says what is wrong.
absl::StatusOr<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text);
/// The text that ParseEndpoint reads.
std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace millstair
