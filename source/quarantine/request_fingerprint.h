/// What makes two requests the same: who asks, where, and for what. Identifiers, deadlines and
/// other headers differ from one try to the next and don't count.
#pragma once

#include <cstdint>
#include <string_view>

#include "common/ids.h"

namespace millstair {

/// What a fingerprint is made of. Views; used at once.
struct RequestIdentity {
  std::string_view method;
  std::string_view host;
  /// Path and query.
  std::string_view target;
  /// Empty where nobody is known: then all callers count as one.
  const TenantName& caller;
  std::string_view body;
};

/// Of a longer body only the first and the last half of this and its length count, so that a
/// fingerprint takes some 10 ms at most.
inline constexpr size_t kMaxFingerprintedBytes = 1024 * 1024;

/// A quick digest of the same parts, for tables of one process; not for others.
uint64_t DigestOf(const RequestIdentity& identity, uint64_t seed);

/// A name-based identifier (RFC 4122, version 5) of all parts: 36 characters. Nobody can make a
/// request that has the fingerprint of another one's: that takes a second preimage of SHA-1. So it
/// needs no secret, and a node that has just started makes the same one as all others.
RequestFingerprint FingerprintOf(const RequestIdentity& identity);

}  // namespace millstair
