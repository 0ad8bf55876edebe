/// Identifies requests with the same content: caller, endpoint and body. Request identifiers,
/// deadlines and other headers differ between attempts and are not part of it.
#pragma once

#include <cstdint>
#include <string_view>

#include "common/ids.h"

namespace millstair {

/// The parts of a fingerprint. Holds views; not to be stored.
struct RequestIdentity {
  std::string_view method;
  std::string_view host;
  /// Path and query.
  std::string_view target;
  /// Empty if the caller is unknown: all such callers count as one.
  const TenantName& caller;
  std::string_view body;
};

/// Of a longer body only the length, the first half and the last half of this many bytes are
/// hashed, to bound the time on the executor.
inline constexpr size_t kMaxFingerprintedBytes = 1024 * 1024;

/// A fast, seeded hash of the same parts, for tables within one process.
uint64_t DigestOf(const RequestIdentity& identity, uint64_t seed);

/// A name-based UUID (RFC 4122, version 5) of all parts: 36 characters. To match another request's
/// fingerprint takes a second preimage of SHA-1, so no secret is needed and all nodes compute the
/// same value.
RequestFingerprint FingerprintOf(const RequestIdentity& identity);

}  // namespace millstair
