/// Rules for header fields (RFC 9110, 9112) that both the server and the caller apply.
#pragma once

#include <string_view>

#include "http/exchange.h"

namespace millstair {

/// Identifies a call on its connection. The caller chooses the id and the server echoes it; the
/// caller rejects a response with another id as late or duplicated.
inline constexpr std::string_view kCallIdHeader = "Millstair-Call-Id";

/// Case-insensitive comparison of ASCII.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);
/// True for a non-empty token: a valid method or field name.
bool IsToken(std::string_view text);
/// True for a valid field value: no control characters except tab.
bool IsFieldValue(std::string_view text);
/// True for a valid request target: non-empty visible ASCII without spaces.
bool IsRequestTarget(std::string_view text);

/// Returns `headers` without hop-by-hop ones: Connection and the headers it lists, Keep-Alive, TE,
/// Trailer, Transfer-Encoding, Upgrade, Proxy-Connection, Proxy-Authenticate and Expect.
HttpHeaders EndToEndHeaders(const HttpHeaders& headers);
/// Returns `headers` without all headers called `name`.
HttpHeaders WithoutHeader(HttpHeaders headers, std::string_view name);

}  // namespace millstair
