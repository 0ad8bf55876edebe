/// A request of a client as flows carry it.
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
  /// How long the client waits; none if it did not say.
  std::optional<Duration> time_left;
  /// The client has the events of a stream up to this one.
  std::optional<uint64_t> resume_after;
  /// For whom it runs; empty for requests of the system's own, and where nobody is known.
  TenantName tenant;
};

inline RequestIdentity IdentityOf(const ForwardRequest& request) {
  return {request.http.method, request.host, request.http.target, request.tenant,
          request.http.body};
}

}  // namespace millstair
