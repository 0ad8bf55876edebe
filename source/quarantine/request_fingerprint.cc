#include "quarantine/request_fingerprint.h"

#include <array>
#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <string>

#include "fmt/format.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace millstair {
namespace {

/// Namespace UUID of request fingerprints.
constexpr boost::uuids::uuid kNamespace = {{0x5c, 0x0e, 0x9a, 0x6b, 0x1f, 0x37, 0x4d, 0x82, 0xa4,
                                            0xd9, 0x27, 0x63, 0xe8, 0xb0, 0x14, 0xcf}};

/// The length prefix makes the encoding of a list of parts unambiguous.
void AppendPart(std::string& text, std::string_view part) {
  text += fmt::format("{}:", part.size());
  text += part;
}

void AppendBody(std::string& text, std::string_view body) {
  if (body.size() <= kMaxFingerprintedBytes) return AppendPart(text, body);
  constexpr size_t kHalf = kMaxFingerprintedBytes / 2;
  text += fmt::format("{}:", body.size());
  text += body.substr(0, kHalf);
  text += body.substr(body.size() - kHalf);
}

}  // namespace

uint64_t DigestOf(const RequestIdentity& identity, uint64_t seed) {
  // Each part's hash seeds the next, so that the boundaries of the parts count.
  uint64_t digest = seed;
  for (const std::string_view part : {identity.method, identity.host, identity.target,
                                      std::string_view(identity.caller.value()), identity.body}) {
    digest = XXH3_64bits_withSeed(part.data(), part.size(), digest);
  }
  return digest;
}

RequestFingerprint FingerprintOf(const RequestIdentity& identity) {
  std::string text;
  AppendPart(text, identity.method);
  AppendPart(text, identity.host);
  AppendPart(text, identity.target);
  AppendPart(text, identity.caller.value());
  AppendBody(text, identity.body);
  const boost::uuids::name_generator_sha1 generator(kNamespace);
  return RequestFingerprint(boost::uuids::to_string(generator(text)));
}

}  // namespace millstair
