/// Rules for header fields (RFC 9110, 9112) that both the server and the caller apply.
#pragma once

#include <string_view>

#include "http/exchange.h"

namespace millstair {

/// Names a call on its connection. The caller draws it, our server sends it back, and an answer
/// that names another call is refused: it is a late or doubled one.
inline constexpr std::string_view kCallIdHeader = "Millstair-Call-Id";

/// Equal without regard to the case of ASCII letters.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);
/// A non-empty token: a legal method or field name.
bool IsToken(std::string_view text);
/// A legal field value: no control characters except tab.
bool IsFieldValue(std::string_view text);
/// A legal request target: visible ASCII without spaces, and not empty.
bool IsRequestTarget(std::string_view text);

/// The headers that may pass a proxy: without Connection, what it names, Keep-Alive, TE, Trailer,
/// Transfer-Encoding, Upgrade, Proxy-* and Expect. Content-Length is kept.
HttpHeaders EndToEndHeaders(const HttpHeaders& headers);
/// Without all headers of that name.
HttpHeaders WithoutHeader(HttpHeaders headers, std::string_view name);

}  // namespace millstair
