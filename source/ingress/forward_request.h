/// A client request as the flows carry it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/ids.h"
#include "common/time.h"
#include "http/exchange.h"
#include "quarantine/request_fingerprint.h"

namespace millstair {

struct ForwardRequest {
  HttpRequest http;
  std::string host;
  std::string request_id;
  /// How long the client waits; none if it did not state a limit.
  std::optional<Duration> time_left;
  /// The client has received the events of the stream up to and including this one.
  std::optional<uint64_t> resume_after;
  /// Empty for internal requests and where the caller is unknown.
  TenantName tenant;
  /// How long this node held the request before it was forwarded; `time_left` no longer has it.
  Duration held{0};
  /// Known to be sound: crashes of back ends that run it are not counted against it.
  bool trusted = false;
};

inline RequestIdentity IdentityOf(const ForwardRequest& request) {
  return {request.http.method, request.host, request.http.target, request.tenant,
          request.http.body.str()};
}

}  // namespace millstair
