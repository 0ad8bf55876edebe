/// Headers that concern one connection only and are not passed on (RFC 9110, 7.6.1).
#pragma once

#include "http/exchange.h"

namespace millstair {

/// `headers` without hop-by-hop ones and those that Connection names.
HttpHeaders WithoutHopHeaders(const HttpHeaders& headers);

}  // namespace millstair
