/// JSON that a client sent, parsed with bounded memory.
///
/// Short values take many times their text: a body within the limit of its size could otherwise
/// become a document of gigabytes.
#pragma once

#include <cstddef>
#include <string_view>

#include "boost/json/value.hpp"
#include "boost/system/error_code.hpp"

namespace millstair {

/// Memory that a document may take beside that of its text. A text of members with short values
/// takes three times its size, so this is met only from about 4 MiB of such members on.
inline constexpr size_t kMaxJsonOverhead = 8 * 1024 * 1024;

/// `error` is set if `text` is not JSON, or to not_enough_memory if its values take too much.
boost::json::value ParseJsonBody(std::string_view text, boost::system::error_code& error);

}  // namespace millstair
