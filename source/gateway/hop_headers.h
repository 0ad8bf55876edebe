/// Hop-by-hop headers, which a proxy does not forward (RFC 9110, 7.6.1).
#pragma once

#include "http/exchange.h"

namespace millstair {

/// Returns `headers` without hop-by-hop headers and those listed in Connection.
HttpHeaders WithoutHopHeaders(const HttpHeaders& headers);

}  // namespace millstair
